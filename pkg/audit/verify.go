package audit

import "fmt"

// Report is the result of a verification.
type Report struct {
	// Faults contradict the log; Notices need a look but have innocent causes.
	Faults  []Finding
	Notices []Finding
	Writers int
	// Records counts records without their copies, and Single those with one copy.
	Records int
	Single  int
	// Runs counts starts, Joined those with a known configuration.
	Runs    int
	Joined  int
	Refused int
}

// Sound reports whether no fault was found.
func (report Report) Sound() bool {
	return len(report.Faults) == 0
}

// Scope says what a verification can rely on.
type Scope struct {
	// Partial is set if the folders are not those of all VMs with a disk. Gaps and
	// missing starts are then not looked for.
	Partial bool
	// History is nil if runs cannot be compared with their configuration.
	History History
}

// Verify checks the chain of every folder, joins the records of all folders, and
// compares each run with its configuration. The error means that files cannot be
// read; whatever is wrong with their content is in the report.
func Verify(folders []string, scope Scope) (Report, error) {
	report := Report{Writers: len(folders)}
	runs := newRunCheck(&report, scope.History)
	retained := false
	for _, folder := range folders {
		chain, err := checkChain(folder, runs.visit)
		if err != nil {
			return Report{}, err
		}
		retained = retained || chain.retained
		report.Faults = append(report.Faults, chain.findings...)
		if !chain.hasHead {
			report.Notices = append(report.Notices, Finding{Kind: KindNoHead, File: folder, Detail: "the folder has no head, so its end cannot be checked"})
		}
	}
	runs.end(scope.Partial, retained)
	if report.Single > 0 && len(folders) > 1 {
		report.Notices = append(report.Notices, Finding{Kind: KindSingle, Detail: fmt.Sprintf("%d records have one copy", report.Single)})
	}
	return report, nil
}
