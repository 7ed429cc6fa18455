package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/dandelionring/dandelionring/internal/strict"
	"github.com/dandelionring/dandelionring/pkg/core"
)

// DevelopmentToken is the default token of operators and upstreams. It is rejected for
// listeners on addresses that are not loopback addresses.
const DevelopmentToken = "development"

const (
	// minSecretLength makes it hard to open a peer link by guessing the secret.
	minSecretLength = 16
	// maxBodyLimit leaves room for the other fields in a peer frame of 4 MiB.
	maxBodyLimit core.Bytes = 4<<20 - 64<<10
	// minRotateBytes limits the number of audit files in a folder.
	minRotateBytes core.Bytes = 64 << 10
	// maxClaimShards bounds the number of replicated logs on one VM.
	maxClaimShards = 64
	// hashLength is the number of hexadecimal digits of a SHA-256 hash.
	hashLength = 64
)

// check adds a fault for every value that is out of range and every combination of values
// that is not valid.
func (settings *Settings) check(reader *strict.Reader) {
	settings.checkNames(reader)
	settings.checkAddresses(reader)
	settings.checkPeers(reader)
	settings.checkSecrets(reader)
	settings.checkNumbers(reader)
	settings.checkTLS(reader)
}

func (settings *Settings) checkNames(reader *strict.Reader) {
	if settings.VM == "" {
		reader.AddFault("VM", "is empty")
	}
	if settings.Zone == "" {
		reader.AddFault("Zone", "is empty")
	}
	switch settings.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		reader.AddFault("LogLevel", fmt.Sprintf("%q is none of debug, info, warn, error", settings.LogLevel))
	}
}

// listeners returns the addresses on which the VM listens, with their settings keys.
func (settings *Settings) listeners() []struct{ key, address string } {
	return []struct{ key, address string }{
		{"CallerAddress", settings.CallerAddress},
		{"OperatorAddress", settings.OperatorAddress},
		{"UpstreamAddress", settings.UpstreamAddress},
		{"PeerAddress", settings.PeerAddress},
	}
}

func (settings *Settings) checkAddresses(reader *strict.Reader) {
	seen := make(map[netip.AddrPort]string)
	for _, listener := range settings.listeners() {
		address, err := netip.ParseAddrPort(listener.address)
		if err != nil {
			reader.AddFault(listener.key, fmt.Sprintf("%q is not an IP number and a port", listener.address))
			continue
		}
		if first, ok := seen[address]; ok && address.Port() != 0 {
			reader.AddFault(listener.key, fmt.Sprintf("%s is also %s", address, first))
		}
		seen[address] = listener.key
	}
}

func (settings *Settings) checkPeers(reader *strict.Reader) {
	names, addresses := make(map[core.VMID]int), make(map[string]int)
	anyDisk := settings.DataFolder != ""
	for i, peer := range settings.Peers {
		key := fmt.Sprintf("Peers[%d]", i)
		anyDisk = anyDisk || peer.Disk
		if peer.VM == "" || peer.Zone == "" {
			reader.AddFault(key, "needs VM and Zone")
		}
		if first, ok := names[peer.VM]; ok {
			reader.AddFault(key+".VM", fmt.Sprintf("%q already stands at Peers[%d]", peer.VM, first))
		}
		names[peer.VM] = i
		settings.checkPeerAddress(reader, key+".Address", peer)
		if first, ok := addresses[peer.Address]; ok {
			reader.AddFault(key+".Address", fmt.Sprintf("%s already stands at Peers[%d]", peer.Address, first))
		}
		addresses[peer.Address] = i
		settings.checkOwnEntry(reader, key, peer)
	}
	if !anyDisk {
		reader.AddFault("DataFolder", "no VM of the deployment has a disk, so nothing can be kept")
	}
}

func (settings *Settings) checkPeerAddress(reader *strict.Reader, key string, peer Peer) {
	address, err := netip.ParseAddrPort(peer.Address)
	switch {
	case err != nil:
		reader.AddFault(key, fmt.Sprintf("%q is not an IP number and a port", peer.Address))
	case peer.VM != settings.VM && (address.Port() == 0 || address.Addr().IsUnspecified()):
		reader.AddFault(key, fmt.Sprintf("%s cannot be dialled", address))
	}
}

