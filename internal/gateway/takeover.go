package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Takeover returns the handler for requests that other entry VMs hand over to this one. Such a
// request is not handed over once more.
func (gateway *Gateway) Takeover() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		call := &call{gateway: gateway, writer: writer, incoming: incoming, start: time.Now(), takenOver: true}
		number, ok := call.adoptCounts(incoming.Header.Get(handoverHeader))
		if !ok {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		call.handedWorkspace = core.WorkspaceID(incoming.Header.Get(handoverWorkspaceHeader))
		incoming.Header.Del(handoverHeader)
		call.adoptSoftware(incoming.Header)
		if gateway.options.Table.RoutesNumber() < number || gateway.stopping.announced() {
			call.decline()
			return
		}
		// The first VM learns at once that this one does not stand still.
		writer.WriteHeader(http.StatusProcessing)
		call.serve()
	})
}

// maxAttemptsBefore bounds the attempts that a VM states to have made.
const maxAttemptsBefore = 10000

// adoptCounts sets what the first VM did with the request from the value of handoverHeader and
// returns the number of its route table. It returns false if the value is not valid.
func (call *call) adoptCounts(value string) (core.ConfigNumber, bool) {
	counts, attempts := &call.counts, &call.attemptsBefore
	var number uint64
	if _, err := fmt.Sscan(value, &counts.Sends, &counts.Runs, &call.counted, &call.paid, attempts, &number); err != nil {
		return 0, false
	}
	call.sendsBefore = counts.Sends
	valid := number > 0 && counts.Runs >= 0 && counts.Sends >= counts.Runs && *attempts >= 0 && max(counts.Sends, *attempts) <= maxAttemptsBefore
	return core.ConfigNumber(number), valid
}

// decline answers that this VM has not sent the request to an upstream and will not.
func (call *call) decline() {
	handovers.Inc("to", "declined")
	call.writer.Header().Set(declinedHeader, "1")
	call.writer.Header().Set("Content-Length", "0")
	call.writer.WriteHeader(http.StatusServiceUnavailable)
}
