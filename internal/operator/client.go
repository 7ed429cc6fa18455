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
	// clientTimeout bounds one HTTP exchange. It exceeds the sum of the server's
	// putTimeout and confirmTimeout.
	clientTimeout = 15 * time.Second
	// maxPutAttempts bounds how often one change is sent. Sending the same change
	// again is safe: the server returns the result of the first attempt.
	maxPutAttempts = 3
	// maxAnswerBytes limits the answer of a VM. The lists of the design size have 1.4 MB.
	maxAnswerBytes = 64 << 20
)

// Client calls the operator API of one VM. Use NewClient; the zero value is not usable.
type Client struct {
	base   string
	token  string
	client *http.Client
}

// NewClient returns a client for the operator address of a VM, given as host:port, that
// authenticates with token. If authorityFile is not empty, the client uses TLS and trusts
// the PEM certificates in that file. The error reports a file that cannot be read or
// contains no certificate.
func NewClient(address, token, authorityFile string) (*Client, error) {
	client := &Client{base: "http://" + address + "/admin/v1/", token: token, client: &http.Client{Timeout: clientTimeout}}
	if authorityFile == "" {
		return client, nil
	}
	text, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s contains no PEM certificate", authorityFile)
	}
	client.base = "https://" + address + "/admin/v1/"
	client.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}}
	return client, nil
}

// StatusError is a response with a status other than 200 OK.
type StatusError struct {
	Status int
	Body   []byte
}

// Error returns the status code and the error message of the body, or the standard text
// of the status if the body has none.
func (err *StatusError) Error() string {
	var body errorBody
	if json.Unmarshal(err.Body, &body) == nil && body.Error != "" {
		return fmt.Sprintf("%d: %s", err.Status, body.Error)
	}
	return fmt.Sprintf("%d %s", err.Status, http.StatusText(err.Status))
}

// Uncertain reports whether the change may still be accepted although the call failed.
func (err *StatusError) Uncertain() bool {
	var body errorBody
	return json.Unmarshal(err.Body, &body) == nil && body.Uncertain
}

// ConflictError reports that the configuration that the list was to replace is no longer
// the current one.
type ConflictError struct{ Conflict }

// Error returns the current number and, if known, the change that was accepted instead.
func (err *ConflictError) Error() string {
	if err.Winner == nil {
		return fmt.Sprintf("the current number is %d", err.Number)
	}
	return fmt.Sprintf("the current number is %d; operator %s changed %s at %s", err.Number, err.Winner.Operator, err.Winner.List, err.Winner.Time.Format(time.RFC3339))
}

// RefusedError reports a list that was rejected as invalid, with its validation errors.
type RefusedError struct{ Refused }

// Error returns the number of validation errors.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("the list has %d faults", len(err.Faults))
}

// Plans returns the plans of the configuration with the given number, or of the newest
// one if number is zero. The error is a *StatusError if the VM returns no plans.
func (client *Client) Plans(ctx context.Context, number core.ConfigNumber) (PlansAnswer, error) {
	var answer PlansAnswer
	err := client.call(ctx, http.MethodGet, fmt.Sprintf("plans?number=%d", number), nil, &answer)
	return answer, err
}

// Grants returns the grants of the configuration with the given number, or of the newest
// one if number is zero. The error is a *StatusError if the VM returns no grants.
func (client *Client) Grants(ctx context.Context, number core.ConfigNumber) (GrantsAnswer, error) {
	var answer GrantsAnswer
	err := client.call(ctx, http.MethodGet, fmt.Sprintf("grants?number=%d", number), nil, &answer)
	return answer, err
}

// Put replaces the list of the given kind. It sends the change up to maxPutAttempts times
// while the response is lost or uncertain. The error is a *ConflictError, a
// *RefusedError, a *StatusError, or a connection error. After a connection error, or a
// *StatusError whose Uncertain method returns true, the change may have been accepted.
func (client *Client) Put(ctx context.Context, kind core.ListKind, body any) (Accepted, error) {
	var accepted Accepted
	var err error
	for range maxPutAttempts {
		err = client.call(ctx, http.MethodPut, kind.String(), body, &accepted)
		var status *StatusError
		if err == nil || errors.As(err, &status) && !status.Uncertain() {
			break
		}
	}
	return accepted, decodePutError(err)
}

// decodePutError returns the *ConflictError or *RefusedError that a *StatusError contains,
// and any other error unchanged.
func decodePutError(err error) error {
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

// History returns the accepted changes with a number above after, oldest first. It
// requests pages until one is empty. The error is a *StatusError if the VM returns none.
func (client *Client) History(ctx context.Context, after core.ConfigNumber) ([]Change, error) {
	var changes []Change
	for {
		var answer History
		if err := client.call(ctx, http.MethodGet, fmt.Sprintf("history?after=%d", after), nil, &answer); err != nil {
			return nil, err
		}
		if len(answer.Changes) == 0 {
			return changes, nil
		}
		changes = append(changes, answer.Changes...)
		after = changes[len(changes)-1].Number
	}
}

// Status returns the status of the deployment as the VM knows it.
func (client *Client) Status(ctx context.Context) (Status, error) {
	var answer Status
	err := client.call(ctx, http.MethodGet, "status", nil, &answer)
	return answer, err
}

// SetLevel changes the log level of the VM. The error is a *RefusedError for an unknown
// level.
func (client *Client) SetLevel(ctx context.Context, level string) error {
	return decodePutError(client.call(ctx, http.MethodPut, "log-level", Level{level}, &Level{}))
}

func (client *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, client.base+path, content)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+client.token)
	response, err := client.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to VM")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if len(text) > maxAnswerBytes {
		return errors.Errorf("the answer has more than %d bytes", maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return &StatusError{response.StatusCode, text}
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}
