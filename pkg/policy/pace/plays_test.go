package pace

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPlays plays loads in a model of a deployment, with what the trackers learn and without it.
// It guards against slow upstreams that get as many requests as fast ones, against speeds that
// outlive their change, and against upstreams that are overloaded or left idle after a start.
func TestPlays(t *testing.T) {
	datadriven.Walk(t, "testdata/plays", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			play := parsePlay(t, data)
			with, without := play.run(true), play.run(false)
			t.Logf("%s: late %d with, %d without, of %d", data.Pos, with.late(), without.late(), with.requests())
			var out strings.Builder
			for _, check := range play.checks {
				fmt.Fprintln(&out, check(with, without))
			}
			return out.String()
		})
	})
}

// playSeeds is the number of seeds with which each load is played, with and without what is
// learned.
const playSeeds = 5

// play is a load.
type play struct {
	vms     int
	zones   int
	seconds float64
	setup   []func(model *model)
	checks  []func(with, without plays) string
}

// run plays the load with all seeds.
func (play *play) run(paced bool) plays {
	var all plays
	for seed := range uint64(playSeeds) {
		model := newModel(seed, play.vms, play.zones)
		model.paced = paced
		for _, step := range play.setup {
			step(model)
		}
		model.run(seconds(play.seconds))
		all = append(all, model)
	}
	return all
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// parsePlay reads a play: upstreams, changes at times, and checks.
func parsePlay(t *testing.T, data *datadriven.TestData) *play {
	play := &play{zones: 1}
	var rate, work, objective float64
	data.ScanArgs(t, "vms", &play.vms)
	data.MaybeScanArgs(t, "zones", &play.zones)
	for name, target := range map[string]*float64{"seconds": &play.seconds, "rate": &rate, "work_ms": &work, "objective_ms": &objective} {
		text := ""
		data.ScanArgs(t, name, &text)
		*target = number(t, text)
	}
	play.setup = append(play.setup, func(model *model) {
		model.stream = data.Cmd == "streams"
		model.rate, model.work, model.objective = rate, seconds(work/1000), seconds(objective/1000)
	})
	for line := range strings.Lines(data.Input) {
		fields := strings.Fields(line)
		args := make(map[string]float64)
		for _, field := range fields[1:] {
			if name, text, ok := strings.Cut(field, "="); ok {
				args[name] = number(t, strings.TrimPrefix(text, "u"))
			}
		}
		play.add(t, fields, args)
	}
	return play
}

func number(t *testing.T, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// add adds a line to the play.
func (play *play) add(t *testing.T, fields []string, args map[string]float64) {
	upstream := int(args["upstream"])
	switch fields[0] {
	case "upstreams":
		play.setup = append(play.setup, func(model *model) {
			for range int(args["count"]) {
				model.add(int(args["slots"]), args["speed"], args["down"] == 1)
			}
		})
	case "at":
		play.setup = append(play.setup, func(model *model) {
			model.at(seconds(number(t, fields[1])), func() { change(model, fields[2], args) })
		})
	case "late": // late requests relative to those without the mechanism
		play.checks = append(play.checks, func(with, without plays) string {
			return verdict("late", float64(with.late())/float64(max(1, without.late())), args)
		})
	case "share": // requests to an upstream relative to the mean of all, in a time
		play.checks = append(play.checks, func(with, _ plays) string {
			return verdict("share", with.share(upstream, args["from"], args["to"]), args)
		})
	case "peak": // largest number of requests at an upstream relative to its slots, in a time, as the mean over the seeds
		play.checks = append(play.checks, func(with, _ plays) string {
			return verdict("peak", with.peak(upstream, args["from"], args["to"]), args)
		})
	case "open": // smallest share that a VM gave to an upstream, in a time
		play.checks = append(play.checks, func(with, _ plays) string {
			return verdict("open", with.open(upstream, args["from"], args["to"]), args)
		})
	default:
		t.Fatalf("unknown line %v", fields)
	}
}

// change applies a change to one upstream, or to all from the given one on.
func change(model *model, kind string, args map[string]float64) {
	upstreams := model.upstreams[int(args["upstream"]):]
	if args["all"] == 0 && kind != "rate" {
		upstreams = upstreams[:1]
	}
	for _, upstream := range upstreams {
		switch kind {
		case "speed":
			upstream.speed = args["to"]
		case "start":
			if args["speed"] > 0 {
				upstream.speed = args["speed"]
			}
			model.start(upstream)
		case "stop":
			model.stop(upstream)
		}
	}
	if kind == "rate" {
		model.rate = args["to"]
	}
}

// verdict states whether a figure is within its bounds. The figure is written only if it is not,
// since the order of events may differ in the last digits of times between processors.
func verdict(name string, figure float64, args map[string]float64) string {
	below, hasBelow := args["below"]
	above, hasAbove := args["above"]
	if hasBelow && figure >= below || hasAbove && figure <= above || !hasBelow && !hasAbove {
		return fmt.Sprintf("%s: %.3f is out of bounds", name, figure)
	}
	return name + ": ok"
}

// plays holds the plays of a load with different seeds.
type plays []*model

func (plays plays) late() int {
	late := 0
	for _, model := range plays {
		late += model.late
	}
	return late
}

func (plays plays) requests() int {
	requests := 0
	for _, model := range plays {
		requests += model.requests
	}
	return requests
}

func (plays plays) share(upstream int, from, to float64) float64 {
	own, all := 0, 0
	for _, model := range plays {
		for i, other := range model.upstreams {
			for tenth := int(from * 10); tenth < int(to*10); tenth++ {
				all += other.sent[tenth]
				if i == upstream {
					own += other.sent[tenth]
				}
			}
		}
	}
	return float64(own) * float64(len(plays[0].upstreams)) / float64(max(1, all))
}

func (plays plays) peak(upstream int, from, to float64) float64 {
	sum := 0
	for _, model := range plays {
		peak := 0
		for tenth := int(from * 10); tenth < int(to*10); tenth++ {
			peak = max(peak, model.upstreams[upstream].peak[tenth])
		}
		sum += peak
	}
	return float64(sum) / float64(len(plays)*plays[0].upstreams[upstream].state.Slots)
}

func (plays plays) open(upstream int, from, to float64) float64 {
	open := 1.0
	for _, model := range plays {
		for tenth := int(from * 10); tenth < int(to*10); tenth++ {
			if share, ok := model.upstreams[upstream].open[tenth]; ok {
				open = min(open, share)
			}
		}
	}
	return open
}
