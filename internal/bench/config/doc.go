// Package config simulates the distribution of configuration changes to 420 nodes in
// virtual time and measures its delay and cost. It runs the production code of package
// session and of the replicated state; only the network and the clock are simulated.
// Messages are encoded, so that their sizes are those on real links, and one message in
// a hundred is lost.
//
// Three variants are compared: push alone, polling alone, and push with catch-up when a
// node renews its session. Update responsiveness and effectiveness are the metrics of
// Sundramoorthy, Hartel and Scholten, "On Consistency Maintenance In Service
// Discovery". Catch-up on renewal is their technique SRN2, a retry at the next renewal
// of the lease. The measurement supports it: after a partition of 20 s, push alone
// leaves nodes out of date until the next change, which is longer than the deadline.
package config
