package gateway

import (
	"net/http"
	"net/url"

	"github.com/dandelionring/dandelionring/internal/fleet"
	"github.com/dandelionring/dandelionring/internal/telemetry"
	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/policy/origin"
)

// softwareChanges counts the sends of streams to another software version than the send before,
// by whether a majority of the control VMs has stored their records.
var softwareChanges = telemetry.NewCounterFamily("dandelionring_software_changes_total", "kind", "recorded")

// handoverSoftwareHeader holds the software version of the last send of a stream that is handed
// over, escaped as in a query. It is missing if there was no send or if the version is not known.
const handoverSoftwareHeader = "Handover-Software"

// sentSoftware is the software version of the sends of a stream before its first event. The zero
// value is that of a request that was not sent.
type sentSoftware struct {
	// sent is set once the request was sent.
	sent bool
	// elsewhere is set while another VM may have sent it last, to a version that is not known here.
	elsewhere bool
	version   core.SoftwareVersion
}

// noteSoftware notes the version of the upstream to which the request is sent next.
func (call *call) noteSoftware(version core.SoftwareVersion) {
	call.sentSoftware = sentSoftware{sent: true, version: version}
}

// changesSoftware reports whether the send of a stream goes to another software version than
// the one before it. Until a majority of the control VMs has its record, other VMs may take the
// earlier one for the origin of the stream.
func (call *call) changesSoftware(selection fleet.Selection) bool {
	before := call.sentSoftware
	return call.route.Kind == core.Stream && before.sent && (before.elsewhere || before.version != selection.Software)
}

// sameSoftware returns the query for an upstream with the version of the send before, and false
// if the stream may not be at that version, or has begun. Such a send needs no record that others
// wait for.
func (call *call) sameSoftware(query fleet.Query) (fleet.Query, bool) {
	before := call.sentSoftware
	if call.route.Kind != core.Stream || query.Origin.Continues || !before.sent || before.elsewhere || before.version == "" {
		return query, false
	}
	query.Origin = origin.Requirement{Continues: true, Software: before.version}
	return query, true
}

// setHandoverSoftware names the version of the last send in the head of a handed over request.
func (call *call) setHandoverSoftware(header http.Header) {
	if before := call.sentSoftware; before.sent && !before.elsewhere && call.route.Kind == core.Stream {
		header[handoverSoftwareHeader] = []string{url.QueryEscape(string(before.version))}
	}
}

// adoptSoftware notes what the VM that has handed the request over states of its sends.
func (call *call) adoptSoftware(header http.Header) {
	values := header[handoverSoftwareHeader]
	header.Del(handoverSoftwareHeader)
	if call.counts.Sends == 0 {
		return
	}
	call.sentSoftware = sentSoftware{sent: true, elsewhere: true}
	if len(values) != 1 {
		return
	}
	if version, err := url.QueryUnescape(values[0]); err == nil {
		call.noteSoftware(core.SoftwareVersion(version))
	}
}
