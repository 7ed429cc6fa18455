package origin

import "github.com/dandelionring/dandelionring/pkg/core"

// Answer is what one control VM knows of the origin of a stream.
type Answer struct {
	// Found is set if Origin is the last send of the request that it knows.
	Found  bool
	Origin Origin
	// Sole is the only software version that the service had lately, empty if there were several
	// or if that is not known.
	Sole core.SoftwareVersion
	// Complete is set if the control VM has all records that a majority of its group stored before
	// it became a member, and has lost none of those that it has acknowledged.
	Complete bool
	// View is the group as the control VM knows it.
	View View
}

// Survey collects the answers of a group of control VMs about one stream. A send to another
// software version than the send before it is recorded by a majority of the group before it
// begins. So a majority of complete answers holds the record, and shows that there was no such
// send if it holds none. The zero value has asked no VM.
type Survey struct {
	// Asked is the number of VMs that were asked. It is that of the group if no answer has a view.
	Asked int

	view     View
	complete []core.VMID
	latest   Origin
	found    bool
	sole     map[core.VMID]core.SoftwareVersion
}

// Add adds the answer of one control VM.
func (survey *Survey) Add(vm core.VMID, answer Answer) {
	survey.view = survey.view.Join(answer.View)
	if answer.Complete {
		survey.complete = append(survey.complete, vm)
	}
	if survey.sole == nil {
		survey.sole = make(map[core.VMID]core.SoftwareVersion)
	}
	survey.sole[vm] = answer.Sole
	if answer.Found && (!survey.found || answer.Origin.Newer(survey.latest)) {
		survey.latest, survey.found = answer.Origin, true
	}
}

// Settled reports whether no further answer can show a send to another software version.
func (survey *Survey) Settled() bool { return survey.view.HasMajority(survey.complete, survey.Asked) }

// Origin returns the origin of the stream, and false if it is not known. While the survey is not
// settled, a send that was found may not be the last one.
func (survey *Survey) Origin() (Origin, bool) {
	if !survey.found || !survey.Settled() {
		return Origin{}, false
	}
	return survey.latest, true
}

// Found reports whether a send was found.
func (survey *Survey) Found() bool { return survey.found }

// Latest returns the last send that was found, and false if none was.
func (survey *Survey) Latest() (Origin, bool) { return survey.latest, survey.found }

// Sole returns the only version that the service had lately, as a majority of the group and all
// that have answered state. It returns an empty one if there is none, or if a send to another
// version was found.
func (survey *Survey) Sole() core.SoftwareVersion {
	var stated []core.SoftwareVersion
	for vm, software := range survey.sole {
		if survey.view.Number == 0 || survey.view.Contains(vm) {
			stated = append(stated, software)
		}
	}
	group := survey.Asked
	if survey.view.Number > 0 {
		group = len(survey.view.VMs)
	}
	sole := Agreed(stated, group)
	if survey.found && survey.latest.Software != sole {
		return ""
	}
	return sole
}
