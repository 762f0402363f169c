package control

import (
	"google.golang.org/protobuf/proto"

	"sloeturn/cell"
	"sloeturn/ident"
	"sloeturn/wire"
)

const ShelfMost = 500 << 10

type shelf struct {
	turns  uint64
	leaves uint64
	at     ident.Moment
	busy   bool
	upto   map[ident.Cell]uint64
}

func (s *State) unshelve() {
	p := &wire.Shelf{}
	if proto.Unmarshal(s.Shelf, p) != nil {
		s.out = append(s.out, Note{"The kept copies of the cells do not read; passed over."})
		return
	}
	for _, k := range p.Cells {
		s.Relay.Cells[ident.Cell(k.Cell)] = cell.Kept(k)
	}
	s.Shelf = nil
}

func (s *State) shelve(now ident.Moment) {
	if !s.Shelves || s.shelf.busy {
		return
	}
	turns, leaves := uint64(0), uint64(0)
	for _, k := range s.Relay.Cells {
		turns, leaves = turns+k.Turns, leaves+k.Leaves
	}
	if turns == s.shelf.turns || leaves == s.shelf.leaves && now.Sub(s.shelf.at) < ShelveEvery {
		return
	}
	s.shelf = shelf{turns, leaves, now, true, map[ident.Cell]uint64{}}
	for c, h := range s.holds {
		s.shelf.upto[c] = h.sound.Upto()
	}
	b, err := proto.Marshal(s.keep())
	if err != nil {
		panic(err)
	}
	s.out = append(s.out, Shelve{b})
}

func (s *State) keep() *wire.Shelf {
	var first, rest []*wire.CellKept
	for _, c := range ident.Keys(s.Relay.Cells) {
		if k := s.Relay.Cells[c].Keep(); s.holds[c] != nil {
			first = append(first, k)
		} else if len(k.Backends) > 0 {
			rest = append(rest, k)
		}
	}
	p, room := &wire.Shelf{}, ShelfMost
	for _, k := range append(first, rest...) {
		n := proto.Size(k) + 8
		for n > room && len(k.Backends) > 0 {
			k.Backends = k.Backends[:len(k.Backends)/2]
			n = proto.Size(k) + 8
		}
		if n <= room {
			room -= n
			p.Cells = append(p.Cells, k)
		}
	}
	return p
}

func (s *State) shelved(ok bool, now ident.Moment) {
	s.shelf.busy = false
	if !ok {
		s.shelf.turns = 0
		return
	}
	for _, c := range ident.Keys(s.shelf.upto) {
		if h := s.holds[c]; h != nil {
			h.kept = max(h.kept, min(s.shelf.upto[c], h.sound.Upto()))
			s.keepVows(h, now)
		}
	}
}

func (s *State) olds(have map[string]*wire.CellHave) []*wire.CellNews {
	var out []*wire.CellNews
	for _, c := range ident.Keys(s.Relay.Cells) {
		k, h := s.Relay.Cells[c], have[string(c)]
		if k.Known || len(k.Table) == 0 || h != nil && (h.Epoch > uint64(k.Epoch) || h.Epoch == uint64(k.Epoch) && h.Upto >= k.Upto) {
			continue
		}
		out = append(out, k.Old())
	}
	return out
}

func (s *State) others() []string {
	var voters, live []ident.Addr
	r := s.Relay.Core.GetRoster()
	if s.Agree != nil {
		r = s.Agree.Roster()
	}
	for _, v := range r.GetVoters() {
		voters = append(voters, ident.Addr(v.Addr))
	}
	for _, a := range s.heads() {
		live = append(live, ident.Addr(a))
	}
	var out []string
	for _, a := range ident.Others(s.Addr, voters, live) {
		out = append(out, string(a))
	}
	return out
}

func (s *State) head(from string) bool {
	for _, a := range s.others() {
		if a == from {
			return true
		}
	}
	return false
}

// A holder that follows itself on its own address need not wait out its old tenure: binding the
// address proves that the old life speaks no more. A copy of a table of that chain proves that the
// chain had begun, and with so many others heard one of them knows each drain that was acknowledged.
func (s *State) follows(m *wire.Hold) bool {
	k := s.Relay.Cells[ident.Cell(m.Cell)]
	if k == nil || m.Since == 0 || m.Addr != string(s.Addr) || uint64(k.Epoch) < m.Since || uint64(k.Epoch) >= m.Epoch {
		return false
	}
	all, n := s.others(), 0
	for _, a := range all {
		if s.told[a] {
			n++
		}
	}
	return n+min(len(all), max(1, s.Losses)) > len(all) || len(all) == 0
}
