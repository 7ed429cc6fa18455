package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/internal/operator"
	"github.com/dandelionring/dandelionring/internal/settings"
)

// Environment variables with the defaults of --operator and --token-file.
const (
	addressVariable = "DANDELIONRING_OPERATOR"
	tokenVariable   = "DANDELIONRING_TOKEN"
)

// remote holds the flags for connecting to the operator address of a VM.
type remote struct {
	address   string
	tokenFile string
	authority string
}

// define adds the connection flags to command.
func (remote *remote) define(command *flaggy.Subcommand) {
	command.String(&remote.address, "o", "operator", "OperatorAddress of a VM (default $"+addressVariable+", then 127.0.0.1:8081)")
	command.String(&remote.tokenFile, "t", "token-file", "file with the operator token (default $"+tokenVariable+", then the development token)")
	command.String(&remote.authority, "", "authority", "file with the certificates that sign the VM's; switches TLS on")
}

// client returns a client for the VM that the flags or the environment select.
func (remote *remote) client() (*operator.Client, error) {
	address := firstNonEmpty(remote.address, os.Getenv(addressVariable), settings.Default().OperatorAddress)
	token := firstNonEmpty(os.Getenv(tokenVariable), settings.DevelopmentToken)
	if remote.tokenFile != "" {
		text, err := os.ReadFile(remote.tokenFile)
		if err != nil {
			return nil, &exitError{codeUsage, errors.Wrap(err, "read token")}
		}
		token = strings.TrimSpace(string(text))
	}
	client, err := operator.NewClient(address, token, remote.authority)
	if err != nil {
		return nil, &exitError{codeUsage, err}
	}
	return client, nil
}

// firstNonEmpty returns the first text that is not empty, or "".
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// printJSON writes value as indented JSON to standard output.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "\t")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}
