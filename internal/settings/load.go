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

// Default returns the embedded defaults. They are valid as they are: one VM with
// a disk on loopback addresses.
func Default() Settings {
	settings, err := Parse(defaultsName, defaults)
	if err != nil {
		panic(err) // the embedded file is part of the program and tested
	}
	return settings
}

// Load reads and checks the settings in the file at path. Keys that the file
// leaves out have their defaults. Relative paths in the file are relative to the
// file's folder. An empty path gives the defaults. The error is a strict.Faults if the
// file can be read but is not valid.
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

// Parse checks text as the content of a settings file called name and returns the
// settings, or a strict.Faults with every fault of the text.
func Parse(name string, text []byte) (Settings, error) {
	var settings Settings
	if name != defaultsName {
		settings = Default()
	}
	reader := strict.NewReader(name, text)
	reader.Read(&settings)
	if name != defaultsName {
		settings.resolve(filepath.Dir(name))
	}
	settings.readSecret(reader)
	settings.check(reader)
	if faults := reader.Faults(); len(faults) > 0 {
		return Settings{}, faults
	}
	return settings, nil
}

// resolve makes the paths of the settings relative to the folder of their file.
func (settings *Settings) resolve(folder string) {
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

// readSecret replaces SharedSecret by the content of SharedSecretFile.
func (settings *Settings) readSecret(reader *strict.Reader) {
	if settings.SharedSecretFile == "" {
		return
	}
	if settings.SharedSecret != "" {
		reader.Fault("SharedSecretFile", "SharedSecret is set as well; use one of the two")
		return
	}
	text, err := os.ReadFile(settings.SharedSecretFile)
	if err != nil {
		reader.Fault("SharedSecretFile", err.Error())
		return
	}
	settings.SharedSecret = strings.TrimSpace(string(text))
}
