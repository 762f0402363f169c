package agreement

import (
	"slices"
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

func (s *State) rosterAt() (*wire.Roster, uint64) {
	if s.known == nil {
		s.known, s.knownAt = s.rosterScan()
	}
	return s.known, s.knownAt
}

func (s *State) rosterScan() (*wire.Roster, uint64) {
	for i := len(s.log) - 1; i >= 0; i-- {
		if r := s.log[i].Change.GetRoster(); r != nil {
			return r, s.log[i].Index
		}
	}
	if s.snapshot != nil {
		return s.snapshot.Roster, s.snapshot.LastIndex
	}
	return &wire.Roster{}, 0
}

func (s *State) Roster() *wire.Roster { r, _ := s.rosterAt(); return r }

func (s *State) rosterBy(i uint64) *wire.Roster {
	for k := int(i - s.base()); k > 0; k-- {
		if r := s.log[k-1].Change.GetRoster(); r != nil {
			return r
		}
	}
	return s.snapshot.Roster
}

func Voters(r *wire.Roster) []*wire.Voter {
	var out []*wire.Voter
	for _, v := range r.GetVoters() {
		if !v.Learner {
			out = append(out, v)
		}
	}
	return out
}

func find(r *wire.Roster, id string) *wire.Voter {
	for _, v := range r.GetVoters() {
		if v.Id == id {
			return v
		}
	}
	return nil
}

func (s *State) voting() bool { return votes(s.Roster(), string(s.Self.Voter)) }

// votesAlone says that this member is the only voter, whose word needs nobody else's. A leader that was
// removed may lead on beside a single voter that is another.
func (s *State) votesAlone() bool { return s.voting() && len(Voters(s.Roster())) == 1 }

func votes(r *wire.Roster, id string) bool {
	v := find(r, id)
	return v != nil && !v.Learner
}

func (s *State) change(r *wire.Roster, f func(*wire.Voter) *wire.Voter, more *wire.Voter) {
	n := &wire.Roster{}
	for _, v := range r.GetVoters() {
		if w := f(v); w != nil {
			n.Voters = append(n.Voters, w)
		}
	}
	if more != nil {
		n.Voters = append(n.Voters, more)
	}
	s.add(&wire.Change{Body: &wire.Change_Roster{Roster: n}})
}

// able says that a peer is live, its disk writes, and it has on it all that this leader's log held CaughtUpFor ago.
func (s *State) able(id string, now ident.Moment) bool {
	if id == string(s.Self.Voter) {
		return !s.ailing
	}
	p := s.progress[id]
	return p.live(now) && !p.ailing && p.caughtUp != 0 && now.Sub(p.caughtUp) < CaughtUpFor
}

// readyLearner is the one that joined last: in a rolling restart it has its own restart behind it.
func (s *State) readyLearner(r *wire.Roster, now ident.Moment) string {
	for _, v := range slices.Backward(r.GetVoters()) {
		if v.Learner && s.able(v.Id, now) && !s.progress[v.Id].leaving {
			return v.Id
		}
	}
	return ""
}

// majorityWithout says that the voters but for one are live and caught up by a majority of their own.
func (s *State) majorityWithout(voters []*wire.Voter, id string, now ident.Moment) bool {
	n, all := 0, 0
	for _, v := range voters {
		if v.Id == id {
			continue
		}
		all++
		if s.able(v.Id, now) {
			n++
		}
	}
	return n >= all/2+1
}

func (s *State) silentVoter(r *wire.Roster, voters []*wire.Voter, now ident.Moment) string {
	silent := ""
	for _, v := range voters {
		p := s.progress[v.Id]
		if v.Id == string(s.Self.Voter) || p == nil || p.live(now) || !s.majorityWithout(voters, v.Id, now) {
			continue
		}
		for _, w := range r.GetVoters() {
			if w.Member == v.Member && w.Id != v.Id && now.Sub(p.heard) > LiveFor {
				return v.Id
			}
		}
		if now.Sub(p.heard) > s.VoterReplace {
			silent = v.Id
		}
	}
	return silent
}

// reconfigure takes the next single step towards Want live voters: it needs the one before to be committed, in this leader's term.
func (s *State) reconfigure(now ident.Moment) {
	r, at := s.rosterAt()
	if at > s.commit || !s.Firm() || s.quitAt != 0 {
		return
	}
	voters := Voters(r)
	ready := s.readyLearner(r, now)
	if gone := s.silentVoter(r, voters, now); gone != "" && (ready != "" || len(voters) > s.Want) {
		s.remove(r, gone)
		return
	}
	if ready != "" && len(voters) < s.Want {
		s.promote(r, ready)
		return
	}
	for _, v := range voters {
		switch {
		case !s.leaves(v.Id):
		case s.spareVoter(voters, v.Id, now):
			s.remove(r, v.Id)
			return
		case ready != "" && len(voters) == s.Want:
			s.promote(r, ready)
			return
		}
	}
	for _, v := range r.GetVoters() {
		if p := s.progress[v.Id]; v.Learner && p != nil && now.Sub(p.heard) > LearnerKept*s.VoterReplace {
			s.remove(r, v.Id)
			return
		}
	}
}

func (s *State) leaves(id string) bool {
	p := s.progress[id]
	return p != nil && p.leaving && p.live(s.beatAt)
}

// spareVoter says that the voters do no worse without this one: more stand than wanted, or an even number, and the rest is an able majority.
func (s *State) spareVoter(voters []*wire.Voter, id string, now ident.Moment) bool {
	return (len(voters) > s.Want || len(voters)%2 == 0) && s.majorityWithout(voters, id, now)
}

// releaseFor is the last index that a live majority of the voters has on disk without this one, which wants to leave;
// none while its place is being taken or a learner is on its way to do so.
func (s *State) releaseFor(id string, now ident.Moment) uint64 {
	r := s.Roster()
	voters := Voters(r)
	if v := find(r, id); v == nil || v.Learner || !s.leaves(id) || s.spareVoter(voters, id, now) {
		return 0
	}
	for _, v := range r.GetVoters() {
		if p := s.progress[v.Id]; v.Learner && p != nil && now.Sub(p.heard) < LiveFor && !p.ailing && !p.leaving {
			return 0
		}
	}
	var got []uint64
	for _, v := range voters {
		p := s.progress[v.Id]
		switch {
		case v.Id == id:
			got = append(got, 0)
		case v.Id == string(s.Self.Voter):
			got = append(got, s.synced)
		case p.live(now) && !p.ailing && !p.leaving:
			got = append(got, p.match)
		default:
			got = append(got, 0)
		}
	}
	return quorumIndex(got)
}

func (s *State) remove(r *wire.Roster, id string) {
	s.change(r, func(v *wire.Voter) *wire.Voter {
		if v.Id == id {
			return nil
		}
		return v
	}, nil)
}

func (s *State) promote(r *wire.Roster, id string) {
	s.change(r, func(v *wire.Voter) *wire.Voter {
		if v.Id == id {
			return &wire.Voter{Id: v.Id, Addr: v.Addr, Member: v.Member}
		}
		return v
	}, nil)
}

// askToLearn is for one whom the leader no longer feeds, or whose roster is without it. It asks all control processes too,
// for those of its roster may all have been replaced meanwhile.
func (s *State) askToLearn(now ident.Moment) {
	r := s.Roster()
	out := find(r, string(s.Self.Voter)) == nil
	if s.Leaving || now.Sub(s.foundAt) < FoundEvery || !out && now.Sub(s.heardLead) < ElectLeast+ElectSpread {
		return
	}
	s.foundAt = now
	m := s.mine(true)
	m.Learn = true
	list := []ident.Addr{}
	if s.leaderAddr != "" {
		list = append(list, ident.Addr(s.leaderAddr))
	}
	for _, v := range r.GetVoters() {
		list = append(list, ident.Addr(v.Addr))
	}
	for _, a := range ident.Others(s.Self.Addr, list, s.Doors()) {
		s.send(string(a), &wire.Frame{Body: &wire.Frame_Founding{Founding: m}})
	}
}

// Needed says that this voter's going would leave the others without a majority that holds all it holds,
// or that its place is being taken just now.
func (s *State) Needed(now ident.Moment) bool {
	r, at := s.rosterAt()
	all := Voters(r)
	if !s.voting() {
		return at > s.commit && s.role != Blank && votes(s.rosterBy(at-1), string(s.Self.Voter))
	}
	if s.role != Leader {
		return now.Sub(s.heardLead) > time.Second || s.released < s.last()
	}
	n, heirs := 0, 0
	for _, v := range r.GetVoters() {
		switch p := s.progress[v.Id]; {
		case !p.live(now) || p.ailing || p.leaving:
		case v.Learner:
			heirs++
		default:
			n++
		}
	}
	if len(all) == 1 {
		return heirs > 0
	}
	return n < (len(all)+1)/2
}
