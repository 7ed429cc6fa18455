package ledger

// internalError is the panic value for an operation that fails only because of a bug
// in this program.
type internalError string

// Error returns the error message.
func (err internalError) Error() string { return string(err) }

const (
	errEntryEncoding internalError = "ledger: JSON encoding of a list entry failed"
	errCompression   internalError = "ledger: compression into a memory buffer failed"
)
