package vm

import (
	"context"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/internal/host"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/replica/ledger"
)

// archive reads accepted configurations from this VM's replica, or from another VM with a
// disk if this VM has no replica.
type archive struct {
	replica *host.Replica
	diskVMs []core.VMID
	client  *peer.Client
}

// Config returns the accepted configuration with a number, or the newest for number zero.
// The boolean is false if there is no such configuration.
func (archive archive) Config(ctx context.Context, number core.ConfigNumber) (core.Config, bool, error) {
	var config core.Config
	found, err := archive.fetch(ctx, &wire.ConfigFetch{Number: uint64(number)}, &config)
	return config, found, err
}

// History returns up to limit configuration changes after a number, oldest first.
func (archive archive) History(ctx context.Context, after core.ConfigNumber, limit int) ([]ledger.Change, error) {
	var changes []ledger.Change
	_, err := archive.fetch(ctx, &wire.ConfigFetch{After: uint64(after), Limit: uint32(limit)}, &changes)
	return changes, err
}

// fetch decodes the page that answers a request into target. It returns false if the
// page does not exist.
func (archive archive) fetch(ctx context.Context, request *wire.ConfigFetch, target any) (bool, error) {
	page, err := archive.page(ctx, request)
	if err != nil {
		return false, err
	}
	if !page.GetFound() {
		return false, nil
	}
	if err := json.Unmarshal(page.Body, target); err != nil {
		return false, errors.Wrap(err, "decode configuration")
	}
	return true, nil
}

// page returns the page that answers a request. It returns the error of the last VM that
// was asked if no VM with a disk answered.
func (archive archive) page(ctx context.Context, request *wire.ConfigFetch) (*wire.ConfigPage, error) {
	if archive.replica != nil {
		return archive.read(request)
	}
	var lastErr error
	for _, vm := range archive.diskVMs {
		response, err := archive.client.Call(ctx, vm, &wire.Request{Body: &wire.Request_ConfigFetch{ConfigFetch: request}})
		if err == nil {
			return response.GetConfigPage(), nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no VM with a disk answered")
}

// read returns the page for a request from this VM's replica.
func (archive archive) read(request *wire.ConfigFetch) (*wire.ConfigPage, error) {
	var value any
	var found bool
	var err error
	archive.replica.View(func(state *ledger.State) {
		if request.Limit > 0 {
			value, found = state.History(core.ConfigNumber(request.After), int(request.Limit)), true
			return
		}
		number := core.ConfigNumber(request.Number)
		if number == 0 {
			number = state.Number()
		}
		value, found, err = state.ConfigAt(number)
	})
	if err != nil || !found {
		return &wire.ConfigPage{}, err
	}
	body, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return &wire.ConfigPage{Found: true, Body: body}, nil
}
