package main

import (
	"context"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/standin/journal"
	"github.com/dandelionring/dandelionring/standin/load"
)

// errViolations is returned by the check command if the verdict has violations.
var errViolations = errors.New("invariants were violated")

func loadCommand() command {
	out, rate, tokens, name, replay := "records.jsonl", 50.0, 20, "billing", ""
	versions, software := []string{}, []string{}
	settings := load.Settings{
		Duration: 5 * time.Second, Seed: 1, Adapters: 40, AdapterPrefix: "adapter-", Skew: 1.2,
		StreamShare: 0.5, CallShare: 0.2, PinShare: 0.5, Resends: 3, Timeout: 20 * time.Second,
	}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "Send requests to the entry VMs and record every answer."
	sub.StringSlice(&settings.Targets, "", "target", "caller address of a VM; repeat for several")
	sub.String(&settings.Key, "", "key", "bearer key of the customer's plan")
	sub.String(&out, "", "out", "file to which the records are appended")
	sub.Float64(&rate, "", "rate", "requests per second")
	sub.Duration(&settings.Duration, "", "duration", "time for which requests are sent")
	sub.Int(&settings.Requests, "", "requests", "maximum number of requests; 0 for no limit")
	sub.UInt64(&settings.Seed, "", "seed", "random seed of the requests")
	sub.Int(&settings.Adapters, "", "adapters", "number of adapters")
	sub.String(&settings.AdapterPrefix, "", "adapter-prefix", "prefix of the adapter names, followed by a number")
	sub.StringSlice(&versions, "", "adapter-version", "granted version, the newest last; repeat for several")
	sub.StringSlice(&software, "", "software", "version of the engines' software; repeat for several")
	sub.Float64(&settings.Skew, "", "skew", "Zipf exponent of the adapter popularity, above 1")
	sub.Int(&tokens, "", "tokens", "number of tokens of an answer")
	sub.Float64(&settings.StreamShare, "", "stream-share", "share of streamed requests")
	sub.Float64(&settings.CallShare, "", "call-share", "share of service calls")
	sub.Float64(&settings.PinShare, "", "pin-share", "share of model requests that specify a version")
	sub.String(&name, "", "service", "name of the called service")
	sub.String(&settings.Content, "", "content", "prompt of every request")
	sub.Int(&settings.Resends, "", "resends", "maximum number of resends of a call without a final answer")
	sub.Bool(&settings.ResendAll, "", "resend-all", "resend every request that was not answered")
	sub.Duration(&settings.Timeout, "", "timeout", "time limit of one send")
	sub.String(&replay, "", "replay", "file with the records of an earlier load, whose service calls are sent again")
	return command{sub: sub, run: func(ctx context.Context) error {
		if replay != "" {
			var err error
			if settings.Replay, err = load.ReadRecords(replay); err != nil {
				return err
			}
		}
		settings.Rate, settings.Tokens, settings.Service = core.RequestsPerSecond(rate), core.Tokens(tokens), core.ServiceID(name)
		for _, version := range versions {
			settings.Versions = append(settings.Versions, core.Version(version))
		}
		for _, version := range software {
			settings.Software = append(settings.Software, core.SoftwareVersion(version))
		}
		if len(versions) == 0 {
			settings.Versions = []core.Version{"1"}
		}
		recorder, closeRecords, err := load.NewRecorder(out)
		if err != nil {
			return err
		}
		instance, err := load.New(settings, recorder)
		if err == nil {
			err = instance.Run(ctx)
		}
		return errors.Join(err, closeRecords())
	}}
}

func checkCommand() command {
	var records, journals []string
	var audited string
	check := load.Check{MaxViolationsShown: 5}
	sub := flaggy.NewSubcommand("check")
	sub.Description = "Check the records of the callers against the journals of the stand-ins."
	sub.StringSlice(&records, "", "records", "file of records; repeat for several")
	sub.StringSlice(&journals, "", "journal", "journal file of a stand-in; repeat for several")
	sub.String(&audited, "", "audit", "exported audit log, which must contain the start of every run")
	sub.Int64(&check.Event, "", "event", "time of the fault in Unix microseconds, from which the recovery time is measured")
	sub.Int(&check.MaxViolationsShown, "", "show", "number of violations shown in full")
	return command{sub: sub, run: func(context.Context) error {
		var allRecords []load.Record
		for _, path := range records {
			read, err := load.ReadRecords(path)
			if err != nil {
				return err
			}
			allRecords = append(allRecords, read...)
		}
		var entries []journal.Entry
		for _, path := range journals {
			read, err := journal.Read(path)
			if err != nil {
				return err
			}
			entries = append(entries, read...)
		}
		if audited != "" {
			var err error
			if check.Audited, err = load.ReadAudit(audited); err != nil {
				return err
			}
		}
		ok, err := check.Print(os.Stdout, check.Evaluate(allRecords, entries))
		if err == nil && !ok {
			return errViolations
		}
		return err
	}}
}
