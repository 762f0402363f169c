package relay

import (
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

func (s *State) Parent() string { return s.parent }

func Path(ring []*wire.Card, self ident.Member) []string {
	home := ""
	for _, c := range ring {
		if c.Id == string(self) {
			home = c.Cell
		}
	}
	var nodes, near, far []string
	at := -1
	for _, c := range ring {
		switch {
		case c.Role == member.Control && c.Cell == home:
			near = append(near, c.Addr)
		case c.Role == member.Control:
			far = append(far, c.Addr)
		case c.Cell == home:
			if c.Id == string(self) {
				at = len(nodes)
			}
			nodes = append(nodes, c.Addr)
		}
	}
	var out []string
	for i := at; i >= Roots; {
		i = (i - Roots) / Fan
		out = append(out, nodes[i])
	}
	return append(append(out, turned(near, self)...), turned(far, self)...)
}

func turned(heads []string, self ident.Member) []string {
	if len(heads) == 0 {
		return nil
	}
	k := int(ident.Hash(string(self)) % uint64(len(heads)))
	return append(append([]string(nil), heads[k:]...), heads[:k]...)
}

func (s *State) Tick(ring []*wire.Card, rev uint64, targets []string, now ident.Moment) {
	s.overdue(now)
	s.forgetSources(now)
	if !s.Eager && len(targets) > 0 && s.fallsBack(now) {
		s.fallBack(targets, now)
		if s.coreLate(now) {
			return
		}
	}
	every := AskEvery
	if s.Eager {
		every = EagerEvery
	}
	if now.Sub(s.askAt) < every {
		return
	}
	s.askAt = now
	if s.Control {
		who := map[string]ident.Member{}
		for _, c := range ring {
			who[c.Addr] = ident.Member(c.Id)
		}
		for _, t := range targets {
			if s.waits(t) < s.most() {
				s.AskTo(t, who[t], now)
			}
		}
		return
	}
	if s.Eager && len(targets) > 0 {
		s.start(targets, now)
		return
	}
	s.askParent(ring, rev, targets, now)
}

// askParent asks the next process up the tree, and climbs past one whose news is old or that is late.
func (s *State) askParent(ring []*wire.Card, rev uint64, targets []string, now ident.Moment) {
	path := Path(ring, s.Self)
	if rev != s.ringRev || now.Sub(s.climbAt) > ClimbFor {
		s.ringRev = rev
		s.climbAt = now
		s.climb = 0
	}
	if s.poor {
		s.climb++
		s.climbAt = now
		s.poor = false
	}
	if len(path) == 0 {
		path = targets
	}
	if len(path) == 0 {
		return
	}
	if s.parent = path[s.climb%len(path)]; s.waits(s.parent) < s.most() {
		s.AskTo(s.parent, "", now)
	}
}
