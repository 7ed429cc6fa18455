package ledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionring/dandelionring/pkg/core"
	"github.com/dandelionring/dandelionring/pkg/core/bytediff"
	"github.com/dandelionring/dandelionring/pkg/core/routediff"
)

// PutRoutes replaces the route table if the number of the new table, which the operator
// chooses, is higher than that of the current one.
type PutRoutes struct {
	Table core.RouteTable
	// Document is the table as the operator sent it. It is stored and returned unchanged.
	Document []byte
	// Compressed makes the log hold the command in a form that builds without RouteChangeFeature
	// do not know.
	Compressed bool `json:"-"`
}

// ChangeRoutes replaces the route table like a PutRoutes, and states only what changes. It has no
// effect, and a result with Stale set, if the current table is not the one that it was prepared for.
type ChangeRoutes struct {
	// Change begins with the number of the current table.
	Change routediff.Change
	// Edits make the new document out of the current one, and DocumentHash is the SHA-256 of it.
	Edits        []bytediff.Edit
	DocumentHash []byte
}

// PutRoutesResult is the result of PutRoutes.
type PutRoutesResult struct {
	// Changed is false if the current table already had this number or a higher one.
	Changed bool
	// Number is the number of the current table.
	Number core.ConfigNumber
	// Conflict is set if the current table has the same number and other content.
	Conflict bool
	// Stale is set if a ChangeRoutes was prepared for another table than the current one, which has
	// a lower number than the new one.
	Stale bool `json:",omitempty"`
}

// AnnounceRevision announces a new revision of an adapter's weights.
type AnnounceRevision struct {
	Weights  core.WeightKey
	Revision core.Revision
}

// AnnounceRevisionResult is the result of AnnounceRevision.
type AnnounceRevisionResult struct {
	// Newest is the newest announced revision of the weights.
	Newest core.Revision
}

// Revision is the newest announced revision of an adapter's weights.
type Revision struct {
	Weights  core.WeightKey
	Revision core.Revision
	// Index is the log index of the announcement.
	Index uint64
}

// routes holds the data whose numbers operators choose: the route table and the
// revisions of adapter weights.
type routes struct {
	table     routediff.Table
	document  []byte
	hash      [sha256.Size]byte
	revisions map[core.WeightKey]Revision
	// changes holds the last changes of the table in their order, and changedEntries is the number
	// of entries in them. They are not part of a snapshot.
	changes        []routediff.Change
	changedEntries int
}

const (
	// maxRouteChanges bounds the changes of the route table that a State retains. A VM that is
	// further behind needs the whole table.
	maxRouteChanges = 128
	// minChangedEntries is the number of entries in them that may be retained in any case. Beyond
	// that, the changes are retained while they have less than half of the entries of the table.
	minChangedEntries = 64
)

func (routes *routes) put(command PutRoutes) PutRoutesResult {
	hash := sha256.Sum256(command.Document)
	if command.Table.Number <= routes.table.Number() {
		return routes.notNewer(command.Table.Number, hash)
	}
	next, change := routes.table.Replace(command.Table)
	routes.set(next, change, command.Document, hash)
	return PutRoutesResult{Changed: true, Number: command.Table.Number}
}

// notNewer returns the result for a table whose number is not above the current one.
func (routes *routes) notNewer(number core.ConfigNumber, hash [sha256.Size]byte) PutRoutesResult {
	current := routes.table.Number()
	return PutRoutesResult{Number: current, Conflict: number == current && hash != routes.hash}
}

func (routes *routes) set(table routediff.Table, change routediff.Change, document []byte, hash [sha256.Size]byte) {
	routes.table, routes.document, routes.hash = table, document, hash
	routes.retain(change)
}

// maxDocumentBytes bounds the document that edits may make.
const maxDocumentBytes = 64 << 20

func (routes *routes) change(command ChangeRoutes) PutRoutesResult {
	current := routes.table.Number()
	stale := PutRoutesResult{Number: current, Stale: true}
	if len(command.DocumentHash) != sha256.Size {
		return stale
	}
	hash := [sha256.Size]byte(command.DocumentHash)
	if command.Change.To <= current {
		return routes.notNewer(command.Change.To, hash)
	}
	if command.Change.From != current {
		return stale
	}
	next, err := routes.table.Apply(command.Change)
	if err != nil {
		return stale
	}
	document, err := bytediff.Apply(routes.document, command.Edits, maxDocumentBytes)
	if err != nil || sha256.Sum256(document) != hash {
		return stale
	}
	routes.set(next, command.Change, document, hash)
	return PutRoutesResult{Changed: true, Number: command.Change.To}
}

// RouteBase is a route table that a ChangeRoutes can begin with.
type RouteBase struct {
	table    routediff.Table
	document []byte
}

// RouteBase returns the current route table and its document.
func (state *State) RouteBase() RouteBase {
	return RouteBase{state.routes.table, state.routes.document}
}

// Number returns the number of the table.
func (base RouteBase) Number() core.ConfigNumber { return base.table.Number() }

