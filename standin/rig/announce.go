package rig

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	// callTimeout is the time in which a control VM must acknowledge an announcement.
	callTimeout = time.Second
	// maxResponseBytes is the largest response to an announcement.
	maxResponseBytes = 4 << 10
	// departureLimit is the time after which an upstream exits whose departure nobody
	// acknowledges.
	departureLimit = 4 * time.Second
	// lingerTime is how much longer than the time for its departure an upstream serves.
	lingerTime = 1500 * time.Millisecond
	// announceRetry is the pause after a round of calls that no control VM acknowledged.
	announceRetry = 200 * time.Millisecond
)

// announcer sends the announcements of one upstream.
type announcer struct {
	upstream *upstream
	client   http.Client
	sequence uint64
	// preferred is the address that the last response named.
	preferred string
	next      int
}

// announceUntilGone announces the upstream until the context ends, then that it leaves, and
// deregisters it after the time for its departure.
func (upstream *upstream) announceUntilGone(ctx context.Context) {
	announcer := &announcer{upstream: upstream, client: http.Client{Timeout: callTimeout}, next: upstream.number(max(1, len(upstream.options.Controls)))}
	beat := time.Duration(upstream.options.BeatMillis) * time.Millisecond
	for ctx.Err() == nil {
		if !announcer.announce(ctx) {
			pause(ctx, announceRetry)
			continue
		}
		pause(ctx, beat*time.Duration(80+upstream.number(40))/100)
	}
	upstream.lock.Lock()
	upstream.leaving = true
	upstream.lock.Unlock()
	limited, cancel := context.WithTimeout(context.Background(), departureLimit)
	defer cancel()
	for !announcer.announce(limited) {
		if limited.Err() != nil {
			return
		}
		pause(limited, announceRetry)
	}
	pause(context.Background(), time.Duration(upstream.options.DrainMillis)*time.Millisecond+lingerTime)
	last, cancelLast := context.WithTimeout(context.Background(), departureLimit)
	defer cancelLast()
	_, _ = announcer.call(last, http.MethodDelete, nil)
}

func (upstream *upstream) isLeaving() bool {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.leaving
}

// announce sends one announcement and reports whether a control VM has acknowledged it.
func (announcer *announcer) announce(ctx context.Context) bool {
	upstream := announcer.upstream
	announcer.sequence++
	body, err := upstream.messages.Announcement(Announcement{
		Upstream: upstream.options.Upstream, Service: upstream.options.Service, Address: upstream.options.Address, Zone: upstream.options.Zone,
		Software: upstream.options.Software, Slots: upstream.options.Spec.Slots, Leaving: upstream.isLeaving(),
		Sequence: announcer.sequence, Born: upstream.born.UnixMilli(), State: upstream.state(),
	})
	if err != nil {
		return false
	}
	response, err := announcer.call(ctx, http.MethodPut, body)
	if err != nil {
		return false
	}
	announcer.preferred = upstream.messages.NextAddress(response)
	return true
}

// call calls control VMs, the preferred one first, until one acknowledges.
func (announcer *announcer) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	var err error
	for range 1 + len(announcer.upstream.options.Controls) {
		address := announcer.preferred
		announcer.preferred = ""
		if address == "" {
			address = announcer.upstream.options.Controls[announcer.next%len(announcer.upstream.options.Controls)]
			announcer.next++
		}
		var response []byte
		if response, err = announcer.callOne(ctx, address, method, body); err == nil {
			return response, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Wrap(err, "call the control VMs")
}

func (announcer *announcer) callOne(ctx context.Context, address, method string, body []byte) ([]byte, error) {
	url := "http://" + address + announcer.upstream.paths.Instances + string(announcer.upstream.options.Upstream)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make the call")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := announcer.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "call a control VM")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the response")
	}
	if response.StatusCode/100 != 2 || len(content) > maxResponseBytes {
		return nil, errors.Errorf("the control VM answered with status %d and %d bytes", response.StatusCode, len(content))
	}
	return content, nil
}
