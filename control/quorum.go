package control

import (
	"fmt"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/wire"
)

type quorum struct {
	lost   bool
	lostAt ident.Moment
	roster string
	heard  map[string]ident.Moment
}

// hear notes when a voter or learner was last heard, by any frame.
func (q *quorum) hear(addr string, now ident.Moment) {
	if _, ok := q.heard[addr]; ok {
		q.heard[addr] = now
	}
}

func (q *quorum) follow(r *wire.Roster, now ident.Moment) {
	old := q.heard
	q.heard = map[string]ident.Moment{}
	for _, v := range r.GetVoters() {
		if q.heard[v.Addr] = now; old[v.Addr] != 0 {
			q.heard[v.Addr] = old[v.Addr]
		}
	}
}

// watchQuorum says in the log when contact with a majority of voters is lost and when it is back, and each roster that is agreed.
func (s *State) watchQuorum(now ident.Moment) {
	if s.Agree == nil || s.Agree.Role() == agreement.Blank {
		return
	}
	if t := rosterText(s.Agree.Roster()); t != s.quorum.roster {
		s.quorum.roster = t
		s.quorum.follow(s.Agree.Roster(), now)
		s.out = append(s.out, Note{t})
	}
	apart := s.Agree.Apart(now)
	switch lost := apart > agreement.QuorumLost; {
	case lost && !s.quorum.lost:
		s.quorum.lost, s.quorum.lostAt = true, now.Add(-apart)
		s.out = append(s.out, Note{fmt.Sprintf("No contact with a majority of voters for %d ms; silent: %s.", apart.Milliseconds(), orNone(s.silentVoters(now)))})
	case !lost && s.quorum.lost:
		s.quorum.lost = false
		s.out = append(s.out, Note{fmt.Sprintf("A majority of voters is in contact again, after %d ms.", (now.Sub(s.quorum.lostAt) - apart).Milliseconds())})
	}
}

func rosterText(r *wire.Roster) string {
	var voters, learners []string
	for _, v := range r.GetVoters() {
		if v.Learner {
			learners = append(learners, v.Member+" at "+v.Addr)
		} else {
			voters = append(voters, v.Member+" at "+v.Addr)
		}
	}
	return fmt.Sprintf("Voters: %s. Learners: %s.", orNone(voters), orNone(learners))
}

func orNone(l []string) string {
	if len(l) == 0 {
		return "none"
	}
	return strings.Join(l, ", ")
}

func (s *State) silentVoters(now ident.Moment) []string {
	var out []string
	for _, v := range agreement.Voters(s.Agree.Roster()) {
		if v.Member != string(s.Member) && now.Sub(s.quorum.heard[v.Addr]) > time.Second {
			out = append(out, v.Member)
		}
	}
	return out
}

func (s *State) quorumFor(now ident.Moment) time.Duration {
	if s.Agree == nil || !s.quorum.lost {
		return 0
	}
	return s.Agree.Apart(now)
}

type voterLine struct {
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

// voterLines tells the roster; SilentMs is how long ago this process heard of a voter, -1 where it can't know, Match and Lag are told by the leader only.
func (s *State) voterLines(now ident.Moment) []voterLine {
	at := map[string]agreement.VoterReport{}
	r := s.Relay.Core.GetRoster()
	if s.Agree != nil {
		for _, p := range s.Agree.Report(now) {
			at[string(p.Voter)] = p
		}
		if len(s.Agree.Roster().GetVoters()) > 0 {
			r = s.Agree.Roster()
		}
	}
	out := []voterLine{}
	for _, v := range r.GetVoters() {
		l := voterLine{Voter: v.Id, Address: v.Addr, Member: v.Member, Learner: v.Learner, State: "unknown", SilentMs: -1}
		if c := s.Members.Card(ident.Member(v.Member)); c != nil {
			l.State = [...]string{"live", "silent", "left"}[c.State%3]
		}
		l.Leads = v.Addr == s.leaderAddr()
		if at, ok := s.quorum.heard[v.Addr]; ok {
			l.SilentMs = now.Sub(at).Milliseconds()
		}
		if v.Addr == string(s.Addr) {
			l.SilentMs = 0
		}
		if p, ok := at[v.Id]; ok {
			l.Match, l.Lag, l.Ailing = uint64(p.Match), p.Lag, p.Ailing
		}
		out = append(out, l)
	}
	return out
}