// Prepare returns the command that has the effect of put on this table, and false if there is no
// table yet.
func (base RouteBase) Prepare(put PutRoutes) (ChangeRoutes, bool) {
	if base.Number() == 0 {
		return ChangeRoutes{}, false
	}
	hash := sha256.Sum256(put.Document)
	command := ChangeRoutes{Change: routediff.Change{From: base.Number(), To: put.Table.Number}, DocumentHash: hash[:]}
	if put.Table.Number > base.Number() {
		_, command.Change = base.table.Replace(put.Table)
		command.Edits = bytediff.Between(base.document, put.Document)
	}
	return command, true
}

// retain adds the last change of the table to the retained ones and drops the oldest ones that are
// too many.
func (routes *routes) retain(change routediff.Change) {
	routes.changes = append(routes.changes, change)
	routes.changedEntries += change.Entries()
	table := routes.table.Routes()
	limit := max(minChangedEntries, (len(table.Routes)+len(table.Services)+len(table.Workspaces))/2)
	dropped := 0
	for dropped < len(routes.changes) && (len(routes.changes)-dropped > maxRouteChanges || routes.changedEntries > limit) {
		routes.changedEntries -= routes.changes[dropped].Entries()
		dropped++
	}
	routes.changes = slices.Delete(routes.changes, 0, dropped)
}

func (routes *routes) announceRevision(index uint64, command AnnounceRevision) AnnounceRevisionResult {
	current := routes.revisions[command.Weights]
	if command.Revision <= current.Revision {
		return AnnounceRevisionResult{Newest: current.Revision}
	}
	if routes.revisions == nil {
		routes.revisions = make(map[core.WeightKey]Revision)
	}
	routes.revisions[command.Weights] = Revision{Weights: command.Weights, Revision: command.Revision, Index: index}
	return AnnounceRevisionResult{Newest: command.Revision}
}

// Routes returns the current route table and the document that the operator sent.
// Callers must not modify either. The number of the table is zero if no table has been
// accepted yet.
func (state *State) Routes() (core.RouteTable, []byte) {
	return state.routes.table.Routes(), state.routes.document
}

// RouteChange returns what changed since the route table with a number that this state had, or one
// between two such numbers. It returns false if that is not retained, or if there is no later
// table. Callers must not modify the change.
func (state *State) RouteChange(since core.ConfigNumber) (routediff.Change, bool) {
	changes := state.routes.changes
	if since >= state.routes.table.Number() || len(changes) == 0 || since < changes[0].From {
		return routediff.Change{}, false
	}
	first := len(changes) - 1
	for changes[first].From > since {
		first--
	}
	return routediff.Join(changes[first:]), true
}

// RevisionsSince returns the newest revisions that were announced after the given log
// index, in the order of their announcement.
func (state *State) RevisionsSince(index uint64) []Revision {
	var revisions []Revision
	for _, revision := range state.routes.revisions {
		if revision.Index > index {
			revisions = append(revisions, revision)
		}
	}
	slices.SortFunc(revisions, func(a, b Revision) int { return cmp.Compare(a.Index, b.Index) })
	return revisions
}

// storedRoutes is the encoded form of routes in a snapshot.
type storedRoutes struct {
	// Table is empty if KeyedTable is set. A build that ignores workspaces has no table then,
	// instead of one that needs no key.
	Table      core.RouteTable
	KeyedTable *jsonTable
	Document   []byte
	Revisions  []Revision
}

// jsonTable is a route table that is encoded as JSON within a snapshot. The encoding of the other
// fields, gob, does not distinguish a pointer to zero from nil, but a workspace with rank 0
// differs from one without a rank.
type jsonTable struct{ table core.RouteTable }

// GobEncode implements gob.GobEncoder.
func (stored *jsonTable) GobEncode() ([]byte, error) {
	data, err := json.Marshal(stored.table)
	if err != nil {
		return nil, errors.Wrap(err, "encode route table")
	}
	return data, nil
}

// GobDecode implements gob.GobDecoder.
func (stored *jsonTable) GobDecode(data []byte) error {
	if err := json.Unmarshal(data, &stored.table); err != nil {
		return errors.Wrap(err, "decode route table")
	}
	return nil
}

func (state *State) storeRoutes() storedRoutes {
	stored := storedRoutes{
		Table: state.routes.table.Routes(), Document: bytes.Clone(state.routes.document), Revisions: state.RevisionsSince(0),
	}
	if len(stored.Table.Workspaces) > 0 {
		stored.Table, stored.KeyedTable = core.RouteTable{}, &jsonTable{stored.Table}
	}
	return stored
}

func (routes *routes) load(stored storedRoutes) {
	table := stored.Table
	if stored.KeyedTable != nil {
		table = stored.KeyedTable.table
	}
	routes.table, routes.document = routediff.NewTable(table), stored.Document
	routes.hash = sha256.Sum256(stored.Document)
	routes.revisions = make(map[core.WeightKey]Revision, len(stored.Revisions))
	for _, revision := range stored.Revisions {
		routes.revisions[revision.Weights] = revision
	}
}
