package room

import (
	"strconv"
	"testing"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// BenchmarkReview reviews as many requests as wait on one VM, of 16 workspaces. All of them stay, or
// all are sent at once since the reports have stopped.
func BenchmarkReview(b *testing.B) {
	busy := State{Load: 9, Service: 30 * time.Millisecond, Slots: 18, Requests: 150, VMs: 70}
	stale := busy
	stale.Age = 2 * maxAge
	for name, state := range map[string]State{"stay": busy, "stale": stale} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				queue := &Queue{}
				for i := range 512 {
					arrived := time.Duration(i) * time.Microsecond
					queue.Arrive(arrived, Ticket{ID: TicketID(i), Arrived: arrived, Objective: 150 * time.Millisecond, Deadline: 2 * time.Second, Share: Share{Workspace: core.WorkspaceID(strconv.Itoa(i % 16))}, Tokens: 10}, busy)
				}
				b.StartTimer()
				queue.Review(time.Millisecond, func(Ticket) (State, bool) { return state, true })
			}
		})
	}
}
