// Package burn computes the error budget report from the audit log: the burn rate of
// each service-level objective of each plan over several windows, and the causes,
// zones, upstreams and adapters behind the bad requests.
//
// The target of an objective is the share of requests that must be good, and the
// error budget is 1 - target. The burn rate is the share of bad requests divided by
// the error budget: at rate 1 the budget of a window is used up exactly at the end
// of the window.
package burn
