package control

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	// VoterSilenceLimit is how long after its last frame a control process counts as silent.
	VoterSilenceLimit = time.Second
	// lastHeardRetention is how long it is remembered when a control process was last heard from.
	lastHeardRetention = time.Minute
)

// quorumContact is what a process knows of its contact with the other voters.
type quorumContact struct {
	lost         bool
	lostSince    ident.Moment
	rosterLogged string
	lastHeard    map[string]ident.Moment
}

// recordHeard notes when a control process was last heard from, by any frame; voters count before their
// role is known.
func (q *quorumContact) recordHeard(addr string, control bool, now ident.Moment) {
	if _, known := q.lastHeard[addr]; known || control {
		q.lastHeard[addr] = now
	}
}

// adoptRoster takes a new membership configuration: its members count as heard from now on, and a
// process that has long been silent is forgotten unless the configuration has it.
func (q *quorumContact) adoptRoster(roster *wire.Roster, now ident.Moment) {
	maps.DeleteFunc(q.lastHeard, func(_ string, at ident.Moment) bool { return now.Sub(at) > lastHeardRetention })
	for _, v := range roster.GetVoters() {
		if q.lastHeard[v.Addr] == 0 {
			q.lastHeard[v.Addr] = now
		}
	}
}

// watchQuorum logs when contact with a majority of voters is lost and when it is back, and each new
// membership configuration.
func (s *State) watchQuorum(now ident.Moment) {
	if s.Agreement == nil || s.Agreement.Role() == agreement.Blank {
		return
	}
	if text := rosterText(s.Agreement.Roster()); text != s.quorum.rosterLogged {
		s.quorum.rosterLogged = text
		s.quorum.adoptRoster(s.Agreement.Roster(), now)
		s.output = append(s.output, LogNote{text})
	}
	apart := s.Agreement.SinceQuorumContact(now)
	switch lost := apart > agreement.QuorumContactTimeout; {
	case lost && !s.quorum.lost:
		s.quorum.lost, s.quorum.lostSince = true, now.Add(-apart)
		s.output = append(s.output, LogNote{fmt.Sprintf("No contact with a majority of voters for %d ms; silent: %s.", apart.Milliseconds(), joinOrNone(s.silentVoters(now)))})
	case !lost && s.quorum.lost:
		s.quorum.lost = false
		s.output = append(s.output, LogNote{fmt.Sprintf("A majority of voters is in contact again, after %d ms.", (now.Sub(s.quorum.lostSince) - apart).Milliseconds())})
	}
}

func rosterText(roster *wire.Roster) string {
	var voters, learners []string
	for _, v := range roster.GetVoters() {
		if v.Learner {
			learners = append(learners, v.Member+" at "+v.Addr)
		} else {
			voters = append(voters, v.Member+" at "+v.Addr)
		}
	}
	return fmt.Sprintf("Voters: %s. Learners: %s.", joinOrNone(voters), joinOrNone(learners))
}

func joinOrNone(l []string) string {
	if len(l) == 0 {
		return "none"
	}
	return strings.Join(l, ", ")
}

// silentVoters names the other voters that this process has not heard from lately.
func (s *State) silentVoters(now ident.Moment) []string {
	var out []string
	for _, v := range agreement.Voters(s.Agreement.Roster()) {
		if v.Member != string(s.Member) && now.Sub(s.quorum.lastHeard[v.Addr]) > VoterSilenceLimit {
			out = append(out, v.Member)
		}
	}
	return out
}

// reachable reports whether this process itself hears another control process: one that is live for
// other members may be cut off from here.
func (s *State) reachable(record *wire.Card, now ident.Moment) bool {
	return record.Addr == string(s.Addr) || now.Sub(s.quorum.lastHeard[record.Addr]) <= VoterSilenceLimit
}

// quorumLostFor is how long there has been no contact with a majority of voters.
func (s *State) quorumLostFor(now ident.Moment) time.Duration {
	if s.Agreement == nil || !s.quorum.lost {
		return 0
	}
	return s.Agreement.SinceQuorumContact(now)
}

// voterStatus is a voter or learner as the operators' interface shows it.
type voterStatus struct {
	Voter    string `json:"voter"`
	Address  string `json:"address"`
	Member   string `json:"member"`
	Learner  bool   `json:"learner"`
	Leads    bool   `json:"leads"`
	State    string `json:"state"`
	Match    uint64 `json:"match"`
	Lag      uint64 `json:"lag"`
	SilentMs int64  `json:"silentMs"`
	Ailing   bool   `json:"ailing"`
}

// voterStatuses lists the membership configuration. SilentMs is how long ago this process heard from a
// voter, -1 where it cannot know; only the leader knows Match and Lag.
func (s *State) voterStatuses(now ident.Moment) []voterStatus {
	reports := map[string]agreement.VoterReport{}
	r := s.Relay.Core.GetRoster()
	if s.Agreement != nil {
		for _, p := range s.Agreement.Report(now) {
			reports[string(p.Voter)] = p
		}
		if len(s.Agreement.Roster().GetVoters()) > 0 {
			r = s.Agreement.Roster()
		}
	}
	out := []voterStatus{}
	for _, voter := range r.GetVoters() {
		status := voterStatus{Voter: voter.Id, Address: voter.Addr, Member: voter.Member, Learner: voter.Learner, State: "unknown", SilentMs: -1}
		if c := s.Members.Record(ident.Member(voter.Member)); c != nil {
			status.State = [...]string{"live", "silent", "left"}[c.State%3]
		}
		status.Leads = voter.Addr == s.leaderAddr()
		if at, ok := s.quorum.lastHeard[voter.Addr]; ok {
			status.SilentMs = now.Sub(at).Milliseconds()
		}
		if voter.Addr == string(s.Addr) {
			status.SilentMs = 0
		}
		if p, ok := reports[voter.Id]; ok {
			status.Match, status.Lag, status.Ailing = uint64(p.MatchIndex), p.Lag, p.DiskFailing
		}
		out = append(out, status)
	}
	return out
}
