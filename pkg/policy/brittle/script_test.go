package brittle

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// TestScripts guards against requests to an upstream that may be full beyond the share of this
// VM, against an upstream that is never tried again, and against VMs that make an upstream fall
// over together.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		guard := &Guard{}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			at, limit := "0s", 0
			load := Load{Slots: 8, VMs: 1, Limit: 4, Phase: 0.5}
			data.MaybeScanArgs(t, "at", &at)
			data.MaybeScanArgs(t, "phase", &load.Phase)
			data.MaybeScanArgs(t, "own", &load.Own)
			data.MaybeScanArgs(t, "others", &load.Others)
			data.MaybeScanArgs(t, "unreported", &load.Unreported)
			data.MaybeScanArgs(t, "stale", &load.Stale)
			data.MaybeScanArgs(t, "slots", &load.Slots)
			data.MaybeScanArgs(t, "vms", &load.VMs)
			if data.HasArg("limit") {
				data.ScanArgs(t, "limit", &limit)
				load.Limit = core.RejectionsPerSecond(limit)
			}
			now, err := time.ParseDuration(at)
			if err != nil {
				t.Fatal(err)
			}
			switch data.Cmd {
			case "new":
				guard = &Guard{}
			case "send":
				left := guard.Wait(now, load)
				if left == 0 {
					guard.Send(now, load)
				}
				return fmt.Sprintln(left)
			case "rejected":
				guard.Rejected(now, load)
			case "accepted":
				guard.Accepted()
			case "play":
				return plays(t, data, load)
			}
			return ""
		})
	})
}

const (
	step = 5 * time.Millisecond
	// downTime is the time after which an upstream is back.
	downTime = 3 * time.Second
	// delay is the time until a VM has the response of the upstream.
	delay = 10 * time.Millisecond
)

// player is a VM of a play.
type player struct {
	guard                   Guard
	own, others, unreported int
	phase                   float64
}

// load returns what the VM knows of the upstream.
func (player *player) load(load Load, stale bool) Load {
	load.Own, load.Others, load.Unreported, load.Phase, load.Stale = player.own, player.others, player.unreported, player.phase, stale
	return load
}

// response is a response on its way.
type response struct {
	at       time.Duration
	player   *player
	rejected bool
}

const (
	playSeeds   = 5
	playSeconds = 30
)

// plays returns the most falls and the least part served of the plays with each seed. The
// argument demand is the number of requests that each VM has in a second, work the milliseconds
// for which a request runs, cut the number of VMs that get no reports, and unguarded makes the
// VMs send without asking their guards.
func plays(t *testing.T, data *datadriven.TestData, load Load) string {
	demand, work, cut, unguarded := 100, 100, 0, false
	data.MaybeScanArgs(t, "demand", &demand)
	data.MaybeScanArgs(t, "work", &work)
	data.MaybeScanArgs(t, "cut", &cut)
	data.MaybeScanArgs(t, "unguarded", &unguarded)
	possible := load.Slots * playSeconds * 1000 / work
	falls, served := 0, possible
	for seed := range uint64(playSeeds) {
		fallen, answered := play(seed, load, demand, work, cut, unguarded)
		falls, served = max(falls, fallen), min(served, answered)
	}
	return fmt.Sprintf("falls=%d served=%.2f\n", falls, float64(served)/float64(possible))
}

// play lets VMs press on one upstream, which has no queue and falls over when it rejects more
// than its limit in a second, and returns the falls and the requests that were answered.
func play(seed uint64, load Load, demand, work, cut int, unguarded bool) (falls, served int) {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a play must repeat
	players := make([]player, load.VMs)
	for i := range players {
		players[i].phase = random.Float64()
	}
	var responses []response
	var rejections []time.Duration
	running, upAfter := 0, time.Duration(0)
	for now := time.Duration(0); now < playSeconds*time.Second; now += step {
		left := responses[:0]
		for _, response := range responses {
			if response.at > now {
				left = append(left, response)
				continue
			}
			player := response.player
			player.own--
			if response.rejected {
				player.guard.Rejected(now, player.load(load, false))
				continue
			}
			player.guard.Accepted()
			running--
			if now >= upAfter {
				served++
			}
		}
		responses = left
		if now%reportInterval == 0 {
			total := 0
			for i := range players {
				total += players[i].own
			}
			for i := range players {
				if i >= cut {
					players[i].others, players[i].unreported = total-players[i].own, 0
				}
			}
		}
		for _, i := range random.Perm(len(players)) {
			if random.Float64() >= float64(demand)*step.Seconds() {
				continue
			}
			player := &players[i]
			known := player.load(load, i < cut)
			if !unguarded && player.guard.Wait(now, known) > 0 || now < upAfter {
				continue
			}
			player.guard.Send(now, known)
			player.own++
			player.unreported++
			if running < load.Slots {
				running++
				responses = append(responses, response{at: now + time.Duration(work)*time.Millisecond, player: player})
				continue
			}
			responses = append(responses, response{at: now + delay, player: player, rejected: true})
			for len(rejections) > 0 && now-rejections[0] >= time.Second {
				rejections = rejections[1:]
			}
			if rejections = append(rejections, now); len(rejections) > int(load.Limit) {
				falls++
				rejections, upAfter = nil, now+downTime
			}
		}
	}
	return falls, served
}
