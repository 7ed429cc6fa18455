// Package routing provides the estimates by which a call is assigned to an upstream of
// a group, and selects the group among those of all zones.
//
// Within a group, the expected time to the first token is decisive. It depends on how
// full the batch is, on calls that the owner of the group has sent since the last load
// report, and on the part of the prompt that the engine has cached.
package routing
