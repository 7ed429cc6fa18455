// Package config measures the distribution of configuration to 420 nodes in
// virtual time. It runs the tables of package session and the replicated state as
// they are; only the network and the clock are replaced. Messages are encoded, so
// their bytes are those of the real links, and one in a hundred is lost.
//
// Three ways are compared: push alone, polling alone, and push with catch-up at the
// renewal of the session. Update responsiveness and effectiveness are the metrics of
// Sundramoorthy, Hartel and Scholten, "On Consistency Maintenance In Service
// Discovery". Catch-up at the renewal is their technique SRN2, a retry at the next
// renewal of the lease. The measurement supports it: after a cut of 20 s, push alone
// leaves nodes behind until the next change, longer than the deadline.
package config
