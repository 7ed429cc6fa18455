// Package routes measures the distribution of route tables from three control VMs to 70, 194 and
// 420 entry VMs: a table with 5,000 routes of which one changes every 0.3 s. It runs the production
// code of packages control, host and fleet in one process; only the links are replaced. Messages are
// encoded and decoded as on real links, which have neither a delay nor a limit here.
package routes
