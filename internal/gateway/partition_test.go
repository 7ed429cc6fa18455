package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/conviction"
	"github.com/dandelionring/dandelionring/pkg/policy/retry"
)

// countingGuard is a crashGuard that counts the reported ends of upstream processes.
type countingGuard struct{ crashes atomic.Int32 }

func (*countingGuard) Refuse(conviction.Request) (time.Duration, bool) { return 0, false }
func (*countingGuard) Begin(conviction.Request, func()) (release func(), ok bool) {
	return func() {}, true
}
func (*countingGuard) Passed(conviction.Request) {}
func (guard *countingGuard) Crashed(core.UpstreamID, int64, time.Duration, []conviction.Request) {
	guard.crashes.Add(1)
}

// TestRefusalsByAll guards against content of requests that is taken for the cause of the end of
// upstreams, since all of them reset and refuse connections: this VM is partitioned from them. If
// one does so, it has ended.
func TestRefusalsByAll(t *testing.T) {
	const upstreams, requests = 4, 12
	// Three ends convict. Connections to an upstream that ends may break one after another, so
	// that one end is reported twice.
	for _, entry := range []struct {
		refusing    int
		least, most int32
	}{{1, 1, 2}, {upstreams, 0, 2}} {
		t.Run(fmt.Sprint(entry.refusing, " refuse"), func(t *testing.T) {
			is := is.New(t)
			table := fleet.NewTable("z")
			arrived := make(chan struct{}, requests)
			var servers []*httptest.Server
			for i := range upstreams {
				server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
					_, _ = io.Copy(io.Discard, request.Body)
					arrived <- struct{}{}
					<-request.Context().Done()
				}))
				servers = append(servers, server)
				table.SetInstance(clock.Now(), core.Instance{
					Upstream: core.UpstreamID(fmt.Sprint("u", i)), Born: 1, Sequence: 1, Service: "s", Software: "v1", Address: server.Listener.Addr().String(), Zone: "z", Slots: 4,
				})
			}
			table.SetRoutes(core.RouteTable{Number: 1, Routes: []core.Route{{
				Name: "r", Host: "h.example", Prefix: "/p/", Kind: core.NonIdempotent, Timeout: 2 * time.Second, MaxAttempts: 1, Targets: []core.RouteTarget{{Service: "s", Weight: 1}},
			}}})
			guard := &countingGuard{}
			gateway, closeGateway := New(Options{Table: table, Dialect: testDialect{}, Crashes: guard, Repeats: retry.Limits{Window: time.Second}, Logger: log.New(io.Discard)})
			defer closeGateway()
			caller := httptest.NewServer(gateway)
			defer caller.Close()
			var running sync.WaitGroup
			for i := range requests {
				running.Go(func() { sendRequest(caller, fmt.Sprint("r", i), map[string]string{"Patience": "1500"}) })
			}
			for range requests {
				<-arrived
			}
			for _, server := range servers[:entry.refusing] {
				is.NoErr(server.Listener.Close())
			}
			for _, server := range servers[:entry.refusing] {
				running.Go(server.CloseClientConnections)
			}
			running.Wait()
			<-time.After(5 * lossWindow) // the losses are checked
			t.Log("reported ends:", guard.crashes.Load())
			is.True(guard.crashes.Load() >= entry.least)
			is.True(guard.crashes.Load() <= entry.most)
			for _, server := range servers {
				server.Close()
			}
		})
	}
}
