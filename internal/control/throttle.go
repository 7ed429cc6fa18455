package control

import (
	"strconv"
	"time"

	"github.com/dandelionring/dandelionring/internal/clock"
	"github.com/dandelionring/dandelionring/internal/peer"
	"github.com/dandelionring/dandelionring/internal/wire"
)

// maxAdmissionWait bounds the time for which a turn can be reserved in advance.
const maxAdmissionWait = 10 * time.Second

// admit stores the limit that an entry VM reports, publishes it if it is news, and grants a
// turn if the VM asks for one.
func (control *Control) admit(request *wire.Admit) *wire.AdmitResult {
	now := clock.Now()
	statement := peer.StatedLimitFromMessage(request.GetLimit())
	control.lock.Lock()
	defer control.lock.Unlock()
	if control.throttles.Observe(now, statement) {
		control.options.Logger.Info("An upstream changed its limit.", "upstream", statement.Process.Upstream,
			"limited", statement.Limit.Stated, "rate", statement.Limit.Rate, "entry", request.GetVm())
		control.hub.publishLimit(statement)
	}
	if !request.GetReserve() {
		return &wire.AdmitResult{}
	}
	wait := time.Duration(min(request.GetWaitMillis(), uint64(maxAdmissionWait.Milliseconds()))) * time.Millisecond
	left, admitted := control.throttles.Reserve(now, statement.Process, wait)
	admissionCounts.Inc(strconv.FormatBool(admitted), strconv.FormatBool(left > 0))
	// Rounded up: a VM that waits for too short a time asks twice.
	return &wire.AdmitResult{Admitted: admitted, WaitMillis: uint64((left + time.Millisecond - 1).Milliseconds())}
}
