// Package scheduler schedules the calls and adapter loads of one upstream group.
// It combines the queue, the residency of adapters, the pins, the load budget and
// the choice of an upstream in one deterministic state machine. A copy is an adapter
// version that occupies a slot of an engine.
//
// The caller reports each event with its time to a Scheduler, and then takes and
// carries out the actions that the Scheduler collected. These invariants hold:
//
//   - A call is sent only to an incarnation of an engine that confirmed the load
//     of its adapter version.
//   - A copy is never evicted while it is pinned by a call that may still run.
//   - An upstream that is leaving, or that has sent no announcement for
//     core.AnnouncementLease, gets no work, including calls that were assigned to
//     it but not yet sent.
//   - A new incarnation clears the residency of its engine.
//   - An announcement does not change a slot if its load report is older than the
//     last request to the engine for that slot, or the last answer.
//   - Nothing is evicted on an engine before the second announcement of its
//     incarnation.
package scheduler
