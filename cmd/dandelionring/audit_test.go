package main

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dandelionring/dandelionring/pkg/audit"
)

// TestRecordLine guards against a start whose workspace is not shown.
func TestRecordLine(t *testing.T) {
	is := is.New(t)
	record := audit.Record{VM: "e", Sequence: 3, At: 1, Event: audit.EventStart, Request: "r", Attempt: "r/1", Config: 7, Route: "x", Service: "s", Workspace: "north"}
	is.Equal(recordLine(record), "1970-01-01T00:00:00.001Z start e/3 attempt r/1 route table 7 route x service s workspace north")
	record.Workspace = ""
	is.Equal(recordLine(record), "1970-01-01T00:00:00.001Z start e/3 attempt r/1 route table 7 route x service s")
}
