// Package member is the reducer of membership: cards, heartbeats to watchers, and who is silent.
package member

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	Data    = 1
	Control = 2

	Live   = 0
	Silent = 1
	Left   = 2

	Parts      = 8
	Watchers   = 3
	BeatEvery  = 250 * time.Millisecond
	SeedEvery  = time.Second
	SilentFor  = 1200 * time.Millisecond
	ForgetFor  = 10 * time.Minute
	LeftForget = time.Minute
)

type State struct {
	Self  *wire.Card
	Seeds []ident.Addr
	More  func() []ident.Addr

	cards map[ident.Member]*wire.Card
	heard map[ident.Member]ident.Moment
	dead  map[ident.Member]ident.Moment
	sums  [Parts]uint64
	ring  []*wire.Card
	heads []string
	key   uint64
	rev   uint64
	told  uint64
	beat  ident.Moment
	seed  ident.Moment
	since ident.Moment
	next  int
	out   []wire.Send
}

func New(self *wire.Card, seeds []ident.Addr, now ident.Moment) *State {
	s := &State{Self: self, Seeds: seeds, More: func() []ident.Addr { return nil }, cards: map[ident.Member]*wire.Card{}, heard: map[ident.Member]ident.Moment{}, dead: map[ident.Member]ident.Moment{}}
	s.since = now
	self.Rank = 1
	self.Brief = true
	s.put(self, now)
	return s
}

func (s *State) Revision() uint64 { return s.rev }

func part(id string) int { return int(ident.Hash(id) % Parts) }

func sum(c *wire.Card) uint64 {
	n := uint64(0)
	for _, a := range c.Accusers {
		n += ident.Hash("accuser", a)
	}
	return n + ident.Hash(c.Id, c.Addr, strconv.FormatUint(c.Incarnation, 10), strconv.FormatUint(c.Rank, 10), strconv.FormatUint(c.Version, 10), strconv.Itoa(int(c.State)))
}

func (s *State) put(c *wire.Card, now ident.Moment) {
	id := ident.Member(c.Id)
	p := part(c.Id)
	if old := s.cards[id]; old != nil {
		s.sums[p] -= sum(old)
	}
	s.sums[p] += sum(c)
	s.cards[id] = c
	s.ring = nil
	s.rev++
	if c.State == Live {
		delete(s.dead, id)
	} else if s.dead[id] == 0 {
		s.dead[id] = now
	}
}

func (s *State) drop(id ident.Member) {
	if c := s.cards[id]; c != nil {
		s.sums[part(c.Id)] -= sum(c)
		delete(s.cards, id)
		delete(s.heard, id)
		delete(s.dead, id)
		s.ring = nil
		s.rev++
	}
}

func (s *State) Update(f func(c *wire.Card), now ident.Moment) {
	c := proto.Clone(s.Self).(*wire.Card)
	f(c)
	if proto.Equal(c, s.Self) {
		return
	}
	c.Version++
	s.Self = c
	s.put(c, now)
}

func (s *State) Say(ready, leaving bool, now ident.Moment) {
	if s.Self.Ready != ready || s.Self.Leaving != leaving {
		s.Update(func(c *wire.Card) { c.Ready, c.Leaving = ready, leaving }, now)
	}
}

func (s *State) Cards() []*wire.Card {
	out := make([]*wire.Card, 0, len(s.cards))
	for _, c := range s.cards {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Id < out[j].Id })
	return out
}

func (s *State) Card(id ident.Member) *wire.Card { return s.cards[id] }

func (s *State) Live(id ident.Member) bool {
	c := s.cards[id]
	return c != nil && c.State == Live
}

func (s *State) Ring() []*wire.Card {
	if s.ring == nil {
		for _, c := range s.cards {
			if c.State == Live {
				s.ring = append(s.ring, c)
			}
		}
		sort.Slice(s.ring, func(i, j int) bool {
			a, b := ident.Hash(s.ring[i].Id), ident.Hash(s.ring[j].Id)
			return a < b || a == b && s.ring[i].Id < s.ring[j].Id
		})
		s.heads, s.key = nil, 0
		for _, c := range s.ring {
			s.key += ident.Hash(c.Id)
			if c.Role == Control {
				s.heads = append(s.heads, c.Addr)
			}
		}
		s.heads = slices.Clip(s.heads)
	}
	return s.ring
}

