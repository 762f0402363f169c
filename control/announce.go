package control

import (
	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/relay"
	"sloeturn/wire"
)

func (s *State) announce(token uint64, a *wire.Announce, now ident.Moment) {
	if s.old(a, now) {
		s.announced(pending{at: now, id: token}, 503, "this process stood still just now; the beat may be an old one")
		return
	}
	s.route(pending{at: now, id: token}, a, now)
}

func (s *State) old(a *wire.Announce, now ident.Moment) bool {
	return a.State == cell.Ready && s.Relay.Dazed(now)
}

func (s *State) announceFrom(from string, a *wire.Announce, now ident.Moment) {
	s.route(pending{at: now, to: from, id: a.Token}, a, now)
}

func (s *State) announced(p pending, code uint32, text string) {
	if p.part != nil {
		s.gather(p.part, code, text)
		return
	}
	if p.to == "" {
		s.out = append(s.out, Announced{p.id, code, text})
		return
	}
	s.send(p.to, &wire.Frame{Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: p.id, Code: code, Text: text}}})
}

func (s *State) route(p pending, a *wire.Announce, now ident.Moment) {
	if a.Cell == "" {
		s.scatter(p, a, now)
		return
	}
	s.tellHolder(p, a, now)
}

// tellHolder has the holder of an announcement's cell take it, here or elsewhere; without one it waits
// a moment.
func (s *State) tellHolder(p pending, a *wire.Announce, now ident.Moment) {
	c := ident.Cell(a.Cell)
	if h := s.active(c, now); h != nil {
		if !h.sound.Hear(a, now) {
			s.announced(p, 503, "older than what is known of this address; say it again")
			return
		}
		s.moved(h)
		s.copyCell(c, h, now)
		if a.State == cell.Ready || s.majority(nil) && !s.Shelves {
			s.announced(p, 200, "")
			return
		}
		h.drains = append(h.drains, &pendingDrain{p, h.sound.Upto(), map[string]bool{}})
		s.shelve(now)
		return
	}
	if h := s.holds[c]; h != nil && h.heir != nil {
		s.forwardToHolder(p, a, h.heir.Addr, now)
		return
	}
	if h := s.holds[c]; h != nil && now.Sub(s.Relay.CoreAsOf) < relay.CellLease {
		if h.sound.Hear(a, now) && a.State == cell.Ready {
			s.announced(p, 200, "")
		} else {
			s.park(p, a, "the holder of cell "+a.Cell+" starts in a moment", now)
		}
		return
	}
	if to := s.holderAddr(a); to != "" {
		s.forwardToHolder(p, a, to, now)
		return
	}
	s.park(p, a, "cell "+a.Cell+" has no holder just now", now)
}

func (s *State) holderAddr(a *wire.Announce) string {
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Cell != a.Cell {
			continue
		}
		card := s.Members.Card(ident.Member(h.Holder))
		if card == nil || h.Holder == string(s.Member) || a.Hops >= HopsMost {
			break
		}
		return card.Addr
	}
	return ""
}

func (s *State) park(p pending, a *wire.Announce, why string, now ident.Moment) {
	if now.Sub(p.at) >= ParkMost || len(s.parked) >= ParkedMost || s.draining {
		s.announced(p, 503, why)
		return
	}
	s.parked = append(s.parked, parked{p, a})
}

func (s *State) unpark(now ident.Moment) {
	list := s.parked
	s.parked = nil
	for _, k := range list {
		h := s.holds[ident.Cell(k.what.Cell)]
		switch {
		case s.old(k.what, now):
			s.announced(k.pending, 503, "this process stood still just now; the beat may be an old one")
		case h != nil && h.heir == nil && now.Before(h.start) && now.Sub(k.at) < ParkMost:
			s.parked = append(s.parked, k)
		default:
			s.route(k.pending, k.what, now)
		}
	}
	s.repeatForwards(now)
}

func (s *State) witness(from string, a *wire.Ask, now ident.Moment) {
	id := s.voterAt(a.Voter, from)
	if id == "" {
		return
	}
	for _, c := range a.Cells {
		h := s.holds[ident.Cell(c.Cell)]
		if h == nil || uint64(h.epoch) != c.Epoch || c.Promised > c.Epoch {
			continue
		}
		for _, v := range h.drains {
			if c.Upto >= v.upto {
				v.has[id] = true
			}
		}
		s.answerDrains(h, now)
	}
}

func (s *State) answerDrains(h *hold, now ident.Moment) {
	stands := now.Sub(s.Relay.CoreAsOf) < relay.CellLease
	keep := h.drains[:0]
	for _, v := range h.drains {
		switch {
		case stands && s.majority(v.has) && (!s.Shelves || h.kept >= v.upto || now.Sub(v.at) > ShelveWait):
			s.announced(v.pending, 200, "")
		case now.Sub(v.at) > HeldMost:
			s.announced(v.pending, 503, "heard, but not yet by those that must not forget it; say it again")
		default:
			keep = append(keep, v)
		}
	}
	h.drains = keep
}
