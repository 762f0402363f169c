package cell

import "sloeturn/ident"

// Transition is a change of a backend's state in the table of a cell. From is empty for a new backend.
type Transition struct {
	Addr        ident.Addr
	Service     ident.Service
	Incarnation string
	From, To    string
	Cause       string
}

// The causes of transitions.
const (
	causeHeartbeat    = "beat"
	causeDraining     = "says that it leaves"
	causeDeregistered = "signed off"
	causeSilent       = "silent"
	causeReplaced     = "another incarnation at its address"
	causeReturned     = "heartbeat after a deregistration at its address"
)

// IsDeparture tells whether the transition is part of a backend's departure, or follows one at its address.
func (m Transition) IsDeparture() bool {
	return m.Cause == causeDraining || m.Cause == causeDeregistered || m.Cause == causeReturned
}

var stateNames = [...]string{"ready", "leaving", "gone"}

// TakeTransitions returns the transitions since the last call.
func (s *BackendTable) TakeTransitions() []Transition {
	out := s.transitions
	s.transitions = nil
	return out
}

func (s *BackendTable) recordTransition(b *Backend, from, to, cause string) {
	s.transitions = append(s.transitions, Transition{Addr: b.Addr, Service: b.Service, Incarnation: b.Incarnation, From: from, To: to, Cause: cause})
}
