package routing

import "time"

const (
	// historySpan is the time that one cell of a history covers, and historyCells
	// their number. Load reports older than the product count as that old.
	historySpan  = 50 * time.Millisecond
	historyCells = 64
)

// History remembers how many calls were in flight at an upstream, so that a load
// report that lags is compared with the sends known at its time. The zero value
// is empty.
type History struct {
	cells [historyCells]int32
	now   int64
}

// Set notes the number in flight from now on.
func (history *History) Set(now time.Time, inFlight int) {
	history.advance(now)
	history.cells[history.now%historyCells] = int32(inFlight)
}

// At returns the number in flight at a time, or the oldest known before that.
func (history *History) At(when time.Time) int {
	cell := when.UnixNano() / int64(historySpan)
	cell = min(history.now, max(cell, history.now-historyCells+1, 0))
	return int(history.cells[cell%historyCells])
}

func (history *History) advance(now time.Time) {
	cell := now.UnixNano() / int64(historySpan)
	if cell <= history.now {
		return
	}
	last := history.cells[history.now%historyCells]
	for at := max(history.now+1, cell-historyCells+1); at <= cell; at++ {
		history.cells[at%historyCells] = last
	}
	history.now = cell
}
