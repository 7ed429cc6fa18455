package core

import "unicode/utf8"

// The bounds of the fields of an Instance. One instance takes at most 1.2 MB in a message
// between VMs, whose limit is 4 MiB.
const (
	maxNameLength    = 128
	maxInstanceSlots = 65536
	maxModels        = 64
	maxHeldAdapters  = 4096
	// maxBorn is the year 2100. The process that was born last keeps its address.
	maxBorn = 4_102_444_800_000
)

// Check returns all faults of an instance, and nil if it is valid. It bounds what is stored, sent
// to every VM, and put into the headers of requests.
func (instance Instance) Check() []ValidationError {
	var faults []ValidationError
	addIf := func(invalid bool, place, reason string) {
		if invalid {
			faults = append(faults, ValidationError{place, reason})
		}
	}
	const notName, notToken = "empty, longer than 128 bytes or not text", "empty, longer than 128 bytes or not printable ASCII"
	addIf(!isToken(string(instance.Upstream)), "Upstream", notToken)
	addIf(!isToken(instance.Address), "Address", notToken)
	addIf(!isName(string(instance.Service)), "Service", notName)
	addIf(!isName(string(instance.Zone)), "Zone", notName)
	addIf(instance.Software != "" && !isName(string(instance.Software)), "Software", "longer than 128 bytes or not text")
	addIf(instance.Slots < 1 || instance.Slots > maxInstanceSlots, "Slots", "not in 1..65536")
	addIf(instance.Born < 1 || instance.Born > maxBorn, "Born", "not in the years 1970 to 2100")
	addIf(len(instance.Models) > maxModels, "Models", "more than 64")
	adapters := 0
	for _, model := range instance.Models {
		addIf(!isName(string(model.Model)), "Models", notName)
		adapters += len(model.Adapters)
		for adapter := range model.Adapters {
			if !isName(string(adapter)) {
				addIf(true, "Adapters", notName)
				break
			}
		}
	}
	addIf(adapters > maxHeldAdapters, "Adapters", "more than 4096")
	return faults
}

// isName reports whether the text can be the name of something outside: UTF-8 of at most
// maxNameLength bytes without control characters.
func isName(text string) bool {
	if text == "" || len(text) > maxNameLength || !utf8.ValidString(text) {
		return false
	}
	for _, char := range text {
		if char < ' ' || char == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether the text can stand in a header: printable ASCII without spaces, of at
// most maxNameLength bytes.
func isToken(text string) bool {
	if text == "" || len(text) > maxNameLength {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] >= 0x7f {
			return false
		}
	}
	return true
}
