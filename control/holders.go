package control

import (
	"slices"
	"sort"
	"strings"

	"sloeturn/cell"
	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/relay"
	"sloeturn/wire"
)

// active gives the hold of a cell for which this process may speak just now, or nil. It never speaks
// before it has recalled what was known of the cell under earlier holders.
func (s *State) active(c ident.Cell, now ident.Moment) *hold {
	h := s.holds[c]
	if h == nil || !h.begun || !s.maySpeak(h, now) {
		return nil
	}
	return h
}

func (s *State) maySpeak(h *hold, now ident.Moment) bool {
	return h.heir == nil && h.met && !now.Before(h.start) && now.Sub(s.Relay.CoreAsOf) < relay.CellLease
}

// begin recalls what is known of a cell from the newest copy here, once its holder may speak.
func (s *State) begin(c ident.Cell, m *wire.Hold, h *hold, now ident.Moment) {
	if h.begun || !s.maySpeak(h, now) {
		return
	}
	if k := s.Relay.Cells[c]; k != nil && k.Epoch < h.epoch && (k.Known || uint64(k.Epoch) >= min(m.Since, m.Before)) {
		h.sound.Recall(k, now)
	}
	h.begun = true
}

func (s *State) heirOf(c ident.Cell, h *hold, now ident.Moment) *wire.Card {
	var list []*wire.Card
	for _, k := range s.standing() {
		switch {
		case k.Id == string(s.Member) || !s.reached(k, now):
		case k.Cell == string(c) && (s.draining || s.Cell != c && now.Sub(h.start) > HomeStable && now.Sub(s.liveFrom[k.Id].at) > HomeStable):
			return k
		default:
			list = append(list, k)
		}
	}
	if len(list) == 0 || !s.draining && h.heir == nil {
		return nil
	}
	return list[(int(ident.Hash(string(c))%uint64(len(list)))+h.turns)%len(list)]
}

func (s *State) standing() []*wire.Card {
	var out []*wire.Card
	for _, c := range s.Members.Ring() {
		if c.Role == member.Control && !c.Leaving {
			out = append(out, c)
		}
	}
	return out
}

func (s *State) cede(c ident.Cell, h *hold, now ident.Moment) {
	if h.heir == nil {
		if s.active(c, now) == nil {
			return
		}
		heir := s.heirOf(c, h, now)
		if heir == nil {
			return
		}
		s.copyCell(c, h, now)
		h.heir, h.will, h.named = heir, h.sound.Bequeath(now), now
		s.out = append(s.out, Note{"Cedes cell " + string(c) + " to " + heir.Id + "."})
	}
	if now.Sub(h.named) > HeirWait {
		h.turns++
		if k := s.heirOf(c, h, now); k != nil {
			h.heir, h.named = k, now
		}
	}
	if h.sent == 0 || now.Sub(h.sent) >= CedeEvery {
		h.sent = now
		s.send(h.heir.Addr, &wire.Frame{Body: &wire.Frame_Bequest{Bequest: h.will}})
	}
}

func (s *State) bequest(q *wire.Bequest, now ident.Moment) {
	c := ident.Cell(q.Cell)
	if s.draining || s.holds[c] != nil {
		return
	}
	s.wills[c] = q
	s.Mail.Hint(s.leaderAddr())
	s.Mail.Post(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: q.Cell, Holder: string(s.Member), Incarnation: uint64(s.Incarnation), Basis: q.Epoch, Addr: string(s.Addr)}}}, now.Add(CedeEvery), nil, s.heads(), now)
}

func (s *State) copyCell(c ident.Cell, h *hold, now ident.Moment) {
	k := s.Relay.Cells[c]
	if k == nil {
		k = cell.NewCopy(c)
		s.Relay.Cells[c] = k
	}
	if h.copied == h.rolls && k.Known && k.Epoch == h.epoch && k.Upto == h.sound.Upto() {
		k.Stand(h.sound.Pulse(), now)
		return
	}
	if k.Take(h.sound.News(k.Have(), now), now) {
		h.copied = h.rolls
	}
}

