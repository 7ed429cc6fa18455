// Package residency decides which engine of a zone holds which base model and adapters.
// The control VM that owns the engines of a zone keeps one Table. The Table processes
// engine reports, usage reports and placement queries, and returns orders: requests to an
// engine to load weights, to unload weights or to report its state.
//
// Each order carries the number of orders that the engine is expected to have accepted.
// The engine rejects the order if that number differs. A delayed order, or one whose
// response was lost, therefore cannot take effect after a later decision that assumed it
// had not.
package residency
