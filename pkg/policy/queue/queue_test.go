package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/queue"
)

var start = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

// TestQueue guards against a call that is lost or served twice, a lane that serves
// calls in the wrong order, a queue that exceeds its limit, a wrong earliest deadline,
// and a customer that fills more than its share of a full queue.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 12
		waiting := queue.New(limit)
		calls := map[core.AttemptID]queue.Entry{}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			lane := int32(rapid.IntRange(0, 2).Draw(t, "lane"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				call := drawCall(t, step, lane)
				if _, ok := waiting.Push(call); ok {
					calls[call.Attempt] = call
				} else if len(calls) < limit/2 {
					t.Fatal("refused although the queue is less than half full")
				}
			case 2:
				serveLane(t, waiting, calls, lane)
			case 3:
				if id, ok := waiting.EarliestDeadline(); ok {
					delete(calls, waiting.Remove(id).Attempt)
				}
			}
			checkQueue(t, waiting, calls, limit)
		}
	})
}

func drawCall(t *rapid.T, step int, lane int32) queue.Entry {
	return queue.Entry{
		Attempt: core.AttemptID(fmt.Sprintf("c%d", step)), Lane: lane, Arrived: start.Add(time.Duration(step)),
		Customer: core.CustomerID(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "customer")),
		Priority: core.Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Deadline: start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "deadline")) * time.Second),
	}
}

func serveLane(t *rapid.T, waiting *queue.Queue, calls map[core.AttemptID]queue.Entry, lane int32) {
	if _, ok := waiting.Head(lane); !ok {
		return
	}
	served := waiting.Serve(lane)
	if _, known := calls[served.Attempt]; !known {
		t.Fatalf("%v was served twice", served.Attempt)
	}
	delete(calls, served.Attempt)
	for _, other := range calls {
		if other.Lane == lane && (other.Priority > served.Priority || other.Priority == served.Priority && other.Arrived.Before(served.Arrived)) {
			t.Fatalf("%v was served before %v", served.Attempt, other.Attempt)
		}
	}
}

func checkQueue(t *rapid.T, waiting *queue.Queue, calls map[core.AttemptID]queue.Entry, limit int) {
	if waiting.Len() != len(calls) || waiting.Len() > limit {
		t.Fatalf("%d calls wait, want %d", waiting.Len(), len(calls))
	}
	id, ok := waiting.EarliestDeadline()
	customers := map[core.CustomerID]int{}
	for _, call := range calls {
		customers[call.Customer]++
		if !ok || call.Deadline.Before(waiting.Entry(id).Deadline) {
			t.Fatalf("%v has an earlier deadline", call.Attempt)
		}
	}
	if len(customers) == 3 && len(calls) == limit {
		for customer, count := range customers {
			if count > limit/2+1 {
				t.Fatalf("customer %v fills %d places", customer, count)
			}
		}
	}
}

// TestFairShares guards against a customer with many waiting calls that delays the
// only call of another customer for another adapter.
func TestFairShares(t *testing.T) {
	waiting := queue.New(100)
	for i := range 10 {
		waiting.Push(queue.Entry{Attempt: core.AttemptID(fmt.Sprint(i)), Customer: "many", Lane: 0, Deadline: start})
	}
	for range 3 {
		waiting.Serve(0)
	}
	waiting.Push(queue.Entry{Attempt: "single", Customer: "one", Lane: 1, Deadline: start})
	many, _ := waiting.Head(0)
	one, _ := waiting.Head(1)
	if !waiting.Before(one, many) {
		t.Fatal("the only call of a customer is not served before the calls of the other customer")
	}
	waiting.Push(queue.Entry{Attempt: "urgent", Customer: "many", Lane: 0, Priority: 1, Deadline: start})
	urgent, _ := waiting.Head(0)
	if !waiting.Before(urgent, one) {
		t.Fatal("the call of higher priority is not served first")
	}
}