func (s *State) enroll(h *hold, now ident.Moment) {
	nodes := s.nodes()
	if slices.Equal(nodes, h.sound.Nodes) && now.Sub(h.dealt) < DealEvery {
		return
	}
	h.dealt = now
	by := map[string][]uint32{}
	homes := make([]bool, len(nodes))
	for i, n := range nodes {
		homes[i] = ident.Cell(s.Members.Card(ident.Member(n)).GetCell()) == h.sound.Cell
		for _, w := range s.Relay.ConfirmOf(n).GetWants() {
			if by[w.Service] == nil {
				by[w.Service] = make([]uint32, len(nodes))
			}
			by[w.Service][i] = w.Slots
		}
	}
	if d := s.Relay.Desired; d != nil {
		for _, v := range d.ServiceNames() {
			if by[string(v)] == nil && s.lined(string(v)) {
				by[string(v)] = make([]uint32, len(nodes))
			}
		}
	}
	r := cell.Roll{Nodes: nodes}
	for _, v := range ident.Keys(by) {
		only := s.lined(v)
		if only {
			by[v] = homeFirst(homes, by[v])
		}
		if old, was := h.sound.For(v); slices.Equal(nodes, h.sound.Nodes) && old != nil && was == only && near(old, by[v]) {
			by[v] = old
		}
		r.Wants = append(r.Wants, &wire.Wants{Service: v, ByNode: by[v], Only: only})
	}
	if r.Sum() != h.sound.Roll.Sum() {
		h.rolls++
		s.decide(duty.Decision{Decision: "dealt", Cell: string(h.sound.Cell), Note: strings.Join(nodes, " ") + " " + r.Text()})
	}
	h.sound.Roll = r
}

func homeFirst(homes []bool, wants []uint32) []uint32 {
	out := make([]uint32, len(wants))
	all, n := uint32(0), uint32(0)
	for i, w := range wants {
		if homes[i] {
			all += w
			n++
		}
	}
	for i, w := range wants {
		switch {
		case n == 0:
			out[i] = 1 + w
		case homes[i]:
			out[i] = 1 + 2*w + all/n
		}
	}
	return out
}

func (s *State) cells(now ident.Moment) {
	mine := map[ident.Cell]*wire.Hold{}
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Holder == string(s.Member) && h.Incarnation == uint64(s.Incarnation) {
			mine[ident.Cell(h.Cell)] = h
		}
	}
	for _, c := range ident.Keys(s.holds) {
		h := s.holds[c]
		if m := mine[c]; m == nil || m.Epoch != uint64(h.epoch) {
			delete(s.holds, c)
			s.out = append(s.out, Note{"No longer holds cell " + string(c) + "."})
		}
	}
	for _, c := range ident.Keys(mine) {
		m, h := mine[c], s.holds[c]
		if h == nil {
			h = &hold{rolls: 1, epoch: ident.Epoch(m.Epoch), start: now.Add(relay.CellLease), sound: cell.New(c, ident.Epoch(m.Epoch))}
			h.from, h.read = s.Relay.Core.Version, map[string]bool{}
			if q := s.wills[c]; q != nil && q.Epoch == m.Before {
				h.met, h.start, h.sound = true, now, cell.Inherit(q, h.epoch, now)
			}
			h.sound.Quiet = s.quiet
			delete(s.wills, c)
			s.holds[c] = h
			s.out = append(s.out, Note{"Holds cell " + string(c) + " soon."})
		}
		if !h.met && s.follows(m) && s.majority(s.told) {
			h.met, h.start = true, now
		}
		h.met = h.met || s.majority(h.read)
		if !h.met && !h.waited && now.Sub(h.start) > relay.CellLease {
			h.waited = true
			s.out = append(s.out, Note{"Cell " + string(c) + " waits for " + s.holderWaits(h, now) + "."})
		}
		s.cede(c, h, now)
		s.begin(c, m, h, now)
		if s.active(c, now) == nil {
			continue
		}
		h.sound.Tick(now)
		s.answerDrains(h, now)
		s.moved(h)
		s.enroll(h, now)
		s.copyCell(c, h, now)
	}
}

func (s *State) look(now ident.Moment) {
	for _, c := range s.Members.Ring() {
		if s.liveFrom[c.Id].incarnation != c.Incarnation {
			s.liveFrom[c.Id] = seen{c.Incarnation, now}
			delete(s.leftFrom, c.Id)
		}
		if _, ok := s.leftFrom[c.Id]; c.Leaving && !ok {
			s.leftFrom[c.Id] = now
		}
	}
	for id := range s.liveFrom {
		if !s.Members.Live(ident.Member(id)) {
			delete(s.liveFrom, id)
			delete(s.leftFrom, id)
		}
	}
}

