// Command stallcurve measures the curve of StallWeight on a virtual clock and draws it
// into the file that its argument names; the ending of the name sets the format. It is
// a module of its own, so that the programs do not depend on a plot library.
package main
