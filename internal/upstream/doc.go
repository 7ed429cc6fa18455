// Package upstream speaks HTTP to upstreams: it takes their announcements, gives
// orders to model engines and passes calls to engines and plain services.
//
// Nothing here repeats a call by itself. Calls that may not be repeated go out on a
// connection of their own, since net/http sends a request again if a reused
// connection turns out to be closed.
package upstream
