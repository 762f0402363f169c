package relay

import (
	"slices"
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// Reading says what an answer to an ask of one's own covers: the newest core that the other knew, and whether only some cells were asked for.
type Reading struct {
	Core  uint64
	Only  bool
	Cells []*wire.CellHave
}

func (r *Reading) Covers(c ident.Cell) bool {
	return !r.Only || slices.ContainsFunc(r.Cells, func(h *wire.CellHave) bool { return h.Cell == string(c) })
}

func (s *State) TakeCore(core *wire.Core, doc []byte, docGen ident.Generation, asOf ident.Moment) bool {
	if core == nil {
		return false
	}
	if s.CoreKnown && core.Version < s.Core.Version {
		return false
	}
	if core.Generation > uint64(s.DocGen) {
		if uint64(docGen) != core.Generation {
			return false
		}
		s.Doc, s.DocGen = doc, docGen
		d, faults := desired.Read(doc)
		s.Desired, s.Unread = d, faults
		s.rev++
	}
	if !s.CoreKnown || core.Version > s.Core.Version {
		for _, m := range s.diff.note(s.Core, core) {
			if s.confirms[m] != nil {
				s.changes++
				s.changed[m] = s.changes
			}
		}
		s.Core = core
		s.rev++
	} else if core.LeaderAddr != s.Core.LeaderAddr || core.Term > s.Core.Term {
		s.Core = core
	}
	if !s.CoreKnown || asOf.After(s.CoreAsOf) {
		s.CoreAsOf = asOf
	}
	if s.Revoked() == nil && (!s.CoreKnown || asOf.After(s.Leased)) {
		s.Leased = asOf
	}
	s.CoreKnown = true
	return true
}

// News takes up the answer to an ask of one's own and says what it covers; nil for any other.
func (s *State) News(n *wire.News, from string, now ident.Moment) *Reading {
	a, ok := s.asks[n.Token]
	if !ok || a.to != from {
		s.StrayAnswers++
		return nil
	}
	delete(s.asks, n.Token)
	r := &Reading{Only: a.only, Cells: a.have}
	if a.sounding && !n.HasCore {
		s.sounded(n, from, a.at)
		return r
	}
	s.took += (now.Sub(a.at) - s.took) / 4
	if t := s.told[from]; t != nil {
		if t.upto >= a.from {
			t.upto = max(t.upto, a.upto)
		}
		if int(n.Heard) < a.all {
			t.upto = 0
		}
	}
	at := past(a.at, n.CoreAgeNs)
	if from == s.parent {
		s.poor = !n.HasCore || now.Sub(at) > PoorAge
	}
	if n.HasCore {
		if r.Core = a.core; n.Core != nil {
			r.Core = n.Core.Version
		}
		core := s.merge(n.Core)
		if n.Core == nil && s.CoreKnown {
			core = s.Core
		}
		s.TakeCore(core, n.Doc, ident.Generation(n.DocGeneration), at)
	}
	for _, c := range n.Cells {
		k := s.Cells[ident.Cell(c.Cell)]
		if k == nil {
			k = cell.NewCopy(ident.Cell(c.Cell))
			s.Cells[k.Cell] = k
		}
		if c.Old {
			k.Remember(c)
			continue
		}
		k.Take(c, past(a.at, c.AgeNs))
	}
	return r
}

// past is the moment of news that was of an age, in nanoseconds, when an ask was answered: at the
// latest that age before the ask was sent.
func past(asked ident.Moment, ageNs int64) ident.Moment {
	return asked.Add(-time.Duration(max(0, ageNs)))
}

func (s *State) Answer(a *wire.Ask, now ident.Moment) *wire.News {
	n := &wire.News{Token: a.Token, Heard: uint32(len(s.confirms)), Newest: s.Core.GetVersion()}
	if a.Sounding {
		if s.CoreKnown {
			n.Freshness = s.freshness(now)
		}
		return n
	}
	if s.CoreKnown {
		n.HasCore = true
		n.CoreAgeNs = int64(now.Sub(s.CoreAsOf))
		if a.Core != s.Core.Version || a.Core == 0 {
			n.Core = s.coreFor(a)
		}
		if a.Have < uint64(s.DocGen) {
			n.Doc, n.DocGeneration = s.Doc, uint64(s.DocGen)
		}
	}
	have := map[string]*wire.CellHave{}
	for _, h := range a.Cells {
		have[h.Cell] = h
	}
	for _, k := range s.cellNames() {
		c := s.Cells[k]
		if !c.Known || a.Only && have[string(k)] == nil {
			continue
		}
		if h := have[string(k)]; h != nil && (h.Epoch > uint64(c.Epoch) || h.Epoch == uint64(c.Epoch) && h.Upto > c.Upto) {
			continue
		}
		n.Cells = append(n.Cells, c.News(have[string(k)], now.Sub(c.AsOf)))
	}
	return n
}
