package settings

import "github.com/dandelionring/dandelionring/pkg/core"

// Settings are the settings of one VM. The file examples/settings.jsonc documents every
// key with its unit and default. Use Default, Load or Parse; the zero value is not valid.
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
	// ModelsPerZone is the maximum number of base models whose engines run in one zone.
	// It determines the minimum share of the store's limit for each of them.
	ModelsPerZone     int
	AdapterLoadMillis Millis

	DefaultDeadlineMillis Millis
	MaxBodyBytes          core.Bytes
	// MaxBodiesBytes bounds the bodies of callers and upstreams that are held together.
	MaxBodiesBytes core.Bytes
	// MaxListBytes bounds the lists that operators send.
	MaxListBytes core.Bytes

	// MaxConnections is zero for three eighths of the descriptors that the process may
	// open, at most 4096.
	MaxConnections     int
	MaxHeadFields      int
	MaxHeadsBytes      core.Bytes
	HeadSeconds        Seconds
	IdleSeconds        Seconds
	ClientStallSeconds Seconds
	// MemoryBytes is the memory of the process, zero if it is not limited.
	MemoryBytes core.Bytes

	ConvictionSeconds     Seconds
	ClaimRetentionSeconds Seconds
	ClaimShards           int

	ReadyGraceSeconds Seconds
	// DrainDeadlineSeconds is zero for a drain without a deadline.
	DrainDeadlineSeconds Seconds

	LogLevel string
	// Workers is the number of workers; zero means one per processor.
	Workers         int
	SnapshotEntries int

	AuditRotateBytes core.Bytes
	// AuditRetentionDays is zero to keep audit files without a time limit.
	AuditRetentionDays Days

	CallerTLS   TLS
	OperatorTLS TLS
	PeerTLS     TLS
}

// Peer describes a VM of the deployment, possibly the VM that reads the settings.
type Peer struct {
	VM      core.VMID
	Zone    core.ZoneID
	Address string
	// Disk is true if the VM has a data folder.
	Disk bool
}

// TLS contains the paths of a listener's certificate files. The zero value disables TLS.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile contains the certificates of the authorities that sign the other
	// side's certificate. Only peer links use it.
	AuthorityFile string
}

// Enabled reports whether CertificateFile is set.
func (section TLS) Enabled() bool {
	return section.CertificateFile != ""
}

// Others returns the peers other than this VM, in the order of the file.
func (settings Settings) Others() []Peer {
	var others []Peer
	for _, peer := range settings.Peers {
		if peer.VM != settings.VM {
			others = append(others, peer)
		}
	}
	return others
}

// Members returns all VMs of the deployment, this VM first.
func (settings Settings) Members() []Peer {
	self := Peer{VM: settings.VM, Zone: settings.Zone, Address: settings.PeerAddress, Disk: settings.DataFolder != ""}
	return append([]Peer{self}, settings.Others()...)
}
