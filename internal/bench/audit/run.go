package audit

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	auditlog "github.com/dandelionring/dandelionring/pkg/audit"
)

const (
	// Rounds without and with the log alternate, and each pair gives one ratio, so
	// that a slow phase of a shared machine hits both sides of it. Few long rounds
	// gave costs from 1.4% to 16% in two runs while other programs ran.
	rounds    = 21
	roundTime = 500 * time.Millisecond
	// clients is high enough that the path is bound by processors and not by the
	// waits of single requests.
	clients = 512
	// maxCost is the stated target: at most 10% of the throughput.
	maxCost = 10
)

// measurement is one figure. A figure without a target has an empty bound.
type measurement struct {
	name  string
	value float64
	unit  string
	bound string
	pass  bool
}

// Run measures and writes one line for each figure: name value unit bound
// PASS|FAIL. It returns whether every bound holds.
func Run(out io.Writer) (bool, error) {
	folder, err := os.MkdirTemp("", "bench-audit-")
	if err != nil {
		return false, errors.Wrap(err, "create folder")
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a left-over folder is no fault of the figures
	figures, err := measure(folder)
	if err != nil {
		return false, err
	}
	ok := true
	for _, figure := range figures {
		result := "PASS"
		if !figure.pass {
			result, ok = "FAIL", false
		}
		bound := figure.bound
		if bound == "" {
			bound = "-"
		}
		if _, err := fmt.Fprintf(out, "%s %.3f %s %s %s\n", figure.name, figure.value, figure.unit, bound, result); err != nil {
			return false, errors.Wrap(err, "write figure")
		}
	}
	return ok, nil
}

func measure(folder string) ([]measurement, error) {
	log, closeLog, err := openLog(folder)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	off, on, err := compare(log)
	if err != nil {
		return nil, err
	}
	cost := 100 * (1 - median(ratios(on.rates, off.rates)))
	stats := log.writer.Stats()
	figures := []measurement{
		{"audit_off_throughput", median(off.rates), "requests/s", "", true},
		{"audit_on_throughput", median(on.rates), "requests/s", "", true},
		{"audit_cost", cost, "%", fmt.Sprintf("<=%d", maxCost), cost <= maxCost},
		{"audit_off_processor", millis(off.perRequest()), "ms/request", "", true},
		{"audit_on_processor", millis(on.perRequest()), "ms/request", "", true},
		{"audit_off_p50", millis(off.latency(50)), "ms", "", true},
		{"audit_on_p50", millis(on.latency(50)), "ms", "", true},
		{"audit_on_p99", millis(on.latency(99)), "ms", "", true},
		{"audit_records_per_fsync", float64(stats.Records) / float64(max(stats.Syncs, 1)), "records", "", true},
	}
	closeLog()
	verification, err := verify(log.folders)
	if err != nil {
		return nil, err
	}
	return append(figures, verification...), nil
}

// compare measures the path without and with the audit log in turn.
func compare(log *auditLog) (off, on *load, err error) {
	off, on = &load{}, &load{}
	without, closeWithout := newPath(noRecorder{})
	defer closeWithout()
	with, closeWith := newPath(log.auditor)
	defer closeWith()
	if err := errors.Join((&load{}).run(without, roundTime), (&load{}).run(with, roundTime)); err != nil {
		return nil, nil, err // warms up connections and files
	}
	for round := range rounds {
		first, second := func() error { return off.run(without, roundTime) }, func() error { return on.run(with, roundTime) }
		if round%2 == 1 {
			first, second = second, first
		}
		if err := errors.Join(first(), second()); err != nil {
			return nil, nil, err
		}
	}
	return off, on, nil
}

// ratios divides the figures of each pair of rounds.
func ratios(over, under []float64) []float64 {
	result := make([]float64, len(over))
	for i := range over {
		result[i] = over[i] / under[i]
	}
	return result
}

// verify checks the log that the load has written.
func verify(folders []string) ([]measurement, error) {
	began := time.Now()
	report, err := auditlog.Verify(folders, auditlog.Scope{})
	if err != nil {
		return nil, err
	}
	took := time.Since(began)
	size, err := sizeOf(folders)
	if err != nil {
		return nil, err
	}
	records := 2*report.Records - report.Single
	return []measurement{
		{"audit_verify_speed", float64(records) / took.Seconds(), "records/s", "", true},
		{"audit_verify_bytes", size / took.Seconds() / 1e6, "MB/s", "", true},
		{"audit_verify_faults", float64(len(report.Faults)), "faults", "<=0", report.Sound()},
		{"audit_bytes_per_record", size / float64(max(records, 1)), "bytes", "", true},
	}, nil
}

func sizeOf(folders []string) (float64, error) {
	total := 0.0
	for _, folder := range folders {
		files, err := auditlog.Files(folder)
		if err != nil {
			return 0, err
		}
		for _, path := range files {
			info, err := os.Stat(filepath.Clean(path))
			if err != nil {
				return 0, errors.Wrap(err, "look at audit file")
			}
			total += float64(info.Size())
		}
	}
	return total, nil
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func millis(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
