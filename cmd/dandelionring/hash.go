package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/settings"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// hashCommand prints the hash of a key or token, which lists and settings contain in
// its place.
type hashCommand struct {
	generate bool
	json     bool
}

func (hash *hashCommand) define() *flaggy.Subcommand {
	command := flaggy.NewSubcommand("hash")
	command.Description = "print the hash of a key or token for KeyHashes and OperatorTokenHashes"
	command.AdditionalHelpAppend = `
  The key is read from the first line of standard input, so that it does not appear in
  process listings.

  Examples:
    dandelionring hash < key.txt
    dandelionring hash --new`
	command.Bool(&hash.generate, "n", "new", "generate a random key and print it with its hash")
	command.Bool(&hash.json, "j", "json", "print JSON")
	return command
}

// keyHash is the JSON output. Key is set only if it was generated.
type keyHash struct {
	Key  string `json:",omitempty"`
	Hash core.KeyHash
}

func (hash *hashCommand) run() error {
	result, err := hash.result()
	if err != nil {
		return err
	}
	if hash.json {
		return printJSON(result)
	}
	if result.Key != "" {
		fmt.Println("key ", result.Key)
		fmt.Println("hash", result.Hash)
		return nil
	}
	fmt.Println(result.Hash)
	return nil
}

// result hashes the key from standard input, or a generated one.
func (hash *hashCommand) result() (keyHash, error) {
	if hash.generate {
		key := rand.Text()
		return keyHash{key, settings.HashToken(key)}, nil
	}
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		if err == nil {
			err = errors.New("the line is empty")
		}
		return keyHash{}, &exitError{codeUsage, errors.Wrap(err, "read key from standard input")}
	}
	return keyHash{Hash: settings.HashToken(key)}, nil
}
