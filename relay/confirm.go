package relay

import (
	"sort"

	"sloeturn/wire"
)

type told struct {
	upto uint64
	asks int
	life uint64
}

// Met says which life speaks at an address; another than before has been told nothing yet, however many confirms it has from others.
func (s *State) Met(addr string, life uint64) {
	if t := s.told[addr]; t != nil && t.life != life {
		if t.life != 0 {
			t.upto = 0
		}
		t.life = life
	}
}

func (s *State) Confirm(c *wire.Confirm) {
	old := s.confirms[c.Member]
	if old != nil && old.Incarnation == c.Incarnation {
		last := c
		if old.Turn > c.Turn {
			last = old
		}
		if c.Staged <= old.Staged && c.Shrunk <= old.Shrunk && c.Restores <= old.Restores && last.Turn == old.Turn {
			return
		}
		c = &wire.Confirm{Member: c.Member, Incarnation: c.Incarnation, Staged: max(c.Staged, old.Staged), Shrunk: max(c.Shrunk, old.Shrunk), Turn: last.Turn, Wants: last.Wants, Restores: max(c.Restores, old.Restores)}
	}
	s.confirms[c.Member] = c
	s.changes++
	s.changed[c.Member] = s.changes
}

func (s *State) ConfirmOf(m string) *wire.Confirm { return s.confirms[m] }

func (s *State) list(from uint64) (out []*wire.Confirm, all int) {
	held := map[string]uint64{}
	for _, v := range s.Core.GetSeats() {
		held[v.Member] = v.Incarnation
	}
	for m, c := range s.confirms {
		if s.CoreKnown && held[m] != c.Incarnation && m != string(s.Self) {
			if held[m] != 0 {
				delete(s.confirms, m)
				delete(s.changed, m)
			}
			continue
		}
		if all++; s.changed[m] > from {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member < out[j].Member })
	return out, all
}

func (s *State) Heard(a *wire.Ask) {
	for _, c := range a.Confirms {
		s.Confirm(c)
	}
}
