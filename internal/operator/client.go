package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// callTimeout is above putTimeout and confirmTimeout together.
	callTimeout = 15 * time.Second
	// putTries bounds the sends of one change. A resend of the same change gets the
	// answer to the first one.
	putTries = 3
)

// Client calls a VM as an operator. Use NewClient; the zero value is not usable.
type Client struct {
	base   string
	token  string
	client *http.Client
}

// NewClient returns a client for the operators' address of a VM. With a file of
// authorities it uses TLS.
func NewClient(address, token, authorityFile string) (*Client, error) {
	client := &Client{base: "http://" + address + "/admin/v1/", token: token, client: &http.Client{Timeout: callTimeout}}
	if authorityFile == "" {
		return client, nil
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate", authorityFile)
	}
	client.base = "https://" + address + "/admin/v1/"
	client.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}}
	return client, nil
}

// StatusError is an answer that is not a success.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status and the reason of the answer.
func (err *StatusError) Error() string {
	var body failure
	if json.Unmarshal(err.Body, &body) == nil && body.Error != "" {
		return fmt.Sprintf("%d: %s", err.Status, body.Error)
	}
	return fmt.Sprintf("%d %s", err.Status, http.StatusText(err.Status))
}

// Uncertain reports whether a change may still be accepted.
func (err *StatusError) Uncertain() bool {
	var body failure
	return json.Unmarshal(err.Body, &body) == nil && body.Uncertain
}

// ConflictError says that another change took the number.
type ConflictError struct{ Conflict }

// Error names the winner.
func (err *ConflictError) Error() string {
	if err.Winner == nil {
		return fmt.Sprintf("the current number is %d", err.Number)
	}
	return fmt.Sprintf("the current number is %d; operator %s changed %s at %s", err.Number, err.Winner.Operator, err.Winner.List, err.Winner.Time.Format(time.RFC3339))
}

// RefusedError holds the faults of a list.
type RefusedError struct{ Refused }

// Error counts the faults.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("the list has %d faults", len(err.Faults))
}

// Plans returns the plans of a configuration, the newest for zero.
func (client *Client) Plans(ctx context.Context, number core.ConfigNumber) (PlansAnswer, error) {
	var answer PlansAnswer
	err := client.call(ctx, http.MethodGet, fmt.Sprintf("plans?number=%d", number), nil, &answer)
	return answer, err
}

// Grants returns the grants of a configuration, the newest for zero.
func (client *Client) Grants(ctx context.Context, number core.ConfigNumber) (GrantsAnswer, error) {
	var answer GrantsAnswer
	err := client.call(ctx, http.MethodGet, fmt.Sprintf("grants?number=%d", number), nil, &answer)
	return answer, err
}

// Put sends a list, and sends it again if the answer is lost or uncertain. The error
// is a *ConflictError, a *RefusedError, a *StatusError, or that of the connection,
// after which the change may have been accepted.
func (client *Client) Put(ctx context.Context, kind core.ListKind, body any) (Accepted, error) {
	var accepted Accepted
	var err error
	for range putTries {
		err = client.call(ctx, http.MethodPut, kind.String(), body, &accepted)
		var status *StatusError
		if err == nil || errors.As(err, &status) && !status.Uncertain() {
			break
		}
	}
	return accepted, explain(err)
}

// explain turns the answers to a PUT into their own errors.
func explain(err error) error {
	var status *StatusError
	if !errors.As(err, &status) {
		return err
	}
	switch status.Status {
	case http.StatusConflict:
		conflict := new(ConflictError)
		if json.Unmarshal(status.Body, &conflict.Conflict) == nil {
			return conflict
		}
	case http.StatusUnprocessableEntity:
		refused := new(RefusedError)
		if json.Unmarshal(status.Body, &refused.Refused) == nil {
			return refused
		}
	}
	return err
}

// History returns the changes after a number, the oldest first.
func (client *Client) History(ctx context.Context, after core.ConfigNumber) ([]Change, error) {
	var all []Change
	for {
		var answer History
		if err := client.call(ctx, http.MethodGet, fmt.Sprintf("history?after=%d", after), nil, &answer); err != nil {
			return nil, err
		}
		if len(answer.Changes) == 0 {
			return all, nil
		}
		all = append(all, answer.Changes...)
		after = all[len(all)-1].Number
	}
}

// Status returns the deployment as the VM sees it.
func (client *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := client.call(ctx, http.MethodGet, "status", nil, &answer)
	return answer, err
}

// SetLevel changes the log level of the VM.
func (client *Client) SetLevel(ctx context.Context, level string) error {
	return explain(client.call(ctx, http.MethodPut, "log-level", Level{level}, &Level{}))
}

func (client *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode call")
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, content)
	if err != nil {
		return errors.Wrap(err, "make call")
	}
	request.Header.Set("Authorization", "Bearer "+client.token)
	response, err := client.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call VM")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{response.StatusCode, text}
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	return nil
}
