package layering

import (
	"bufio"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDecisionPackages guards against imports that make a package with decision logic
// perform input or output, write logs, or depend on the encoding of messages.
func TestDecisionPackages(t *testing.T) {
	is := is.New(t)
	directories, forbidden := readRules(t, filepath.Join("testdata", "rules.txt"))
	files := 0
	for _, directory := range directories {
		err := filepath.WalkDir(filepath.Join("..", "..", directory), func(path string, entry os.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			return checkImports(t, path, forbidden)
		})
		is.NoErr(err)
	}
	is.True(files > 0) // otherwise the listed directories contain no Go code
}

// checkImports reports each import of the file at path that a forbidden path equals or
// contains as a parent.
func checkImports(t *testing.T, path string, forbidden []string) error {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		return err
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			return err
		}
		for _, rule := range forbidden {
			if name == rule || strings.HasPrefix(name, rule+"/") {
				t.Errorf("%s imports %s", path, name)
			}
		}
	}
	return nil
}

// readRules returns the directories to check and the import paths that they may not use.
func readRules(t *testing.T, path string) (directories, forbidden []string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		kind, value, _ := strings.Cut(lines.Text(), " ")
		switch kind {
		case "directory":
			directories = append(directories, value)
		case "forbid":
			forbidden = append(forbidden, value)
		}
	}
	return directories, forbidden
}
