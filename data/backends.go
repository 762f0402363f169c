package data

import (
	"sort"
	"strings"

	"sloeturn/cell"
	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

type guard struct {
	life  string
	up    bool
	ended bool
	made  ident.Moment
	epoch ident.Epoch
	need  uint64
}

type bar struct {
	life    string
	service string
	beat    uint64
	epoch   ident.Epoch
	cell    ident.Cell
	ask     bool
	until   ident.Moment
}

type strike struct {
	life string
	n    int
	at   ident.Moment
}

type entry struct {
	*wire.Backend
	cell *cell.Copy
}

func (s *State) prove(now ident.Moment) {
	for a, g := range s.guards {
		if g.up || g.ended || g.made == 0 {
			continue
		}
		for c, k := range s.Relay.Cells {
			b := k.Table[a]
			if b == nil || b.Incarnation != g.life || !s.Relay.CellFresh(c, now) {
				continue
			}
			if g.need == 0 || g.epoch != k.Epoch {
				g.need = 0
				if !k.AsOf.Before(g.made) {
					g.epoch, g.need = k.Epoch, k.Pulse+1
				}
				continue
			}
			if b.Pulse >= g.need {
				g.up = true
				s.rev = 0
				s.decide(duty.Decision{Decision: "proven", Backend: string(a), Service: b.Service, Cell: string(c), Note: "a beat sent after the guard"})
			}
		}
	}
}

func (s *State) rebuild(now ident.Moment) {
	seen := map[ident.Addr][]entry{}
	for c, k := range s.Relay.Cells {
		if !s.Relay.CellFresh(c, now) {
			continue
		}
		for a, b := range k.Table {
			seen[a] = append(seen[a], entry{b, k})
		}
	}
	addrs := make([]ident.Addr, 0, len(seen))
	for a := range seen {
		addrs = append(addrs, a)
	}
	sort.Slice(addrs, func(i, j int) bool { return addrs[i] < addrs[j] })
	lives := map[ident.Addr]string{}
	groups, lines := map[string][]cell.Share{}, map[string][]cell.Share{}
	var list []pass.Backend
	for _, a := range addrs {
		if len(seen[a]) != 1 {
			continue
		}
		e := seen[a][0]
		lives[a] = e.Incarnation
		if b, ok := s.bars[a]; ok && (b.cell != e.cell.Cell || b.life != e.Incarnation || b.service != e.Service || e.cell.Epoch > b.epoch && e.Beat > 0 || e.cell.Epoch == b.epoch && e.Beat > b.beat) {
			delete(s.bars, a)
		}
		if s.Desired() == nil || s.Desired().Services[ident.Service(e.Service)] == nil || e.State != cell.Ready {
			continue
		}
		g := s.guards[a]
		_, barred := s.bars[a]
		list = append(list, pass.Backend{Addr: a, Service: ident.Service(e.Service), Life: e.Incarnation, Cell: e.cell.Cell, Slots: int(e.Slots), Near: e.cell.Cell == s.Cell, Barred: barred || !s.named(ident.Service(e.Service)) && (g == nil || !g.up || g.life != e.Incarnation)})
		key := string(e.cell.Cell) + " " + e.Service
		work := int(min(e.Work, cell.SlotLimit))
		groups[key] = append(groups[key], cell.Share{Addr: a, Work: work})
		if n := s.Desired().Services[ident.Service(e.Service)].Line; n > 0 {
			lines[key] = append(lines[key], cell.Share{Addr: a, Work: min(n*work, cell.SlotLimit)})
		}
	}
	shares, places := map[ident.Addr]int{}, map[ident.Addr]int{}
	totals := map[ident.Service]int{}
	for key, g := range groups {
		c, v, _ := strings.Cut(key, " ")
		k := s.Relay.Cells[ident.Cell(c)]
		wants, only := k.For(v)
		for a, n := range cell.Deal(g, k.Nodes, wants, only, string(s.Member), ident.Hash(key)) {
			shares[a] = n
			totals[ident.Service(v)] += n
		}
		for a, n := range cell.Deal(lines[key], k.Nodes, nil, false, string(s.Member), ident.Hash(key, "line")) {
			places[a] = n
			totals[ident.Service(v)] += n
		}
	}
	spare := map[ident.Service]uint64{}
	for i := range list {
		list[i].Share, list[i].Line = shares[list[i].Addr], places[list[i].Addr]
	}
	for i := range list {
		b := &list[i]
		if h := ident.Hash(string(s.Member), string(b.Addr)); totals[b.Service] == 0 && h > spare[b.Service] {
			spare[b.Service] = h
		}
	}
	for i := range list {
		if b := &list[i]; totals[b.Service] == 0 && ident.Hash(string(s.Member), string(b.Addr)) == spare[b.Service] {
			b.Share = 1
		}
	}
	for a, life := range s.lives {
		if lives[a] != life {
			s.out = append(s.out, Shed{lives})
			break
		}
	}
	s.lives = lives
	s.guard(list, now)
	s.Backends(list, now)
}

func (s *State) guard(list []pass.Backend, now ident.Moment) {
	want := map[ident.Addr]pass.Backend{}
	if !s.signedOff && s.seat != nil && s.Relay.CoreFresh(now) {
		for _, b := range list {
			if !s.named(b.Service) {
				want[b.Addr] = b
			}
		}
	}
	for _, a := range ident.Keys(s.guards) {
		g := s.guards[a]
		if b, ok := want[a]; (!ok || b.Life != g.life) && !g.ended {
			g.ended, g.up = true, false
			s.out = append(s.out, GuardEnd{a, g.life})
		}
	}
	for _, b := range list {
		if _, ok := want[b.Addr]; !ok || s.guards[b.Addr] != nil {
			continue
		}
		if _, barred := s.bars[b.Addr]; barred {
			continue
		}
		if !s.Pass.Hold(pass.Key{Lane: pass.ProbeLane, Addr: b.Addr}, b.Service) {
			continue
		}
		s.guards[b.Addr] = &guard{life: b.Life}
		s.out = append(s.out, Guard{b.Addr, b.Service, b.Life, s.Desired().Services[b.Service].Probe})
	}
}

func (s *State) guardLost(e GuardLost, now ident.Moment) {
	g := s.guards[e.Addr]
	if g == nil || g.life != e.Life {
		return
	}
	delete(s.guards, e.Addr)
	s.Pass.Unhold(pass.Key{Lane: pass.ProbeLane, Addr: e.Addr})
	if !g.ended {
		s.bar(e.Addr, false)
		s.Pass.Bar(e.Addr)
		s.decide(duty.Decision{Decision: "unsound", Backend: string(e.Addr), Note: e.Why})
		s.out = append(s.out, Note{"Backend " + string(e.Addr) + " is unsound: " + e.Why + "."})
	}
	s.rev = 0
	s.refresh(now)
}

func (s *State) named(n ident.Service) bool {
	v := s.Desired().Services[n]
	return v != nil && v.Named
}

func (s *State) namedAt(a ident.Addr) bool {
	b := s.Pass.Backend(a)
	return b != nil && s.named(b.Service)
}

func (s *State) doubled(a ident.Addr, not ident.Cell, now ident.Moment) bool {
	for c, k := range s.Relay.Cells {
		if c != not && k.Table[a] != nil && s.Relay.CellFresh(c, now) {
			return true
		}
	}
	return false
}

func (s *State) strike(a ident.Addr) ident.Moment {
	b := s.Pass.Backend(a)
	if b == nil || !s.named(b.Service) {
		return 0
	}
	k := s.strikes[a]
	if k.life != b.Life || s.now.Sub(k.at) > StrikeLife {
		k = strike{life: b.Life}
	}
	wait := min(BarLeast<<min(k.n, 8), BarMost)
	k.n, k.at = k.n+1, s.now
	s.strikes[a] = k
	return s.now.Add(wait)
}

func (s *State) unbar(now ident.Moment) {
	for a, b := range s.bars {
		if b.until != 0 && !b.until.After(now) {
			delete(s.bars, a)
			s.rev = 0
		}
	}
	for a, k := range s.strikes {
		if now.Sub(k.at) > StrikeLife {
			delete(s.strikes, a)
		}
	}
}

func (s *State) bar(a ident.Addr, ask bool) {
	if old, ok := s.bars[a]; ok && !old.ask {
		ask = false
	}
	until := s.strike(a)
	for c, k := range s.Relay.Cells {
		if b := k.Table[a]; b != nil {
			s.bars[a] = bar{life: b.Incarnation, service: b.Service, beat: b.Beat, epoch: k.Epoch, cell: c, ask: ask, until: until}
		}
	}
	if g := s.guards[a]; ask && g != nil && g.up {
		s.out = append(s.out, GuardAsk{a, g.life})
	}
}
