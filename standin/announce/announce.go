// Package announce sends the periodic announcements of a stand-in to the VMs.
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
)

const (
	// Interval is the time between two announcements.
	Interval = time.Second
	// answerTimeout bounds one send, so that two more VMs can be tried before the
	// announcement lease of 3 s expires.
	answerTimeout = 400 * time.Millisecond
)

// Body is the JSON body of an announcement, as specified in docs/interfaces.md.
type Body struct {
	Upstream        core.UpstreamID
	Incarnation     core.Incarnation
	Zone            core.ZoneID
	Kind            string
	Name            string
	Address         string
	Software        core.SoftwareVersion
	Leaving         bool
	ChecksFencing   bool
	Resumes         bool
	ExportsCache    bool
	Slots           int
	BatchSize       int
	Resident        []Resident
	Queued          int
	Running         int
	ReportAgeMillis int64
	LastFencing     core.FencingToken
}

// Resident is an adapter version that is loaded in an engine, with the number of
// its queued and running requests.
type Resident struct {
	Adapter core.AdapterID
	Version core.Version
	Running int
}

// Announcer sends messages to one of several VMs. It keeps using the VM that
// accepted the last message until a send to it fails, and then tries the next.
type Announcer struct {
	vms      []string
	token    string
	client   *http.Client
	selected int
}

// New returns an announcer for VMs with the given addresses. The token is sent as
// bearer token.
func New(vms []string, token string) *Announcer {
	return &Announcer{vms: vms, token: token, client: &http.Client{Timeout: answerTimeout}}
}

// Run sends the result of body once per Interval until the context ends, and calls
// onAccepted with each announcement that a VM accepted.
func (announcer *Announcer) Run(ctx context.Context, body func() Body, onAccepted func(Body)) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		current := body()
		if announcer.Post(ctx, "/v1/announce", current) == nil {
			onAccepted(current)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Post sends the message as JSON to one VM after the other until one answers with
// status 200, and returns the last error if none does. It must not be called
// concurrently.
func (announcer *Announcer) Post(ctx context.Context, path string, message any) error {
	content, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	err = errors.New("no VM address is configured")
	for range announcer.vms {
		if err = announcer.post(ctx, announcer.vms[announcer.selected]+path, content); err == nil {
			return nil
		}
		announcer.selected = (announcer.selected + 1) % len(announcer.vms)
	}
	return err
}

func (announcer *Announcer) post(ctx context.Context, address string, content []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, bytes.NewReader(content))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+announcer.token)
	response, err := announcer.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("VM answered with status %s", response.Status)
	}
	return nil
}