func (s *State) keepers(list []*wire.Card) []*wire.Card {
	disk := map[string]bool{}
	for _, v := range s.Agree.Roster().GetVoters() {
		disk[v.Member] = true
	}
	var out []*wire.Card
	for _, c := range list {
		if disk[c.Id] {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

func (s *State) assign(now ident.Moment) {
	homes := map[string][]*wire.Card{}
	all := s.standing()
	want := map[string]bool{}
	for _, c := range s.Members.Ring() {
		want[c.Cell] = true
	}
	for _, c := range all {
		homes[c.Cell] = append(homes[c.Cell], c)
	}
	for c := range s.Book.Holds {
		want[string(c)] = true
	}
	names := make([]string, 0, len(want))
	for c := range want {
		names = append(names, c)
	}
	sort.Strings(names)
	for _, name := range names {
		c := ident.Cell(name)
		if len(all) == 0 || s.holdAt[c] != 0 && now.Sub(s.holdAt[c]) < HoldEvery {
			continue
		}
		h := s.Book.Holds[c]
		if h != nil {
			k := s.Members.Card(ident.Member(h.Holder))
			heard := max(s.holdAt[c], s.Agree.LedSince())
			if k == nil && now.Sub(s.Agree.LedSince()) < UnseenWait {
				continue
			}
			if n := s.Relay.Cells[c]; n != nil {
				heard = max(heard, n.AsOf)
			}
			if k != nil && now.Sub(heard) < DeafWait && k.State == member.Live && k.Incarnation == h.Incarnation && (!k.Leaving || now.Sub(s.leftFrom[k.Id]) < CedeGrace) {
				continue
			}
		}
		pick := s.nextHolder(name, homes[name], all, now)
		basis := uint64(0)
		if h != nil {
			basis = h.Epoch
		}
		s.holdAt[c] = now
		s.Agree.Propose(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: name, Holder: pick.Id, Incarnation: pick.Incarnation, Basis: basis, Addr: pick.Addr}}}, now)
	}
}

// nextHolder picks who is to hold a cell: one of its home before others, but before all one that this
// process reaches.
func (s *State) nextHolder(cell string, home, all []*wire.Card, now ident.Moment) *wire.Card {
	far := func(c *wire.Card) bool { return !s.reached(c, now) }
	home, all = s.keepers(home), s.keepers(all)
	if near := slices.DeleteFunc(slices.Clone(home), far); len(near) > 0 {
		return near[0]
	}
	if others := slices.DeleteFunc(slices.Clone(all), far); len(others) > 0 {
		return others[int(ident.Hash(cell)%uint64(len(others)))]
	}
	if len(home) > 0 {
		return home[0]
	}
	return all[int(ident.Hash(cell)%uint64(len(all)))]
}

// nodes lists those that backends are dealt to: the ready ones, and those that drain, for requests come
// to them until they have left.
func (s *State) nodes() []string {
	var out []string
	seated := map[string]bool{}
	for _, v := range s.Relay.Core.GetSeats() {
		seated[v.Member] = true
	}
	for _, c := range s.Members.Ring() {
		if c.Role == member.Data && (c.Ready || c.Leaving) && seated[c.Id] {
			out = append(out, c.Id)
		}
	}
	sort.Strings(out)
	return out
}

func (s *State) quiet(v ident.Service) bool {
	d := s.Relay.Desired
	return d != nil && d.Services[v] != nil && d.Services[v].Named
}

func (s *State) lined(v string) bool {
	d := s.Relay.Desired
	return d != nil && d.Services[ident.Service(v)] != nil && d.Services[ident.Service(v)].Line > 0
}

func (s *State) moved(h *hold) {
	for _, m := range h.sound.Moves() {
		s.decide(duty.Decision{Decision: "soundness", Cell: string(h.sound.Cell), Backend: string(m.Addr), Service: string(m.Service), From: m.From, To: m.To, Note: m.Why})
		if m.Leaves() {
			s.out = append(s.out, Note{"Backend " + string(m.Addr) + " (" + m.Life + ", " + string(m.Service) + ") of cell " + string(h.sound.Cell) + " is " + m.To + ": " + m.Why + "."})
		}
	}
}

func near(a, b []uint32) bool {
	for i := range a {
		if d := max(a[i], b[i]) - min(a[i], b[i]); d > 3 && 4*d > a[i] {
			return false
		}
	}
	return true
}
