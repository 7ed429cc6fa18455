// Package strict decodes JSON with comments into structs and collects all faults with
// their lines: unknown and duplicate keys, and values of the wrong type. Keys are the
// names of the struct fields. It is meant for files and messages written by hand, for
// which one run should report all mistakes.
package strict
