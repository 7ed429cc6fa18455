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

const (
	addressVariable = "DANDELIONRING_OPERATOR"
	tokenVariable   = "DANDELIONRING_TOKEN"
)

// remote holds the flags of subcommands that call a VM.
type remote struct {
	address   string
	tokenFile string
	authority string
}

func (remote *remote) attach(command *flaggy.Subcommand) {
	command.String(&remote.address, "o", "operator", "OperatorAddress of a VM (default $"+addressVariable+", then 127.0.0.1:8081)")
	command.String(&remote.tokenFile, "t", "token-file", "file with the operator token (default $"+tokenVariable+", then the development token)")
	command.String(&remote.authority, "", "authority", "file with the certificates that sign the VM's; switches TLS on")
}

func (remote *remote) client() (*operator.Client, error) {
	address := firstOf(remote.address, os.Getenv(addressVariable), settings.Default().OperatorAddress)
	token := firstOf(os.Getenv(tokenVariable), settings.DevelopmentToken)
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

func firstOf(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

// printJSON writes a value for scripts.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "\t")
	if err := encoder.Encode(value); err != nil {
		return errors.Wrap(err, "write output")
	}
	return nil
}
