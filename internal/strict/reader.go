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

// Reader fills a struct from a text and collects the faults with their lines. Use
// NewReader; the zero value is not usable.
type Reader struct {
	file   string
	text   []byte
	faults Faults
	// starts holds the offset of the first byte of every line.
	starts []int
	// lines holds the line of every key that occurs in the text.
	lines map[string]int
}

// NewReader returns a reader of the text of a file.
func NewReader(file string, text []byte) *Reader {
	reader := &Reader{file: file, text: text, starts: []int{0}, lines: make(map[string]int)}
	for at, char := range text {
		if char == '\n' {
			reader.starts = append(reader.starts, at+1)
		}
	}
	return reader
}

// Fault adds a fault of a key, such as "Peers[1].Address".
func (reader *Reader) Fault(key, reason string) {
	reader.faults = append(reader.faults, Fault{reader.file, reader.lines[key], key, reason})
}

// Faults returns every fault so far in the order of the lines.
func (reader *Reader) Faults() Faults {
	slices.SortStableFunc(reader.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return reader.faults
}

// Read fills the struct that target points to. Keys that the text leaves out keep
// their values. A text that is not JSON is one fault without a key, whose reason
// begins with the line and the column.
func (reader *Reader) Read(target any) {
	value, err := hujson.Parse(reader.text)
	if err != nil {
		reader.Fault("", strings.TrimPrefix(err.Error(), "hujson: "))
		return
	}
	reader.value("", value, reflect.ValueOf(target).Elem())
}

func (reader *Reader) line(offset int) int {
	line, found := slices.BinarySearch(reader.starts, offset)
	if found {
		line++
	}
	return line
}

// value stores one JSON value in target, which decides what is allowed.
func (reader *Reader) value(key string, value hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		reader.object(key, value, target)
	case reflect.Slice:
		reader.array(key, value, target)
	default:
		reader.literal(key, value, target)
	}
}

func (reader *Reader) object(key string, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		reader.Fault(key, "is not an object")
		return
	}
	for _, member := range object.Members {
		name := nameOf(member.Name)
		path := strings.TrimPrefix(key+"."+name, ".")
		first := reader.lines[path]
		if first > 0 {
			reader.faults = append(reader.faults, Fault{reader.file, reader.line(member.Name.StartOffset), path, fmt.Sprintf("already stands in line %d", first)})
			continue
		}
		reader.lines[path] = reader.line(member.Name.StartOffset)
		field, ok := target.Type().FieldByName(name)
		if !ok {
			reader.Fault(path, unknown(name, target.Type()))
			continue
		}
		reader.value(path, member.Value, target.FieldByIndex(field.Index))
	}
}

func nameOf(name hujson.Value) string {
	if literal, ok := name.Value.(hujson.Literal); ok {
		return literal.String()
	}
	return ""
}

func (reader *Reader) array(key string, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		reader.Fault(key, "is not a list")
		return
	}
	result := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		path := fmt.Sprintf("%s[%d]", key, i)
		reader.lines[path] = reader.line(element.StartOffset)
		reader.value(path, element, result.Index(i))
	}
	target.Set(result)
}

func (reader *Reader) literal(key string, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, target.Addr().Interface()) != nil {
		reader.Fault(key, fmt.Sprintf("%s is not %s", bytes.TrimSpace(value.Pack()), wanted(key, target.Kind())))
		return
	}
	if target.CanInt() && target.Int() < 0 || target.CanFloat() && target.Float() < 0 {
		reader.Fault(key, fmt.Sprintf("%s is negative", literal))
	}
}

// units maps the last part of a key to the unit of its value. A longer suffix
// stands before a shorter one that it contains.
var units = []struct{ suffix, unit string }{
	{"LoadsPerSecond", "loads per second"},
	{"Millis", "milliseconds"},
	{"Seconds", "seconds"},
	{"Bytes", "bytes"},
	{"Days", "days"},
}

// foreignUnits are suffixes that no key uses but that operators may expect.
var foreignUnits = []string{"LoadsPerMinute", "Milliseconds", "Minutes", "Hours", "Kilobytes", "Megabytes", "MB", "KB"}

func wanted(key string, kind reflect.Kind) string {
	what := map[reflect.Kind]string{
		reflect.Bool: "true or false", reflect.String: "a string", reflect.Float64: "a number",
	}[kind]
	if what == "" {
		what = "a whole number"
	}
	if unit := unitOf(key); unit != "" {
		what += " of " + unit
	}
	return what
}

func unitOf(key string) string {
	for _, entry := range units {
		if strings.HasSuffix(key, entry.suffix) {
			return entry.unit
		}
	}
	return ""
}

// unknown says what the writer of an unknown key may have meant.
func unknown(name string, owner reflect.Type) string {
	for field := range owner.Fields() {
		if strings.EqualFold(field.Name, name) {
			return fmt.Sprintf("unknown key; it is written %s", field.Name)
		}
		if unitOf(field.Name) != "" && strings.EqualFold(stem(field.Name), stem(name)) {
			return fmt.Sprintf("unknown key; use %s, in %s", field.Name, unitOf(field.Name))
		}
	}
	return "unknown key"
}

// stem cuts the unit off a key.
func stem(name string) string {
	for _, entry := range units {
		if short, found := strings.CutSuffix(name, entry.suffix); found {
			return short
		}
	}
	for _, suffix := range foreignUnits {
		if short, found := strings.CutSuffix(name, suffix); found {
			return short
		}
	}
	return name
}
