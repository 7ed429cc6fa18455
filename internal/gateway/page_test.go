package gateway

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// decisionFields are the log fields whose values must be the same in the page and in
// testdata/scripts/walks.
var decisionFields = []string{"outcome", "event", "reason", "status", "sends", "runs"}

var (
	sampleMessage = regexp.MustCompile(`msg="(A request ended\.|A send failed\.)" `)
	sampleField   = regexp.MustCompile(`(\w+)=("[^"]*"|\S*)`)
)

// TestOperationsPage guards against documentation of log lines that the gateway does not
// write: each sample line in docs/OPERATIONS.md must match a line of testdata/scripts/walks, which
// has the same fields, and the same values of decisionFields.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	walks, err := os.ReadFile("testdata/scripts/walks")
	if err != nil {
		t.Fatal(err)
	}
	samples := 0
	for sample := range strings.Lines(string(page)) {
		message := sampleMessage.FindStringSubmatchIndex(sample)
		if message == nil {
			continue
		}
		samples++
		written := false
		for line := range strings.Lines(string(walks)) {
			name := sample[message[2]:message[3]]
			written = written || strings.HasPrefix(line, "log: \""+name) && covers(line, sample[message[1]:])
		}
		if !written {
			t.Errorf("no line of testdata/scripts/walks matches the sample %s", sample)
		}
	}
	if samples < 6 {
		t.Errorf("the page has %d sample lines of the gateway, want at least 6", samples)
	}
}

// covers reports whether a line has all fields of a sample, and the same values of
// decisionFields.
func covers(line, sample string) bool {
	written := make(map[string]string)
	for _, field := range sampleField.FindAllStringSubmatch(line, -1) {
		written[field[1]] = strings.Trim(field[2], `"`)
	}
	for _, field := range sampleField.FindAllStringSubmatch(sample, -1) {
		value, ok := written[field[1]]
		if !ok {
			return false
		}
		for _, decision := range decisionFields {
			if decision == field[1] && value != strings.Trim(field[2], `"`) {
				return false
			}
		}
	}
	return true
}
