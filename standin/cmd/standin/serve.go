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

// listen opens the address and prints it as one JSON line, so that a script can
// use port 0.
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

// serve answers until the context ends, and then cuts off what is left: a
// stand-in has no graceful shutdown of its own.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { server.Close() })
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// openJournal returns a function that opens the journal for an incarnation, and
// the error of the last call.
func openJournal(path string, upstream core.UpstreamID) (open func(core.Incarnation) *journal.Writer, result func() error) {
	var failure error
	open = func(incarnation core.Incarnation) *journal.Writer {
		writer, _, err := journal.Open(path, upstream, incarnation)
		if err != nil {
			failure = err
			return &journal.Writer{}
		}
		return writer
	}
	return open, func() error { return failure }
}

func engineCommand() command {
	address, path := anyPort, ""
	upstream, zone, model := "engine-1", "a", "base-model"
	settings := engine.Settings{
		Slots: 8, BatchSize: 16, TokenTime: 5 * time.Millisecond, LoadTime: 250 * time.Millisecond, Resumes: true,
		PrefixBlocks: 4096, PrefillBlocks: 8, EventDelay: 500 * time.Millisecond, EventLoss: 0.05, ReportLag: 150 * time.Millisecond,
	}
	noResume := false
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "Run a model engine."
	sub.String(&address, "", "listen", "address to listen on")
	sub.String(&settings.Address, "", "advertise", "address to announce, if it is not the one listened on")
	sub.String(&path, "", "journal", "file that records every run and violation")
	sub.String(&upstream, "", "upstream", "name of the engine")
	sub.String(&zone, "", "zone", "availability zone")
	sub.String(&model, "", "model", "base model")
	sub.StringSlice(&settings.VMs, "", "vm", "address of a VM for announcements; repeat for several")
	sub.String(&settings.VMToken, "", "upstream-token", "bearer token for announcements")
	sub.String(&settings.Store, "", "store", "address of the weight store")
	sub.Int(&settings.Slots, "", "slots", "number of adapter slots")
	sub.Int(&settings.BatchSize, "", "batch", "number of requests in the batch")
	sub.Duration(&settings.TokenTime, "", "token-time", "time per token")
	sub.Duration(&settings.LoadTime, "", "load-time", "time of a load without a store")
	sub.Bool(&settings.ChecksFencing, "", "checks-fencing", "refuse orders with an old fencing token")
	sub.Bool(&noResume, "", "no-resume", "refuse to resume streams")
	sub.Int(&settings.PrefixBlocks, "", "prefix-blocks", "memory of the prefix cache in blocks of 256 bytes")
	sub.Int(&settings.PrefillBlocks, "", "prefill-blocks", "uncached blocks processed in one step; 0 for no limit")
	sub.Duration(&settings.EventDelay, "", "event-delay", "age of published cache events")
	sub.Float64(&settings.EventLoss, "", "event-loss", "share of cache events that is lost")
	sub.Duration(&settings.ReportLag, "", "report-lag", "age of the load report")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("engine", address)
		if err != nil {
			return err
		}
		settings.Upstream, settings.Zone, settings.Model = core.UpstreamID(upstream), core.ZoneID(zone), core.ModelID(model)
		settings.Resumes = !noResume
		if settings.Address == "" {
			settings.Address = listener.Addr().String()
		}
		open, result := openJournal(path, settings.Upstream)
		current := engine.New(settings, open, os.Exit)
		if err := result(); err != nil {
			return err
		}
		go current.Run(ctx)
		return serve(ctx, listener, current.Handler())
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
	sub.String(&path, "", "journal", "file that records every run")
	sub.String(&upstream, "", "upstream", "name of the process")
	sub.String(&zone, "", "zone", "availability zone")
	sub.String(&name, "", "service", "name of the service")
	sub.StringSlice(&settings.VMs, "", "vm", "address of a VM for announcements; repeat for several")
	sub.String(&settings.VMToken, "", "upstream-token", "bearer token for announcements")
	sub.Duration(&settings.Delay, "", "delay", "time that a call runs")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("service", address)
		if err != nil {
			return err
		}
		settings.Upstream, settings.Zone, settings.Service = core.UpstreamID(upstream), core.ZoneID(zone), core.ServiceID(name)
		if settings.Address == "" {
			settings.Address = listener.Addr().String()
		}
		open, result := openJournal(path, settings.Upstream)
		current := service.New(settings, open)
		if err := result(); err != nil {
			return err
		}
		go current.Run(ctx)
		return serve(ctx, listener, current.Handler())
	}}
}

func storeCommand() command {
	address, loads := anyPort, 7.0
	settings := store.Settings{FullSpeed: 25, LoadTime: 250 * time.Millisecond}
	sub := flaggy.NewSubcommand("store")
	sub.Description = "Run the weight store."
	sub.String(&address, "", "listen", "address to listen on")
	sub.Float64(&loads, "", "loads-per-second", "limit of loads per second")
	sub.Int(&settings.FullSpeed, "", "full-speed", "loads in transit at full speed")
	sub.Duration(&settings.LoadTime, "", "load-time", "time of a load at full speed")
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
	sub.Description = "Run a TCP relay; routes are added over its control address."
	sub.String(&address, "", "listen", "control address")
	return command{sub: sub, run: func(ctx context.Context) error {
		listener, err := listen("relay", address)
		if err != nil {
			return err
		}
		return serve(ctx, listener, relay.New(ctx).Handler())
	}}
}
