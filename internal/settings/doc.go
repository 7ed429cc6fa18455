// Package settings reads the settings of one VM: JSON with comments, checked as
// a whole. A VM without a settings file runs with the embedded defaults, which
// hold one VM with a disk on loopback addresses.
package settings
