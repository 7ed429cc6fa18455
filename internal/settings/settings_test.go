package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

const examplesFolder = "../../examples"

// TestExample guards against keys that examples/settings.jsonc omits or documents with a
// default that differs from the embedded one.
func TestExample(t *testing.T) {
	is := is.New(t)
	loaded, err := Load(filepath.Join(examplesFolder, "settings.jsonc"))
	is.NoErr(err)
	want := Default()
	want.DataFolder = filepath.Join(examplesFolder, want.DataFolder)
	is.Equal(loaded, want)
	text, err := os.ReadFile(filepath.Join(examplesFolder, "settings.jsonc"))
	is.NoErr(err)
	for field := range reflect.TypeFor[Settings]().Fields() {
		is.True(strings.Contains(string(text), `"`+field.Name+`":`)) // every key is documented
	}
}

// TestDeployments guards against example deployments whose settings files do not load or
// that have a wrong number of VMs or zones.
func TestDeployments(t *testing.T) {
	for folder, zones := range map[string]int{"stalls": 4, "batches": 3} {
		is := is.New(t)
		files, err := filepath.Glob(filepath.Join(examplesFolder, folder, "vm-*.jsonc"))
		is.NoErr(err)
		is.Equal(len(files), 7)
		seen := make(map[string]bool)
		for _, file := range files {
			loaded, err := Load(file)
			is.NoErr(err)
			is.Equal(len(loaded.Members()), 7)
			seen[string(loaded.Zone)] = true
		}
		is.Equal(len(seen), zones)
	}
}

// TestFaults guards against invalid settings that are accepted, and against faults that
// lack their file, line or key. Cases are read from testdata/faults.
func TestFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(t *testing.T, data *datadriven.TestData) string {
		_, err := Parse("vm.jsonc", []byte(data.Input))
		if err == nil {
			return "ok\n"
		}
		return err.Error() + "\n"
	})
}
