package upstream

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestAnnouncements guards against an announcement that names no address to which a call can be
// sent, and against a number that becomes another one when it is converted.
func TestAnnouncements(t *testing.T) {
	datadriven.RunTest(t, "testdata/announcements", func(_ *testing.T, data *datadriven.TestData) string {
		_, faults, err := DecodeAnnouncement([]byte(data.Input))
		if err != nil {
			return "error: " + err.Error() + "\n"
		}
		text := ""
		for _, fault := range faults {
			text += fault.Error() + "\n"
		}
		if text == "" {
			return "no faults\n"
		}
		return text
	})
}
