package agreement

import (
	"slices"
	"sort"
	"strings"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Founding forms a fleet of blank founders: each must have said, while blank, that it sees the very voters that this one sees.
// So none forms beside a fleet that took a founder in and lost another since.
func (s *State) Founding(f *wire.Founding, now ident.Moment) {
	if s.role != Blank {
		if !f.Answer {
			s.send(f.Addr, foundingFrame(s.mine(true)))
		}
		if s.role == Leader && (f.Learn || f.Blank) {
			s.admit(f)
		}
		return
	}
	if f.Voter != "" || f.Answer && f.Blank {
		s.found[f.Addr] = founderClaim{f, now}
	}
	r := s.founders()
	if !f.Answer {
		m := s.mine(true)
		if slices.Contains(f.Sees, string(s.Self.Voter)) {
			m.Sees = f.Sees
		}
		s.send(f.Addr, foundingFrame(m))
	}
	if r == nil {
		s.foundByMajority(now)
		return
	}
	agreed := true
	for _, v := range r.Voters {
		agreed = agreed && (v.Id == string(s.Self.Voter) || slices.Equal(s.found[v.Addr].Sees, ids(r)))
	}
	if agreed {
		s.bootstrap(r, now)
		return
	}
	if now := strings.Join(ids(r), " "); s.sees != now {
		s.sees = now
		for _, v := range r.Voters {
			if v.Id != string(s.Self.Voter) {
				s.send(v.Addr, foundingFrame(s.mine(false)))
			}
		}
	}
	s.foundByMajority(now)
}

// foundingIndex is the index of the snapshot that a fleet is founded with.
const foundingIndex = 1

func foundingFrame(f *wire.Founding) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Founding{Founding: f}}
}

func ids(r *wire.Roster) []string {
	var out []string
	for _, v := range r.GetVoters() {
		out = append(out, v.Id)
	}
	return out
}

// founders is the roster of those that would form the fleet, once each has said that it is blank, and this one is among them.
func (s *State) founders() *wire.Roster {
	r := &wire.Roster{}
	for _, a := range s.Founders {
		g := s.found[string(a)].Founding
		if a == s.Self.Addr {
			g = &wire.Founding{Voter: string(s.Self.Voter), Member: string(s.Self.Member), Addr: string(s.Self.Addr), Blank: true}
		}
		if g == nil || !g.Blank {
			return nil
		}
		if g.Voter != "" {
			r.Voters = append(r.Voters, &wire.Voter{Id: g.Voter, Addr: g.Addr, Member: g.Member})
		}
	}
	sort.Slice(r.Voters, func(i, j int) bool { return r.Voters[i].Id < r.Voters[j].Id })
	if find(r, string(s.Self.Voter)) == nil {
		return nil
	}
	return r
}

// foundByMajority forms the fleet, at its very first start, without a founder that is silent after FoundWait. Each founder has
// one identity in such a start; so the silent one's place in the roster, held by a name that nobody bears, counts in the same
// majorities whoever knows it. One that may have been wiped counts as silent.
func (s *State) foundByMajority(now ident.Moment) {
	if !s.FreshFleet || now.Sub(s.born) < FoundWait {
		return
	}
	r, silent, known := &wire.Roster{}, 0, 0
	for _, a := range s.Founders {
		g, ok := s.found[string(a)]
		if a == s.Self.Addr {
			g, ok = founderClaim{s.mine(false), now}, true
		}
		if ok && !g.Blank {
			return
		}
		switch heard := ok && now.Sub(g.at) <= ClaimFor; {
		case heard && g.Voter == "":
			continue
		case heard && g.First:
			known++
			r.Voters = append(r.Voters, &wire.Voter{Id: g.Voter, Addr: g.Addr, Member: g.Member})
			continue
		case !heard:
			silent++
		}
		r.Voters = append(r.Voters, &wire.Voter{Id: "silent/" + string(a), Addr: string(a), Member: "silent at " + string(a)})
	}
	sort.Slice(r.Voters, func(i, j int) bool { return r.Voters[i].Id < r.Voters[j].Id })
	if silent > 0 && known > len(s.Founders)/2 && find(r, string(s.Self.Voter)) != nil {
		s.bootstrap(r, now)
	}
}

// foundingRoster is the roster that the fleet was founded with, as long as this member's snapshot is still
// that of the founding; nil after. It is the only roster that a blank founder may start from: a later
// one may stand in this log alone and never be committed.
func (s *State) foundingRoster() *wire.Roster {
	if s.snapshot == nil || s.snapshot.LastIndex != foundingIndex {
		return nil
	}
	return s.snapshot.Roster
}

func (s *State) mine(answer bool) *wire.Founding {
	f := &wire.Founding{Voter: string(s.Self.Voter), Member: string(s.Self.Member), Addr: string(s.Self.Addr), Blank: s.role == Blank, Answer: answer, Term: s.term, First: s.FreshFleet}
	if s.role == Blank {
		f.Sees = ids(s.founders())
	}
	return f
}

func (s *State) admit(f *wire.Founding) {
	if _, at := s.rosterAt(); at > s.commit || !s.Firm() {
		return
	}
	r := s.Roster()
	if v := find(r, f.Voter); v != nil {
		if v.Addr != f.Addr {
			s.change(r, func(w *wire.Voter) *wire.Voter {
				if w.Id == f.Voter {
					return &wire.Voter{Id: w.Id, Addr: f.Addr, Member: f.Member, Learner: w.Learner}
				}
				return w
			}, nil)
		}
		return
	}
	s.change(r, func(w *wire.Voter) *wire.Voter {
		if w.Learner && w.Member == f.Member {
			return nil
		}
		return w
	}, &wire.Voter{Id: f.Voter, Addr: f.Addr, Member: f.Member, Learner: true})
}
