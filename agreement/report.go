package agreement

import (
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// VoterReport describes the progress of a voter or learner as the leader sees it. Known is false if
// the leader has not received a reply from it in this term.
type VoterReport struct {
	Voter       ident.Voter
	Member      ident.Member
	Addr        ident.Addr
	Learner     bool
	Known       bool
	MatchIndex  ident.Index
	Lag         uint64
	Silent      time.Duration
	DiskFailing bool
}

// Report returns the progress of every member of the roster, or nil if this member is not the
// leader.
func (s *State) Report(now ident.Moment) []VoterReport {
	if s.role != Leader {
		return nil
	}
	var reports []VoterReport
	for _, v := range s.Roster().GetVoters() {
		reports = append(reports, s.reportOf(v, now))
	}
	return reports
}

func (s *State) reportOf(v *wire.Voter, now ident.Moment) VoterReport {
	report := VoterReport{Voter: ident.Voter(v.Id), Member: ident.Member(v.Member), Addr: ident.Addr(v.Addr), Learner: v.Learner}
	if v.Id == string(s.Self.Voter) {
		report.Known, report.MatchIndex, report.Lag, report.DiskFailing = true, ident.Index(s.synced), s.last()-s.synced, s.diskFailing
		return report
	}
	peer := s.progress[v.Id]
	if peer == nil {
		return report
	}
	report.Known, report.MatchIndex, report.Silent, report.DiskFailing = peer.ackedRound > 0, ident.Index(peer.matchIndex), now.Sub(peer.heardAt), peer.diskFailing
	report.Lag = s.last() - min(s.last(), peer.matchIndex)
	return report
}

// SinceQuorumContact returns how long this member has had no contact with a majority of the voters:
// a leader goes by its acknowledged heartbeat rounds, others by the last message from a leader.
func (s *State) SinceQuorumContact(now ident.Moment) time.Duration {
	contact := max(s.leaderHeardAt, s.quorumContactAt)
	if s.role == Leader {
		contact = s.quorumContactAt
	}
	return max(0, now.Sub(contact))
}
