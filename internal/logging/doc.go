// Package logging creates the loggers of a VM's components. Each component has a fixed
// prefix, all loggers share one level that can change at run time, and configured secrets
// are removed from every line.
package logging
