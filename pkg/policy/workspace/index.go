package workspace

import (
	"cmp"
	"crypto/subtle"
	"encoding/binary"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// Index finds workspaces by key and by name. It is immutable and safe for concurrent use. The
// zero value has no workspaces.
type Index struct {
	workspaces []core.Workspace
	// keys is sorted by prefix, and names holds the positions of the workspaces sorted by name.
	// The slices take 20 bytes for a workspace with one key; maps would hold each digest and name
	// again.
	keys  []key
	names []uint32
}

// key is the position of a digest in the table.
type key struct {
	// prefix is the first bytes of the digest.
	prefix           uint64
	workspace, index uint32
}

// NewIndex returns an index of the workspaces of a table, which must be valid according to
// core.RouteTable.Check. The caller must not modify them afterwards.
func NewIndex(workspaces []core.Workspace) *Index {
	count := 0
	for i := range workspaces {
		count += len(workspaces[i].Keys)
	}
	index := &Index{workspaces: workspaces, keys: make([]key, 0, count), names: make([]uint32, len(workspaces))}
	for i := range workspaces {
		index.names[i] = uint32(i)
		for j := range workspaces[i].Keys {
			index.keys = append(index.keys, key{prefix(workspaces[i].Keys[j]), uint32(i), uint32(j)})
		}
	}
	slices.SortFunc(index.keys, func(a, b key) int { return cmp.Compare(a.prefix, b.prefix) })
	slices.SortFunc(index.names, func(a, b uint32) int { return cmp.Compare(workspaces[a].Workspace, workspaces[b].Workspace) })
	return index
}

func prefix(digest core.KeyDigest) uint64 { return binary.BigEndian.Uint64(digest[:]) }

// Required reports whether requests need a key: the table has workspaces.
func (index *Index) Required() bool { return len(index.workspaces) > 0 }

// Identify returns the workspace of a key, and false if no workspace has it. The time that it
// takes depends on the first 64 bits of the digest, which do not help to find a key, and on no
// other bit of it.
func (index *Index) Identify(text string) (*core.Workspace, bool) {
	if text == "" || len(index.keys) == 0 {
		return nil, false
	}
	digest := core.DigestKey(text)
	wanted := prefix(digest)
	at, _ := slices.BinarySearchFunc(index.keys, wanted, func(key key, wanted uint64) int { return cmp.Compare(key.prefix, wanted) })
	for ; at < len(index.keys) && index.keys[at].prefix == wanted; at++ {
		workspace := &index.workspaces[index.keys[at].workspace]
		if subtle.ConstantTimeCompare(workspace.Keys[index.keys[at].index][:], digest[:]) == 1 {
			return workspace, true
		}
	}
	return nil, false
}

// Find returns the workspace with a name, and false if there is none.
func (index *Index) Find(name core.WorkspaceID) (*core.Workspace, bool) {
	at, found := slices.BinarySearchFunc(index.names, name, func(position uint32, name core.WorkspaceID) int {
		return cmp.Compare(index.workspaces[position].Workspace, name)
	})
	if !found {
		return nil, false
	}
	return &index.workspaces[index.names[at]], true
}
