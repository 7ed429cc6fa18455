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
	// Rounds without and with the log alternate, and the cost is computed from the
	// throughput ratio of each pair, so that a slow phase of a shared machine affects
	// both rounds of a pair. With few long rounds, two runs alongside other programs
	// reported costs of 1.4% and 16%.
	rounds        = 21
	roundDuration = 500 * time.Millisecond
	// clientCount is high enough that the processors limit the throughput, not the
	// latency of single requests.
	clientCount = 512
	// maxCostPercent is the stated target: the audit log reduces the throughput by at
	// most 10%.
	maxCostPercent = 10
)

// measurement is one reported value. A value without a target has an empty bound.
type measurement struct {
	name  string
	value float64
	unit  string
	bound string
	pass  bool
}

// Run runs the benchmark and writes one line per figure: name, value, unit, bound, and
// PASS or FAIL. It reports whether every figure is within its bound.
func Run(out io.Writer) (bool, error) {
	folder, err := os.MkdirTemp("", "bench-audit-")
	if err != nil {
		return false, errors.Wrap(err, "create folder")
	}
	defer os.RemoveAll(folder) //nolint:errcheck // a leftover folder does not affect the figures
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
	off, on, err := measureRounds(log)
	if err != nil {
		return nil, err
	}
	cost := 100 * (1 - median(ratios(on.rates, off.rates)))
	stats := log.writer.Stats()
	figures := []measurement{
		{"audit_off_throughput", median(off.rates), "requests/s", "", true},
		{"audit_on_throughput", median(on.rates), "requests/s", "", true},
		{"audit_cost", cost, "%", fmt.Sprintf("<=%d", maxCostPercent), cost <= maxCostPercent},
		{"audit_off_processor", milliseconds(off.cpuPerRequest()), "ms/request", "", true},
		{"audit_on_processor", milliseconds(on.cpuPerRequest()), "ms/request", "", true},
		{"audit_off_p50", milliseconds(off.latencyPercentile(50)), "ms", "", true},
		{"audit_on_p50", milliseconds(on.latencyPercentile(50)), "ms", "", true},
		{"audit_on_p99", milliseconds(on.latencyPercentile(99)), "ms", "", true},
		{"audit_records_per_fsync", float64(stats.Records) / float64(max(stats.Syncs, 1)), "records", "", true},
	}
	closeLog()
	verification, err := measureVerification(log.folders)
	if err != nil {
		return nil, err
	}
	return append(figures, verification...), nil
}

// measureRounds runs alternating rounds without (off) and with (on) the audit log, after
// one discarded round of each.
func measureRounds(log *replicatedLog) (off, on *loadTest, err error) {
	off, on = &loadTest{}, &loadTest{}
	offAddress, closeOff := startRequestPath(nopRecorder{})
	defer closeOff()
	onAddress, closeOn := startRequestPath(log.auditor)
	defer closeOn()
	// The first round of each is discarded; it opens connections and files.
	if err := errors.Join((&loadTest{}).run(offAddress, roundDuration), (&loadTest{}).run(onAddress, roundDuration)); err != nil {
		return nil, nil, err
	}
	for round := range rounds {
		first, second := func() error { return off.run(offAddress, roundDuration) }, func() error { return on.run(onAddress, roundDuration) }
		if round%2 == 1 {
			first, second = second, first
		}
		if err := errors.Join(first(), second()); err != nil {
			return nil, nil, err
		}
	}
	return off, on, nil
}

// ratios returns the quotients of corresponding elements.
func ratios(numerators, denominators []float64) []float64 {
	result := make([]float64, len(numerators))
	for i := range numerators {
		result[i] = numerators[i] / denominators[i]
	}
	return result
}

// measureVerification verifies the logs in folders and reports the speed of the
// verification, the faults it found, and the mean size of a record.
func measureVerification(folders []string) ([]measurement, error) {
	started := time.Now()
	report, err := auditlog.Verify(folders, auditlog.Scope{})
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(started)
	size, err := totalSize(folders)
	if err != nil {
		return nil, err
	}
	records := 2*report.Records - report.Single
	return []measurement{
		{"audit_verify_speed", float64(records) / elapsed.Seconds(), "records/s", "", true},
		{"audit_verify_bytes", size / elapsed.Seconds() / 1e6, "MB/s", "", true},
		{"audit_verify_faults", float64(len(report.Faults)), "faults", "<=0", report.Valid()},
		{"audit_bytes_per_record", size / float64(max(records, 1)), "bytes", "", true},
	}, nil
}

// totalSize returns the total size of the audit files in folders, in bytes.
func totalSize(folders []string) (float64, error) {
	total := 0.0
	for _, folder := range folders {
		files, err := auditlog.Files(folder)
		if err != nil {
			return 0, err
		}
		for _, path := range files {
			info, err := os.Stat(filepath.Clean(path))
			if err != nil {
				return 0, errors.Wrap(err, "stat audit file")
			}
			total += float64(info.Size())
		}
	}
	return total, nil
}

// median returns the middle element of the sorted values; values must not be empty.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
