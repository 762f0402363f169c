package ident

// Tokens numbers the requests that one incarnation of a process sends, so that answers are matched to
// them. It counts up from the incarnation, a random 64-bit number: an answer to a request of an earlier
// incarnation at the same address matches no request of this one.
type Tokens struct{ last uint64 }

// NewTokens returns the tokens of an incarnation.
func NewTokens(incarnation Incarnation) Tokens { return Tokens{uint64(incarnation)} }

// Next returns a token that this incarnation hasn't used.
func (t *Tokens) Next() uint64 {
	t.last++
	return t.last
}
