package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/standin/relay"
)

// The endpoints of the relay of an upstream. A connection over loopback addresses does not
// show which process opened it, so that one endpoint stands for all VMs.
const (
	vmEndpoint       relay.Endpoint = "vms"
	upstreamEndpoint relay.Endpoint = "upstream"
)

// serveRelay relays the connections to the announced address of an upstream until the process
// ends.
func serveRelay(ctx context.Context, options UpstreamOptions) error {
	// The relay serves until the departure of the upstream, after the end of ctx.
	forwarder := relay.New(context.WithoutCancel(ctx))
	if _, err := forwarder.Add(relay.Route{From: vmEndpoint, To: upstreamEndpoint, Listen: options.Address, Target: options.Listen}); err != nil {
		return errors.Wrap(err, "open the route")
	}
	listener, err := net.Listen("tcp", options.RelayControl)
	if err != nil {
		return errors.Wrap(err, "listen for changes")
	}
	go func() { _ = http.Serve(listener, forwarder.Handler()) }()
	return nil
}

// links changes the links to the upstreams that have a relay.
type links struct {
	client http.Client
	// upstreams holds the upstreams with a relay by process.
	upstreams map[string]UpstreamOptions
}

// both stands for the links to and from an upstream, requests and answers for one of them.
var (
	both     = relay.Change{From: []relay.Endpoint{vmEndpoint}, To: []relay.Endpoint{upstreamEndpoint}}
	requests = relay.Change{From: []relay.Endpoint{vmEndpoint}, To: []relay.Endpoint{upstreamEndpoint}, OneWay: true}
	answers  = relay.Change{From: []relay.Endpoint{upstreamEndpoint}, To: []relay.Endpoint{vmEndpoint}, OneWay: true}
)

// change makes a change at the relay of an upstream. Nothing happens if the process is down.
func (links *links) change(target, path string, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		return // the bodies can be encoded
	}
	response, err := links.client.Post("http://"+links.upstreams[target].RelayControl+path, "application/json", bytes.NewReader(text))
	if err == nil {
		response.Body.Close()
	}
}

// cut cuts links for some time.
func (links *links) cut(ctx context.Context, target string, length time.Duration, change relay.Change) {
	links.change(target, "/v1/cut", change)
	pause(ctx, length)
	links.change(target, "/v1/heal", change)
}

// slowMicros is the delay of each part that a slowed relay forwards.
const slowMicros = 40_000

// slow delays the links for some time.
func (links *links) slow(ctx context.Context, target string, length time.Duration) {
	options := links.upstreams[target]
	route := relay.Route{From: vmEndpoint, To: upstreamEndpoint, Target: options.Listen}
	route.DelayMicros = slowMicros
	links.change(target, "/v1/routes", route)
	pause(ctx, length)
	route.DelayMicros = 0
	links.change(target, "/v1/routes", route)
}
