// Package load plays the callers: it sends model requests and service calls to
// the entry VMs, records every answer, and judges the records together with the
// journals of the stand-ins.
package load
