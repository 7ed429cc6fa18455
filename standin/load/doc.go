// Package load generates the load of the callers: it sends model requests and
// service calls to the entry VMs, records every answer, and checks the records
// against the journals of the stand-ins.
package load
