package audit

import "fmt"

// Report is the result of Verify.
type Report struct {
	// Faults are violations of integrity or permission. Notices should be examined but can
	// have harmless causes.
	Faults  []Finding
	Notices []Finding
	Writers int
	// Records counts distinct records. Single counts those with one copy; it is 0 if
	// Scope.Partial is set.
	Records int
	Single  int
	// Runs counts start records, and Joined those whose configuration or route table is
	// known.
	Runs    int
	Joined  int
	Refused int
}

// Valid reports whether there are no faults.
func (report Report) Valid() bool {
	return len(report.Faults) == 0
}

// Scope describes which data is available to Verify.
type Scope struct {
	// Partial is set if folders of some VMs with a disk are absent. Verify then does not
	// report sequence gaps, missing start records and single copies.
	Partial bool
	// History holds the configurations that runs are checked against; nil skips this check.
	History History
}

// Verify checks the hash chain of every folder, merges the records of all folders, and
// checks each run against its configuration. It returns an error if files cannot be read;
// problems with their content are in the report.
func Verify(folders []string, scope Scope) (Report, error) {
	report := Report{Writers: len(folders)}
	runs := newRunCheck(&report, scope.History)
	pruned := false
	for _, folder := range folders {
		chain, err := checkChain(folder, runs.addCopy)
		if err != nil {
			return Report{}, err
		}
		pruned = pruned || chain.pruned
		report.Faults = append(report.Faults, chain.findings...)
		if !chain.hasHead {
			report.Notices = append(report.Notices, Finding{Kind: KindNoHead, File: folder, Detail: "the folder has no head, so its end cannot be checked"})
		}
	}
	runs.finish(scope.Partial, pruned)
	if report.Single > 0 && len(folders) > 1 {
		report.Notices = append(report.Notices, Finding{Kind: KindSingleCopy, Detail: fmt.Sprintf("%d records have one copy", report.Single)})
	}
	return report, nil
}
