// Package audit defines the records that state what was run and under which
// configuration, the files that hold them in a hash chain, and the verification
// that finds an altered, dropped, doubled or reordered record.
package audit
