package origin

import "github.com/dandelionring/dandelionring/pkg/core"

// Requirement states which software an upstream must have for one request. The zero value
// is that of a new stream, which may begin anywhere.
type Requirement struct {
	// Continues is set if the caller has received events of the stream.
	Continues bool
	// Software is the version that wrote these events, empty if it is not known.
	Software core.SoftwareVersion
}

// Possible reports whether any upstream can meet the requirement. A stream whose version is
// not known is not continued anywhere: that only one version serves now does not show which
// one began it.
func (requirement Requirement) Possible() bool {
	return !requirement.Continues || requirement.Software != ""
}

// Allows reports whether an upstream with the given software version may get the request.
func (requirement Requirement) Allows(software core.SoftwareVersion) bool {
	return !requirement.Continues || requirement.Software != "" && software == requirement.Software
}
