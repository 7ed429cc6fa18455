// Package settings loads and validates the settings of one VM from JSON with comments.
// A VM without a settings file uses the embedded defaults: a deployment of one VM with a
// disk that listens on loopback addresses.
package settings
