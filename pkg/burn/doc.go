// Package burn computes the service-level-burn report from the audit log: how fast
// each plan uses up the budget of each of its objectives, over several windows, and
// what used it up.
//
// An objective has a target, the share of good requests. The budget is what the
// target leaves, and the burn rate is the share of bad requests divided by it: at
// rate 1 the budget of a window is used up exactly at the end of the window.
package burn