func (s *State) Heads() []string {
	s.Ring()
	return s.heads
}

func (s *State) Key() uint64 {
	s.Ring()
	return s.key
}

func (s *State) WatchersOf(id ident.Member) []*wire.Card {
	r := s.Ring()
	at := ident.Hash(string(id))
	k := sort.Search(len(r), func(i int) bool { return ident.Hash(r[i].Id) >= at })
	var out []*wire.Card
	for i := 0; i < len(r) && len(out) < Watchers; i++ {
		c := r[(k+i)%len(r)]
		if c.Id != string(id) {
			out = append(out, c)
		}
	}
	return out
}

func newer(a, b *wire.Card) bool {
	if a.Rank != b.Rank {
		return a.Rank > b.Rank
	}
	return a.Version > b.Version
}

func (s *State) learn(c *wire.Card, now ident.Moment) {
	id := ident.Member(c.Id)
	if c.Id == s.Self.Id {
		s.learnSelf(c, now)
		return
	}
	old := s.cards[id]
	if old == nil || newer(c, old) {
		s.heard[id] = now
		s.put(c, now)
		return
	}
	if newer(old, c) || old.State == Left {
		return
	}
	if c.State == Left {
		s.put(c, now)
		return
	}
	s.accuse(old, c.Accusers, now)
}

func (s *State) learnSelf(c *wire.Card, now ident.Moment) {
	other := c.Incarnation != s.Self.Incarnation
	said := c.Version > s.Self.Version || c.Version == s.Self.Version && (len(c.Accusers) > 0 || c.State == Silent)
	if c.Rank < s.Self.Rank || c.Rank == s.Self.Rank && !other && !said {
		return
	}
	n := proto.Clone(s.Self).(*wire.Card)
	n.Rank, n.Version = c.Rank, c.Version+1
	if other {
		n.Rank, n.Version = c.Rank+1, 1
	}
	n.Accusers = nil
	s.Self = n
	s.put(n, now)
}

func (s *State) accuse(old *wire.Card, who []string, now ident.Moment) {
	all := map[string]bool{}
	for _, a := range old.Accusers {
		all[a] = true
	}
	n := len(all)
	for _, a := range who {
		all[a] = true
	}
	if len(all) == n {
		return
	}
	c := proto.Clone(old).(*wire.Card)
	c.Accusers = nil
	for a := range all {
		c.Accusers = append(c.Accusers, a)
	}
	sort.Strings(c.Accusers)
	if len(c.Accusers) >= min(2, len(s.WatchersOf(ident.Member(old.Id)))) {
		c.State = Silent
	}
	s.put(c, now)
}

func (s *State) send(to string, f *wire.Frame) {
	s.out = append(s.out, wire.Send{To: to, Frame: f})
}

func (s *State) heartbeat() *wire.Frame {
	sums := s.sums
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Card: s.Self, Digests: sums[:]}}}
}

func (s *State) whole() uint64 {
	n := uint64(1)
	for i, v := range s.sums {
		n += v * (2*uint64(i) + 3)
	}
	return n
}

func (s *State) pulse(all bool) {
	full := s.heartbeat()
	brief := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Whole: s.whole()}}}
	for _, c := range s.WatchersOf(ident.Member(s.Self.Id)) {
		if c.Brief && !all && s.told == s.Self.Version {
			s.send(c.Addr, brief)
		} else {
			s.send(c.Addr, full)
		}
	}
	s.told = s.Self.Version
}

func (s *State) doors() []ident.Addr {
	var lost []ident.Addr
	for _, c := range s.Cards() {
		if c.State == Silent {
			lost = append(lost, ident.Addr(c.Addr))
		}
	}
	return ident.Others(ident.Addr(s.Self.Addr), s.Seeds, s.More(), lost)
}

func (s *State) Tick(now ident.Moment) {
	if now.Sub(s.beat) < BeatEvery {
		return
	}
	if s.beat != 0 && now.Sub(s.beat) > SilentFor/2 {
		s.since = now
	}
	s.beat = now
	s.pulse(false)
	if len(s.Ring()) < 2 || now.Sub(s.seed) >= SeedEvery {
		s.seed = now
		list := s.doors()
		for range list {
			a := list[s.next%len(list)]
			s.next++
			s.send(string(a), s.heartbeat())
			if len(s.Ring()) > 1 {
				break
			}
		}
	}
	if now.Sub(s.since) > SilentFor {
		s.watch(now)
	}
	for id, at := range s.dead {
		c := s.cards[id]
		if c.State == Left && now.Sub(at) > LeftForget || now.Sub(at) > ForgetFor {
			s.drop(id)
		}
	}
}

