// Package strict reads JSON with comments into structs and collects every fault
// with its line: unknown and doubled keys, and values of the wrong kind or unit.
// Keys are the names of the fields. It serves the files and messages that people
// write, where one run should name all mistakes.
package strict
