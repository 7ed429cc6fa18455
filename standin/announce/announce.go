// Package announce sends the announcements of a stand-in to the entry VMs.
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
	// answerTimeout leaves time for two other VMs within the lease of 3 s.
	answerTimeout = 400 * time.Millisecond
)

// Body is the announcement as docs/interfaces.md describes it.
type Body struct {
	Upstream        core.UpstreamID
	Incarnation     core.Incarnation
	Zone            core.ZoneID
	Kind            string
	Name            string
	Address         string
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

// Resident is one adapter version that an engine holds.
type Resident struct {
	Adapter core.AdapterID
	Version core.Version
	Running int
}

// Announcer sends announcements to the first VM that accepts one, and stays with
// it until it fails.
type Announcer struct {
	vms     []string
	token   string
	client  *http.Client
	current int
}

// New returns an announcer for the addresses of the VMs.
func New(vms []string, token string) *Announcer {
	return &Announcer{vms: vms, token: token, client: &http.Client{Timeout: answerTimeout}}
}

// Run announces body's result every interval until the context ends. It tells
// accepted when a VM accepted an announcement.
func (announcer *Announcer) Run(ctx context.Context, body func() Body, accepted func(Body)) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		current := body()
		if announcer.Post(ctx, "/v1/announce", current) == nil {
			accepted(current)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Post sends the message to the VMs, one after the other, until one accepts it.
// It must not be called concurrently.
func (announcer *Announcer) Post(ctx context.Context, path string, message any) error {
	content, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	err = errors.New("no VM is known")
	for range announcer.vms {
		if err = announcer.post(ctx, announcer.vms[announcer.current]+path, content); err == nil {
			return nil
		}
		announcer.current = (announcer.current + 1) % len(announcer.vms)
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
		return errors.Errorf("announcement answered with %s", response.Status)
	}
	return nil
}