func (s *State) watch(now ident.Moment) {
	for _, c := range s.Ring() {
		if c.Id == s.Self.Id {
			continue
		}
		mine := false
		for _, w := range s.WatchersOf(ident.Member(c.Id)) {
			mine = mine || w.Id == s.Self.Id
		}
		if !mine {
			continue
		}
		at, ok := s.heard[ident.Member(c.Id)]
		if !ok {
			s.heard[ident.Member(c.Id)] = now
			continue
		}
		if now.Sub(at) > SilentFor {
			s.accuse(c, []string{s.Self.Id}, now)
		}
	}
}

func (s *State) Heartbeat(h *wire.Heartbeat, from, addr string, now ident.Moment) {
	if h.Card == nil {
		s.hear(h, ident.Member(from), addr, now)
		return
	}
	if h.Card.Id == s.Self.Id {
		return
	}
	s.learn(h.Card, now)
	s.heard[ident.Member(h.Card.Id)] = now
	t := s.differ(h.Digests)
	if t != nil {
		s.send(h.Card.Addr, &wire.Frame{Body: &wire.Frame_Table{Table: t}})
	}
}

func (s *State) hear(h *wire.Heartbeat, from ident.Member, addr string, now ident.Moment) {
	if string(from) == s.Self.Id {
		return
	}
	if c := s.cards[from]; c != nil && c.Addr == addr {
		s.heard[from] = now
	}
	if h.Whole != s.whole() {
		s.send(addr, s.heartbeat())
	}
}

func (s *State) differ(sums []uint64) *wire.Table {
	t := &wire.Table{}
	for i := 0; i < Parts && i < len(sums); i++ {
		if sums[i] != s.sums[i] {
			t.Parts = append(t.Parts, uint32(i))
		}
	}
	if len(t.Parts) == 0 {
		return nil
	}
	for _, c := range s.cardsIn(t.Parts) {
		t.Sums = append(t.Sums, sum(c))
	}
	return t
}

func (s *State) cardsIn(parts []uint32) []*wire.Card {
	want := [Parts]bool{}
	for _, p := range parts {
		if p < Parts {
			want[p] = true
		}
	}
	var out []*wire.Card
	for _, c := range s.Cards() {
		if want[part(c.Id)] {
			out = append(out, c)
		}
	}
	return out
}

// Table mends two tables in three frames: the sums of all cards in the ranges that differ, the cards that the other lacks with the sums of those lacked here, and these.
// A table of an older build bears its cards at once and is answered with those that differ.
func (s *State) Table(t *wire.Table, from string, now ident.Moment) {
	has := make(map[uint64]bool, len(t.Sums)+len(t.Cards))
	for _, k := range t.Sums {
		has[k] = true
	}
	for _, c := range t.Cards {
		has[sum(c)] = true
		s.learn(c, now)
	}
	back := &wire.Table{Reply: true}
	if t.Reply {
		back.Cards = s.summed(t.Lacks)
	} else {
		for _, c := range s.cardsIn(t.Parts) {
			k := sum(c)
			if !has[k] {
				back.Cards = append(back.Cards, c)
			}
			delete(has, k)
		}
		for _, k := range t.Sums {
			if has[k] {
				back.Lacks = append(back.Lacks, k)
			}
		}
	}
	if len(back.Cards)+len(back.Lacks) > 0 {
		s.send(from, &wire.Frame{Body: &wire.Frame_Table{Table: back}})
	}
}

func (s *State) summed(list []uint64) []*wire.Card {
	if len(list) == 0 {
		return nil
	}
	var out []*wire.Card
	for _, c := range s.Cards() {
		if slices.Contains(list, sum(c)) {
			out = append(out, c)
		}
	}
	return out
}

func (s *State) Leave(now ident.Moment) {
	s.Update(func(c *wire.Card) { c.State = Left }, now)
	s.pulse(true)
}

func (s *State) Flush() []wire.Send {
	out := s.out
	s.out = nil
	return out
}
