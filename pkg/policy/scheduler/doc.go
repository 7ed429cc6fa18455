// Package scheduler ties the decisions of pkg/policy together for one upstream
// group: the queue, the residency of adapters, the pins, the load budget and the
// choice of an upstream are one deterministic state machine.
//
// A Scheduler is told what happened and when, and collects actions that its user
// carries out. It keeps these rules:
//
//   - A call is sent only to an incarnation of an engine that confirmed the load
//     of its adapter version.
//   - A copy is never evicted while it is pinned by a call whose end is unknown.
//   - An upstream that is leaving, or was silent for core.AnnouncementLease, gets
//     nothing, including calls that were assigned to it but not yet sent.
//   - A new incarnation clears the residency of its engine.
//   - An announcement whose load report is older than the last order for a slot
//     does not change that slot.
//   - Nothing is evicted on an engine before two announcements from it.
package scheduler
