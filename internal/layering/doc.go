// Package layering contains a test that keeps packages with decision logic free of input
// and output, message encodings and logging.
package layering
