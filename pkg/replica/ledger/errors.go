package ledger

// misuse is a mistake of the program that uses a State.
type misuse string

// Error returns the mistake.
func (mistake misuse) Error() string { return string(mistake) }

const (
	errEntryEncoding misuse = "ledger: an entry of a list cannot be encoded"
	errCompression   misuse = "ledger: writing to memory failed"
)
