package settings

import "github.com/dandelionring/dandelionring/pkg/core"

// Settings are the settings of one VM. The file examples/settings.jsonc documents
// every key with its unit and its default. Use Default or Load; the zero value
// is not valid.
type Settings struct {
	VM   core.VMID
	Zone core.ZoneID

	CallerAddress   string
	OperatorAddress string
	UpstreamAddress string
	PeerAddress     string

	// DataFolder is empty if the VM has no disk.
	DataFolder string
	Peers      []Peer

	SharedSecret        string
	SharedSecretFile    string
	OperatorTokenHashes []core.KeyHash
	UpstreamToken       string

	StallWeight         float64
	StoreLoadsPerSecond core.LoadsPerSecond
	StoreTransits       int
	StoreTransitLimit   int
	// ModelsPerZone is the largest number of base models whose engines run in one
	// zone. The store's limit is split into minimum shares by it.
	ModelsPerZone     int
	AdapterLoadMillis Millis

	DefaultDeadlineMillis Millis
	MaxBodyBytes          core.Bytes

	ConvictionSeconds     Seconds
	ClaimRetentionSeconds Seconds
	ClaimShards           int

	ReadyGraceSeconds Seconds
	// DrainDeadlineSeconds is zero for a drain without an end.
	DrainDeadlineSeconds Seconds

	LogLevel string
	// Workers is zero for one worker per processor.
	Workers         int
	SnapshotEntries int

	AuditRotateBytes core.Bytes
	// AuditRetentionDays is zero for no end.
	AuditRetentionDays Days

	CallerTLS   TLS
	OperatorTLS TLS
	PeerTLS     TLS
}

// Peer is a VM of the deployment, possibly the VM itself.
type Peer struct {
	VM      core.VMID
	Zone    core.ZoneID
	Address string
	// Disk is set if the VM has a data folder.
	Disk bool
}

// TLS names the files of a listener's certificate. The zero value means no TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile holds the certificates that sign the other side's; only peer
	// links use it.
	AuthorityFile string
}

// Enabled reports whether a certificate is set.
func (section TLS) Enabled() bool {
	return section.CertificateFile != ""
}

// Others returns the peers without the VM itself, in the order of the file.
func (settings Settings) Others() []Peer {
	var others []Peer
	for _, peer := range settings.Peers {
		if peer.VM != settings.VM {
			others = append(others, peer)
		}
	}
	return others
}

// Members returns every VM of the deployment, this VM included.
func (settings Settings) Members() []Peer {
	self := Peer{VM: settings.VM, Zone: settings.Zone, Address: settings.PeerAddress, Disk: settings.DataFolder != ""}
	return append([]Peer{self}, settings.Others()...)
}
