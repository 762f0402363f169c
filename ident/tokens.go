package ident

// Tokens gives the requests that one life of a process sends to others the numbers by which their
// answers are matched. It counts up from the life's incarnation, a random 64-bit number: an answer
// to a request of an earlier life at the same address matches no request of this one.
type Tokens struct{ last uint64 }

// NewTokens begins the tokens of a life.
func NewTokens(life Incarnation) Tokens { return Tokens{uint64(life)} }

// Next gives a token that this life hasn't used.
func (t *Tokens) Next() uint64 {
	t.last++
	return t.last
}
