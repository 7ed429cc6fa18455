package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/engine"
	"github.com/dandelionring/dandelionring/standin/journal"
	"github.com/dandelionring/dandelionring/standin/relay"
	"github.com/dandelionring/dandelionring/standin/service"
	"github.com/dandelionring/dandelionring/standin/store"
)

const anyPort = "127.0.0.1:0"

// listen listens on the address and prints the actual address as one line of JSON, so
// that a script can use port 0.
func listen(program, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	err = json.NewEncoder(os.Stdout).Encode(map[string]string{"Program": program, "Address": listener.Addr().String()})
	if err != nil {
		return nil, errors.Wrap(err, "print address")
	}
	return listener, nil
}

// serve handles requests until the context ends and then closes all connections,
// because a stand-in has no graceful shutdown. It returns nil after such an end.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// openJournal returns a function that opens the journal for an incarnation, and a
// function that returns its error. After an error, entries are discarded.
func openJournal(path string, upstream core.UpstreamID) (open func(core.Incarnation) *journal.Writer, journalError func() error) {
	var openError error
	open = func(incarnation core.Incarnation) *journal.Writer {
		writer, _, err := journal.Open(path, upstream, incarnation)
		if err != nil {
			openError = err
			return &journal.Writer{}
		}
		return writer
	}
	return open, func() error { return openError }
}

func engineCommand() command {
	address, path := anyPort, ""
	upstream, zone, model := "engine-1", "a", "base-model"
	settings := engine.Settings{
		Slots: 8, BatchSize: 16, TokenTime: 5 * time.Millisecond, LoadTime: 250 * time.Millisecond, Resumes: true,
		PrefixBlocks: 4096, PrefillBlocks: 8, EventDelay: 500 * time.Millisecond, EventLoss: 0.05, ReportLag: 150 * time.Millisecond,
	}
	noResume, software := false, string(engine.DefaultSoftware)
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "Run a model engine."
	sub.String(&address, "", "listen", "address to listen on")
	sub.String(&settings.Address, "", "advertise", "address to announce, if it is not the one listened on")
	sub.String(&path, "", "journal", "journal file for runs and violations")
	sub.String(&upstream, "", "upstream", "upstream name of the engine")
	sub.String(&zone, "", "zone", "availability zone")
	sub.String(&model, "", "model", "base model")
	sub.StringSlice(&settings.VMs, "", "vm", "address of a VM for announcements; repeat for several")
	sub.String(&settings.VMToken, "", "upstream-token", "bearer token for announcements")
	sub.String(&settings.Store, "", "store", "address of the weight store")
	sub.Int(&settings.Slots, "", "slots", "number of adapter slots")
	sub.Int(&settings.BatchSize, "", "batch", "maximum number of requests in the batch")
	sub.Duration(&settings.TokenTime, "", "token-time", "duration of one batch step, which produces one token per request")
	sub.Duration(&settings.LoadTime, "", "load-time", "duration of a load without a store")
	sub.Bool(&settings.ChecksFencing, "", "checks-fencing", "refuse orders with an old fencing token")
	sub.String(&software, "", "software", "version of the engine's software; the tokens of two versions do not fit together")
	sub.Bool(&noResume, "", "no-resume", "refuse to resume streams")
	sub.Int(&settings.PrefixBlocks, "", "prefix-blocks", "capacity of the prefix cache in blocks of 256 bytes")
	sub.Int(&settings.PrefillBlocks, "", "prefill-blocks", "uncached blocks processed in one step; 0 for no limit")
	sub.Duration(&settings.EventDelay, "", "event-delay", "interval at which cache events are published; 0 for none")
	sub.Float64(&settings.EventLoss, "", "event-loss", "share of cache events that are lost")
	sub.Duration(&settings.ReportLag, "", "report-lag", "age of the load report")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("engine", address)
		if err != nil {
			return err
		}
		settings.Upstream, settings.Zone, settings.Model = core.UpstreamID(upstream), core.ZoneID(zone), core.ModelID(model)
		settings.Resumes, settings.Software = !noResume, core.SoftwareVersion(software)
		if settings.Address == "" {
			settings.Address = listener.Addr().String()
		}
		open, journalError := openJournal(path, settings.Upstream)
		instance := engine.New(settings, open, os.Exit)
		if err := journalError(); err != nil {
			return err
		}
		go instance.Run(ctx)
		return serve(ctx, listener, instance.Handler())
	}}
}

func serviceCommand() command {
	address, path := anyPort, ""
	upstream, zone, name := "service-1", "a", "billing"
	settings := service.Settings{Delay: 5 * time.Millisecond}
	sub := flaggy.NewSubcommand("service")
	sub.Description = "Run a plain service."
	sub.String(&address, "", "listen", "address to listen on")
	sub.String(&settings.Address, "", "advertise", "address to announce, if it is not the one listened on")
	sub.String(&path, "", "journal", "journal file for runs")
	sub.String(&upstream, "", "upstream", "upstream name of the process")
	sub.String(&zone, "", "zone", "availability zone")
	sub.String(&name, "", "service", "name of the service")
	sub.StringSlice(&settings.VMs, "", "vm", "address of a VM for announcements; repeat for several")
	sub.String(&settings.VMToken, "", "upstream-token", "bearer token for announcements")
	sub.Duration(&settings.Delay, "", "delay", "duration of a call")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("service", address)
		if err != nil {
			return err
		}
		settings.Upstream, settings.Zone, settings.Service = core.UpstreamID(upstream), core.ZoneID(zone), core.ServiceID(name)
		if settings.Address == "" {
			settings.Address = listener.Addr().String()
		}
		open, journalError := openJournal(path, settings.Upstream)
		instance := service.New(settings, open)
		if err := journalError(); err != nil {
			return err
		}
		go instance.Run(ctx)
		return serve(ctx, listener, instance.Handler())
	}}
}

func storeCommand() command {
	address, loads := anyPort, 7.0
	settings := store.Settings{FullSpeed: 25, LoadTime: 250 * time.Millisecond}
	sub := flaggy.NewSubcommand("store")
	sub.Description = "Run the weight store."
	sub.String(&address, "", "listen", "address to listen on")
	sub.Float64(&loads, "", "loads-per-second", "maximum number of loads per second")
	sub.Int(&settings.FullSpeed, "", "full-speed", "maximum number of concurrent loads at full speed")
	sub.Duration(&settings.LoadTime, "", "load-time", "duration of a load at full speed")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("store", address)
		if err != nil {
			return err
		}
		settings.LoadsPerSecond = core.LoadsPerSecond(loads)
		return serve(ctx, listener, store.New(settings).Handler())
	}}
}

func relayCommand() command {
	address := anyPort
	sub := flaggy.NewSubcommand("relay")
	sub.Description = "Run a TCP relay; routes are added through its control address."
	sub.String(&address, "", "listen", "control address")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("relay", address)
		if err != nil {
			return err
		}
		return serve(ctx, listener, relay.New(ctx).Handler())
	}}
}
