// Package layering holds the test that keeps decision packages free of input
// and output, encodings and logs.
package layering