// checkOwnEntry checks that the VM's own entry in Peers agrees with its other settings.
func (settings *Settings) checkOwnEntry(reader *strict.Reader, key string, peer Peer) {
	if peer.VM != settings.VM {
		return
	}
	if peer.Zone != settings.Zone {
		reader.AddFault(key+".Zone", fmt.Sprintf("%q differs from Zone %q of this VM", peer.Zone, settings.Zone))
	}
	if peer.Disk != (settings.DataFolder != "") {
		reader.AddFault(key+".Disk", fmt.Sprintf("%t does not fit DataFolder %q of this VM", peer.Disk, settings.DataFolder))
	}
}

func (settings *Settings) checkSecrets(reader *strict.Reader) {
	if len(settings.Others()) > 0 && settings.SharedSecret == "" {
		reader.AddFault("SharedSecret", "is needed as soon as Peers names another VM")
	}
	if settings.SharedSecret != "" && len(settings.SharedSecret) < minSecretLength {
		reader.AddFault("SharedSecret", fmt.Sprintf("is shorter than %d characters", minSecretLength))
	}
	for i, hash := range settings.OperatorTokenHashes {
		key := fmt.Sprintf("OperatorTokenHashes[%d]", i)
		if len(hash) != hashLength || strings.Trim(string(hash), "0123456789abcdef") != "" {
			reader.AddFault(key, "is not a lower-case hexadecimal SHA-256; make one with: dandelionring hash")
		}
		if hash == HashToken(DevelopmentToken) {
			settings.rejectDevelopmentToken(reader, key, settings.OperatorAddress)
		}
	}
	if settings.UpstreamToken == "" {
		reader.AddFault("UpstreamToken", "is empty")
	}
	if settings.UpstreamToken == DevelopmentToken {
		settings.rejectDevelopmentToken(reader, "UpstreamToken", settings.UpstreamAddress)
	}
}

// rejectDevelopmentToken adds a fault if listener is not on a loopback address.
func (settings *Settings) rejectDevelopmentToken(reader *strict.Reader, key, listener string) {
	address, err := netip.ParseAddrPort(listener)
	if err == nil && !address.Addr().IsLoopback() {
		reader.AddFault(key, fmt.Sprintf("the development token is refused on %s, which is not a loopback address", address))
	}
}

func (settings *Settings) checkNumbers(reader *strict.Reader) {
	faultIf := func(bad bool, key, reason string) {
		if bad {
			reader.AddFault(key, reason)
		}
	}
	faultIf(settings.StallWeight > 1, "StallWeight", "is not in 0..1")
	faultIf(settings.StoreLoadsPerSecond <= 0, "StoreLoadsPerSecond", "is not above 0")
	faultIf(settings.StoreTransits < 1, "StoreTransits", "is not above 0")
	faultIf(settings.ModelsPerZone < 1, "ModelsPerZone", "is below 1")
	faultIf(settings.StoreTransitLimit < settings.StoreTransits, "StoreTransitLimit", "is below StoreTransits")
	faultIf(settings.AdapterLoadMillis < 1, "AdapterLoadMillis", "is not above 0")
	faultIf(settings.DefaultDeadlineMillis <= settings.AdapterLoadMillis, "DefaultDeadlineMillis", "is not above AdapterLoadMillis, so no request could wait for a load")
	faultIf(settings.MaxBodyBytes < 1 || settings.MaxBodyBytes > maxBodyLimit, "MaxBodyBytes", fmt.Sprintf("is not in 1..%d", maxBodyLimit))
	settings.checkClients(faultIf)
	faultIf(settings.ConvictionSeconds < 1, "ConvictionSeconds", "is not above 0")
	faultIf(settings.ClaimRetentionSeconds.Duration() <= settings.DefaultDeadlineMillis.Duration(), "ClaimRetentionSeconds", "is not above DefaultDeadlineMillis, so a claim could end before its call")
	faultIf(settings.ClaimShards < 1 || settings.ClaimShards > maxClaimShards, "ClaimShards", fmt.Sprintf("is not in 1..%d", maxClaimShards))
	faultIf(settings.SnapshotEntries < 1, "SnapshotEntries", "is not above 0")
	faultIf(settings.AuditRotateBytes < minRotateBytes, "AuditRotateBytes", fmt.Sprintf("is below %d", minRotateBytes))
}

