// Package routing decides which upstream of a group runs a call, and which group
// among the zones gets it.
//
// Inside a group the expected time to the first token decides. It follows from
// the fill of the batch, the owner's own sends on top of a load report that lags,
// and the part of the prompt that the engine has cached.
package routing
