package ledger

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/dandelionring/dandelionring/pkg/core"
)

// PutRoutes replaces the route table if its number, which the operator chose, is higher
// than that of the table in force.
type PutRoutes struct {
	Table core.RouteTable
	// Document is the table in the operator's own form. It is kept and given back as it
	// came.
	Document []byte
}

// PutRoutesResult is the answer to PutRoutes.
type PutRoutesResult struct {
	// Changed is false if a table with this number or a higher one was in force.
	Changed bool
	// Number is that of the table in force.
	Number core.ConfigNumber
	// Conflict is set if the number in force has other content.
	Conflict bool
}

// NameRevision names a new version of an adapter's weights.
type NameRevision struct {
	Weights  core.WeightKey
	Revision core.Revision
}

// NameRevisionResult is the answer to NameRevision.
type NameRevisionResult struct {
	// Newest is the newest revision that was named.
	Newest core.Revision
}

// Revision is the newest named version of an adapter.
type Revision struct {
	Weights  core.WeightKey
	Revision core.Revision
	// Index is the index of the log at which it was named.
	Index uint64
}

// routes is the part of a State that operators number themselves.
type routes struct {
	table     core.RouteTable
	document  []byte
	hash      [sha256.Size]byte
	revisions map[core.WeightKey]Revision
}

func (routes *routes) put(put PutRoutes) PutRoutesResult {
	hash := sha256.Sum256(put.Document)
	if put.Table.Number <= routes.table.Number {
		conflict := put.Table.Number == routes.table.Number && hash != routes.hash
		return PutRoutesResult{Number: routes.table.Number, Conflict: conflict}
	}
	routes.table, routes.document, routes.hash = put.Table, put.Document, hash
	return PutRoutesResult{Changed: true, Number: put.Table.Number}
}

func (routes *routes) name(index uint64, name NameRevision) NameRevisionResult {
	known := routes.revisions[name.Weights]
	if name.Revision <= known.Revision {
		return NameRevisionResult{Newest: known.Revision}
	}
	if routes.revisions == nil {
		routes.revisions = make(map[core.WeightKey]Revision)
	}
	routes.revisions[name.Weights] = Revision{Weights: name.Weights, Revision: name.Revision, Index: index}
	return NameRevisionResult{Newest: name.Revision}
}

// Routes returns the route table in force and the operator's document. Neither may be
// changed. The number is zero if no table was accepted yet.
func (state *State) Routes() (core.RouteTable, []byte) {
	return state.routes.table, state.routes.document
}

// RevisionsSince returns the newest revisions that were named after an index of the log,
// in the order in which they were named.
func (state *State) RevisionsSince(index uint64) []Revision {
	var since []Revision
	for _, revision := range state.routes.revisions {
		if revision.Index > index {
			since = append(since, revision)
		}
	}
	slices.SortFunc(since, func(a, b Revision) int { return cmp.Compare(a.Index, b.Index) })
	return since
}

// storedRoutes is the form of routes on disk.
type storedRoutes struct {
	Table     core.RouteTable
	Document  []byte
	Revisions []Revision
}

func (state *State) storeRoutes() storedRoutes {
	return storedRoutes{
		Table: state.routes.table, Document: bytes.Clone(state.routes.document), Revisions: state.RevisionsSince(0),
	}
}

func (routes *routes) load(form storedRoutes) {
	routes.table, routes.document = form.Table, form.Document
	routes.hash = sha256.Sum256(form.Document)
	routes.revisions = make(map[core.WeightKey]Revision, len(form.Revisions))
	for _, revision := range form.Revisions {
		routes.revisions[revision.Weights] = revision
	}
}
