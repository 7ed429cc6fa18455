package settings

import (
	_ "embed"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/strict"
)

//go:embed default.jsonc
var defaults []byte

const defaultsName = "embedded defaults"

// Default returns the embedded defaults, which are valid on their own: one VM with a disk
// that listens on loopback addresses.
func Default() Settings {
	settings, err := Parse(defaultsName, defaults)
	if err != nil {
		panic(err) // the tests cover the embedded file
	}
	return settings
}

// Load reads and validates the settings file at path. Keys that the file omits have their
// defaults. Relative paths in the file are relative to the file's folder. An empty path
// returns the defaults. The error is a strict.Faults if the file is readable but not valid.
func Load(path string) (Settings, error) {
	if path == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse returns the settings in text, the content of the settings file called name. If the
// text is not valid, the error is a strict.Faults with all its faults.
func Parse(name string, text []byte) (Settings, error) {
	var settings Settings
	if name != defaultsName {
		settings = Default()
	}
	reader := strict.NewReader(name, text)
	reader.Read(&settings)
	if name != defaultsName {
		settings.resolvePaths(filepath.Dir(name))
	}
	settings.readSecret(reader)
	settings.check(reader)
	if faults := reader.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	return settings, nil
}

// resolvePaths joins the relative paths of the settings to the folder of the settings file.
func (settings *Settings) resolvePaths(folder string) {
	paths := []*string{&settings.DataFolder, &settings.SharedSecretFile}
	for _, section := range []*TLS{&settings.CallerTLS, &settings.OperatorTLS, &settings.PeerTLS} {
		paths = append(paths, &section.CertificateFile, &section.KeyFile, &section.AuthorityFile)
	}
	for _, path := range paths {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// readSecret sets SharedSecret to the trimmed content of SharedSecretFile, if that is set.
func (settings *Settings) readSecret(reader *strict.Reader) {
	if settings.SharedSecretFile == "" {
		return
	}
	if settings.SharedSecret != "" {
		reader.AddFault("SharedSecretFile", "SharedSecret is set as well; use one of the two")
		return
	}
	text, err := os.ReadFile(settings.SharedSecretFile)
	if err != nil {
		reader.AddFault("SharedSecretFile", err.Error())
		return
	}
	settings.SharedSecret = strings.TrimSpace(string(text))
}
