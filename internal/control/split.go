package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/dandelionring/dandelionring/internal/wire"
)

// maxEventBytes is the size of a watch event from which it is split. It is below the limit of a
// message between VMs by more than the size of any instance or change of weights.
const maxEventBytes = 1 << 20

// splitEvent returns the event, or several events with the same content in the same order if it
// is larger than limit: first its instances, then the rest, whose changes of weights are about
// these instances. Without it, the watches of a control VM that knows very many upstreams would
// all fail.
func splitEvent(event *wire.WatchEvent, limit int) []*wire.WatchEvent {
	if proto.Size(event) <= limit {
		return []*wire.WatchEvent{event}
	}
	var events []*wire.WatchEvent
	for _, instances := range chunkBySize(event.GetInstances(), limit) {
		events = append(events, &wire.WatchEvent{Instances: instances})
	}
	changes := chunkBySize(event.GetResidency(), limit)
	event.Instances, event.Residency = nil, nil
	events = append(events, event)
	for _, residency := range changes {
		events = append(events, &wire.WatchEvent{Residency: residency})
	}
	return events
}

// prefixBytes is the largest size of the tag and the length before a message in a list.
const prefixBytes = 6

// chunkBySize divides messages into chunks of at most limit encoded bytes, or of one message.
func chunkBySize[M proto.Message](messages []M, limit int) [][]M {
	var chunks [][]M
	size := 0
	for _, message := range messages {
		next := proto.Size(message) + prefixBytes
		if len(chunks) == 0 || size+next > limit {
			chunks, size = append(chunks, nil), 0
		}
		last := len(chunks) - 1
		chunks[last] = append(chunks[last], message)
		size += next
	}
	return chunks
}
