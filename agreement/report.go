package agreement

import (
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// VoterReport tells how far a voter or learner has come, by the leader's word; Known is false where the leader has not heard of it in this term.
type VoterReport struct {
	Voter   ident.Voter
	Member  ident.Member
	Addr    ident.Addr
	Learner bool
	Known   bool
	Match   ident.Index
	Lag     uint64
	Silent  time.Duration
	Ailing  bool
}

// Report tells the progress of the whole roster; only a leader knows it, others get none.
func (s *State) Report(now ident.Moment) []VoterReport {
	if s.role != Leader {
		return nil
	}
	var out []VoterReport
	for _, v := range s.Roster().GetVoters() {
		out = append(out, s.reportOf(v, now))
	}
	return out
}

func (s *State) reportOf(v *wire.Voter, now ident.Moment) VoterReport {
	p := VoterReport{Voter: ident.Voter(v.Id), Member: ident.Member(v.Member), Addr: ident.Addr(v.Addr), Learner: v.Learner}
	if v.Id == string(s.Self.Voter) {
		p.Known, p.Match, p.Lag, p.Ailing = true, ident.Index(s.synced), s.last()-s.synced, s.ailing
		return p
	}
	l := s.progress[v.Id]
	if l == nil {
		return p
	}
	p.Known, p.Match, p.Silent, p.Ailing = l.round > 0, ident.Index(l.match), now.Sub(l.heard), l.ailing
	p.Lag = s.last() - min(s.last(), l.match)
	return p
}

// Apart is for how long this process has had no contact with a majority: a leader by its rounds, others by the leader they heard last.
func (s *State) Apart(now ident.Moment) time.Duration {
	at := max(s.heardLead, s.asOf)
	if s.role == Leader {
		at = s.asOf
	}
	return max(0, now.Sub(at))
}
