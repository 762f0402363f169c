package cell

import (
	"time"

	"sloeturn/ident"
)

const (
	// EndKept is how long the end of a life without a line is remembered, EndsMost of how many lives.
	EndKept  = time.Minute
	EndsMost = 4096
)

// ending is a sign-off of a backend without an incarnation.
type ending struct {
	pulse uint64
	at    ident.Moment
}

// ended says whether a life has said goodbye and has no line here, or none yet.
func (s *Soundness) ended(life string) bool {
	_, known := s.ends[life]
	return life != "" && known
}

func (s *Soundness) rememberEnd(life string, now ident.Moment) {
	if len(s.ends) >= EndsMost {
		delete(s.ends, s.oldestEnd())
	}
	s.ends[life] = now
}

func (s *Soundness) oldestEnd() (oldest string) {
	at := ident.Moment(0)
	for life, since := range s.ends {
		if oldest == "" || since.Before(at) || since == at && life < oldest {
			oldest, at = life, since
		}
	}
	return oldest
}

func (s *Soundness) forgetEnds(now ident.Moment) {
	for a, e := range s.bareEnds {
		if now.Sub(e.at) > BeatSilence {
			delete(s.bareEnds, a)
		}
	}
	for life, at := range s.ends {
		if now.Sub(at) > EndKept {
			delete(s.ends, life)
		}
	}
}
