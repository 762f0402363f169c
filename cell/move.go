package cell

import "sloeturn/ident"

// Move is a change of a backend's state in the table of a cell.
type Move struct {
	Addr     ident.Addr
	Service  ident.Service
	Life     string
	From, To string
	Why      string
}

// The causes of moves.
const (
	whyBeat      = "beat"
	whyDraining  = "says that it leaves"
	whySignedOff = "signed off"
	whySilent    = "silent"
	whyReplaced  = "another life at its address"
	whyAgain     = "beat after a sign-off at its address"
)

// Leaves says whether the move belongs to a backend's leaving, or follows one at its address.
func (m Move) Leaves() bool {
	return m.Why == whyDraining || m.Why == whySignedOff || m.Why == whyAgain
}

var states = [...]string{"ready", "leaving", "gone"}

func (s *Soundness) Moves() []Move {
	out := s.moves
	s.moves = nil
	return out
}

func (s *Soundness) move(b *Backend, from, to, why string) {
	s.moves = append(s.moves, Move{Addr: b.Addr, Service: b.Service, Life: b.Life, From: from, To: to, Why: why})
}
