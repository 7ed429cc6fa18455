// Command stallcurve simulates deployment 2 on a virtual clock for several values of
// StallWeight and plots the batch fill over the total wait for adapters. The plot is
// written to the file given as the only argument; the file name extension selects the
// format. The command is in a separate module so that the other programs do not depend
// on a plotting library.
package main
