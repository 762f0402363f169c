package cell

import (
	"time"

	"sloeturn/ident"
)

const (
	// DeregistrationTTL is how long the deregistration of an incarnation that isn't in the table is
	// remembered, MaxDeregistrations of how many incarnations.
	DeregistrationTTL  = time.Minute
	MaxDeregistrations = 4096
)

// unnamedDeregistration is the deregistration of a backend without an incarnation of its own.
type unnamedDeregistration struct {
	pulse uint64
	at    ident.Moment
}

// isDeregistered tells whether an incarnation that isn't in the table, or not yet, has deregistered.
func (s *BackendTable) isDeregistered(incarnation string) bool {
	_, known := s.deregistrations[incarnation]
	return incarnation != "" && known
}

func (s *BackendTable) rememberDeregistration(incarnation string, now ident.Moment) {
	if len(s.deregistrations) >= MaxDeregistrations {
		delete(s.deregistrations, s.oldestDeregistration())
	}
	s.deregistrations[incarnation] = now
}

func (s *BackendTable) oldestDeregistration() (oldest string) {
	at := ident.Moment(0)
	for incarnation, since := range s.deregistrations {
		if oldest == "" || since.Before(at) || since == at && incarnation < oldest {
			oldest, at = incarnation, since
		}
	}
	return oldest
}

func (s *BackendTable) expireDeregistrations(now ident.Moment) {
	for addr, e := range s.unnamedDeregistrations {
		if now.Sub(e.at) > BeatTimeout {
			delete(s.unnamedDeregistrations, addr)
		}
	}
	for incarnation, at := range s.deregistrations {
		if now.Sub(at) > DeregistrationTTL {
			delete(s.deregistrations, incarnation)
		}
	}
}
