package strict

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Reader decodes a text into a struct and collects the faults with their lines. Use
// NewReader; the zero value is not usable.
type Reader struct {
	file   string
	text   []byte
	faults Faults
	// lineStarts contains the offset of the first byte of every line.
	lineStarts []int
	// keyLines contains the line of every key that occurs in the text.
	keyLines map[string]int
}

// NewReader returns a reader of text, the content of the named file.
func NewReader(file string, text []byte) *Reader {
	reader := &Reader{file: file, text: text, lineStarts: []int{0}, keyLines: make(map[string]int)}
	for offset, char := range text {
		if char == '\n' {
			reader.lineStarts = append(reader.lineStarts, offset+1)
		}
	}
	return reader
}

// AddFault adds a fault for a key such as "Peers[1].Address".
func (reader *Reader) AddFault(key, reason string) {
	reader.faults = append(reader.faults, Fault{reader.file, reader.keyLines[key], key, reason})
}

// Faults returns the faults collected so far, in the order of their lines.
func (reader *Reader) Faults() Faults {
	slices.SortStableFunc(reader.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return reader.faults
}

// Read decodes the text into the struct that target points to. Fields whose keys the text
// omits keep their values. A syntax error is reported as one fault without a key whose
// reason begins with the line and column.
func (reader *Reader) Read(target any) {
	value, err := hujson.Parse(reader.text)
	if err != nil {
		reader.AddFault("", strings.TrimPrefix(err.Error(), "hujson: "))
		return
	}
	reader.readValue("", value, reflect.ValueOf(target).Elem())
}

// lineAt returns the line that contains the byte at offset, counted from 1.
func (reader *Reader) lineAt(offset int) int {
	line, found := slices.BinarySearch(reader.lineStarts, offset)
	if found {
		line++
	}
	return line
}

// readValue decodes one JSON value into target, whose type determines which values are
// valid.
func (reader *Reader) readValue(key string, value hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		reader.readObject(key, value, target)
	case reflect.Slice:
		reader.readArray(key, value, target)
	default:
		reader.readLiteral(key, value, target)
	}
}

// readObject decodes a JSON object and adds faults for unknown and duplicate keys.
func (reader *Reader) readObject(key string, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		reader.AddFault(key, "is not an object")
		return
	}
	for _, member := range object.Members {
		name := memberName(member.Name)
		path := strings.TrimPrefix(key+"."+name, ".")
		first := reader.keyLines[path]
		if first > 0 {
			reader.faults = append(reader.faults, Fault{reader.file, reader.lineAt(member.Name.StartOffset), path, fmt.Sprintf("already stands in line %d", first)})
			continue
		}
		reader.keyLines[path] = reader.lineAt(member.Name.StartOffset)
		field, ok := target.Type().FieldByName(name)
		if !ok {
			reader.AddFault(path, unknownKeyReason(name, target.Type()))
			continue
		}
		reader.readValue(path, member.Value, target.FieldByIndex(field.Index))
	}
}

// memberName returns the decoded name of an object member.
func memberName(name hujson.Value) string {
	if literal, ok := name.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func (reader *Reader) readArray(key string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		reader.AddFault(key, "is not a list")
		return
	}
	result := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		reader.keyLines[path] = reader.lineAt(element.StartOffset)
		reader.readValue(path, element, result.Index(i))
	}
	target.Set(result)
}

// readLiteral decodes a JSON literal and adds a fault for a value of the wrong type, null or
// a negative number.
func (reader *Reader) readLiteral(key string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, target.Addr().Interface()) != nil {
		reader.AddFault(key, fmt.Sprintf("%s is not %s", bytes.TrimSpace(value.Pack()), expectedValue(key, target.Kind())))
		return
	}
	if target.CanInt() && target.Int() < 0 || target.CanFloat() && target.Float() < 0 {
		reader.AddFault(key, fmt.Sprintf("%s is negative", literal))
	}
}

// units maps the suffix of a key to the unit of its value. A longer suffix precedes a
// shorter one that it contains.
var units = []struct{ suffix, unit string }{
	{"LoadsPerSecond", "loads per second"},
	{"Millis", "milliseconds"},
	{"Seconds", "seconds"},
	{"Bytes", "bytes"},
	{"Days", "days"},
}

// unsupportedUnits are suffixes that no key has but that operators may expect.
var unsupportedUnits = []string{"LoadsPerMinute", "Milliseconds", "Minutes", "Hours", "Kilobytes", "Megabytes", "MB", "KB"}

// expectedValue returns the type and unit of the value that a key requires.
func expectedValue(key string, kind reflect.Kind) string {
	description := map[reflect.Kind]string{
		reflect.Bool: "true or false", reflect.String: "a string", reflect.Float64: "a number",
	}[kind]
	if description == "" {
		description = "a whole number"
	}
	if unit := keyUnit(key); unit != "" {
		description += " of " + unit
	}
	return description
}

// keyUnit returns the unit of a key's value, or an empty string if it has none.
func keyUnit(key string) string {
	for _, entry := range units {
		if strings.HasSuffix(key, entry.suffix) {
			return entry.unit
		}
	}
	return ""
}

// unknownKeyReason returns the reason of a fault for an unknown key of the struct owner. If
// a key differs only in case or unit, the reason suggests it.
func unknownKeyReason(name string, owner reflect.Type) string {
	for field := range owner.Fields() {
		if strings.EqualFold(field.Name, name) {
			return fmt.Sprintf("unknown key; it is written %s", field.Name)
		}
		if keyUnit(field.Name) != "" && strings.EqualFold(trimUnit(field.Name), trimUnit(name)) {
			return fmt.Sprintf("unknown key; use %s, in %s", field.Name, keyUnit(field.Name))
		}
	}
	return "unknown key"
}

// trimUnit returns the key without the suffix for its unit.
func trimUnit(name string) string {
	for _, entry := range units {
		if short, found := strings.CutSuffix(name, entry.suffix); found {
			return short
		}
	}
	for _, suffix := range unsupportedUnits {
		if short, found := strings.CutSuffix(name, suffix); found {
			return short
		}
	}
	return name
}