const (
	// minList and maxList bound the limit of a list: one with 2,000 plans and 15,000 adapters has
	// some MiB, and its decoding takes several times as much.
	minList core.Bytes = 64 << 10
	maxList core.Bytes = 32 << 20
	// minConnections leaves a few connections to each kind of client.
	minConnections = 64
	maxConnections = 1 << 20
	// minHeadFields is above the number of lines that clients with proxies before them send.
	minHeadFields = 64
	maxHeadFields = 1 << 16
	// minHeads is enough for the largest permitted head.
	minHeads core.Bytes = 1 << 20
	// minMemory is twice the memory of a VM without clients.
	minMemory core.Bytes = 64 << 20
	// The bounds of the times that clients have, in seconds.
	maxHeadSeconds, maxIdleSeconds, maxStallSeconds = 60, 3600, 600
	// minStallSeconds is above the time in which a lost TCP segment is sent again.
	minStallSeconds = 2
)

// checkClients checks the limits of what clients hold.
func (settings *Settings) checkClients(faultIf func(bad bool, key, reason string)) {
	outside := func(value, lowest, highest int64) bool { return value < lowest || value > highest }
	faultIf(settings.MaxBodiesBytes < 2*settings.MaxBodyBytes, "MaxBodiesBytes", "is below twice MaxBodyBytes")
	faultIf(settings.MaxListBytes < minList || settings.MaxListBytes > maxList, "MaxListBytes", fmt.Sprintf("is not in %d..%d", minList, maxList))
	faultIf(settings.MaxConnections != 0 && outside(int64(settings.MaxConnections), minConnections, maxConnections), "MaxConnections", fmt.Sprintf("is not 0 or in %d..%d", minConnections, maxConnections))
	faultIf(outside(int64(settings.MaxHeadFields), minHeadFields, maxHeadFields), "MaxHeadFields", fmt.Sprintf("is not in %d..%d", minHeadFields, maxHeadFields))
	faultIf(settings.MaxHeadsBytes < minHeads, "MaxHeadsBytes", fmt.Sprintf("is below %d", minHeads))
	faultIf(outside(int64(settings.HeadSeconds), 1, maxHeadSeconds), "HeadSeconds", fmt.Sprintf("is not in 1..%d", maxHeadSeconds))
	faultIf(outside(int64(settings.IdleSeconds), 1, maxIdleSeconds), "IdleSeconds", fmt.Sprintf("is not in 1..%d", maxIdleSeconds))
	faultIf(outside(int64(settings.ClientStallSeconds), minStallSeconds, maxStallSeconds), "ClientStallSeconds", fmt.Sprintf("is not in %d..%d", minStallSeconds, maxStallSeconds))
	faultIf(settings.MemoryBytes != 0 && settings.MemoryBytes < minMemory, "MemoryBytes", fmt.Sprintf("is not 0 and below %d", minMemory))
}

func (settings *Settings) checkTLS(reader *strict.Reader) {
	checkTLSSection(reader, "CallerTLS", settings.CallerTLS)
	checkTLSSection(reader, "OperatorTLS", settings.OperatorTLS)
	checkTLSSection(reader, "PeerTLS", settings.PeerTLS)
}

func checkTLSSection(reader *strict.Reader, key string, section TLS) {
	if (section.CertificateFile == "") != (section.KeyFile == "") {
		reader.AddFault(key, "needs both CertificateFile and KeyFile")
	}
	if section.AuthorityFile != "" && (key != "PeerTLS" || !section.Enabled()) {
		reader.AddFault(key+".AuthorityFile", "is used only by PeerTLS with a certificate")
	}
	checkFile(reader, key+".CertificateFile", section.CertificateFile)
	checkFile(reader, key+".KeyFile", section.KeyFile)
	checkFile(reader, key+".AuthorityFile", section.AuthorityFile)
}

func checkFile(reader *strict.Reader, key, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		reader.AddFault(key, err.Error())
	}
}
