// Package agreement is the reducer of a replicated log: elections with pre-vote, replication, snapshots and
// changes of membership, one step at a time.
package agreement

import (
	"fmt"
	"math/rand"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/gammazero/deque"

	"sloeturn/ident"
	"sloeturn/wire"
)

type Role int

const (
	Blank Role = iota
	Follower
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"blank", "follower", "candidate", "leader"}[r] }

const (
	BeatEvery    = 60 * time.Millisecond
	ElectLeast   = 500 * time.Millisecond
	ElectSpread  = 500 * time.Millisecond
	StandLeast   = 60 * time.Millisecond
	StandSpread  = 240 * time.Millisecond
	StandsMost   = 20
	QuorumLost   = 1200 * time.Millisecond
	FoundEvery   = 200 * time.Millisecond
	ClaimFor     = 500 * time.Millisecond
	FoundWait    = 2 * time.Second
	VoterReplace = 10 * time.Second
	KeepEntries  = 4096
	BatchEntries = 512
	LiveFor      = 500 * time.Millisecond
	CaughtUpFor  = time.Second
	LingerFor    = 2 * time.Second
	LearnerKept  = 10
	KeepBytes    = 2 << 20
	LogBytes     = 4 << 20
	BatchBytes   = 64 << 10
	FlightBytes  = 128 << 10
	LastResort   = 2 * time.Second
	ClockKept    = 3 * time.Second

	SnapshotAgain = time.Second
)

var ErrGap = merry.Sentinel("agreement: an entry is missing")

type Self struct {
	Voter  ident.Voter
	Member ident.Member
	Addr   ident.Addr
}

type Recovered struct {
	Term     uint64
	Voted    string
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

type Persist struct {
	Seq     uint64
	Records []*wire.Record
}

// Replay takes a record in as it stands on disk, in its order.
func (r *Recovered) Replay(rec *wire.Record) error {
	switch b := rec.Body.(type) {
	case *wire.Record_HardState:
		r.Term, r.Voted = b.HardState.Term, b.HardState.Voted
	case *wire.Record_Cut:
		r.cut(b.Cut)
	case *wire.Record_Entry:
		r.cut(b.Entry.Index)
		return r.add(b.Entry)
	case *wire.Record_Snapshot:
		r.Snapshot, r.Entries = bare(b.Snapshot), nil
		for _, e := range b.Snapshot.Log {
			if err := r.add(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Recovered) add(e *wire.Entry) error {
	if r.Snapshot != nil {
		last := r.Snapshot.LastIndex
		if n := len(r.Entries); n > 0 {
			last = r.Entries[n-1].Index
		}
		if e.Index != last+1 {
			return merry.Wrap(ErrGap, merry.AppendMessagef("entry %d stands after %d", e.Index, last))
		}
	}
	r.Entries = append(r.Entries, e)
	return nil
}

func (r *Recovered) cut(from uint64) {
	for n := len(r.Entries); n > 0 && r.Entries[n-1].Index >= from; n-- {
		r.Entries = r.Entries[:n-1]
	}
}

type Out struct {
	Sends   []wire.Send
	Persist *Persist
	Applied []*wire.Entry
	Loaded  *wire.Snapshot
	Turned  bool
	Notes   []string
}

type progress struct {
	addr      string
	next      uint64
	match     uint64
	round     uint64
	heard     ident.Moment
	ailing    bool
	leaving   bool
	snapAt    ident.Moment
	reset     uint64
	resetTo   uint64
	wall      int64
	wallAt    ident.Moment
	wallRound uint64
	goal      uint64
	goalAt    ident.Moment
	caughtUp  ident.Moment
	outAt     ident.Moment
	chunks    bool
	full      bool
	ringBytes int64
	snap      *transfer
	flights   deque.Deque[flight]
	flight    int64
}

type flight struct {
	last  uint64
	bytes int64
}

// founderClaim is what a founder said of itself, and when.
type founderClaim struct {
	*wire.Founding
	at ident.Moment
}

type held struct {
	seq  uint64
	send wire.Send
}

type round struct {
	n  uint64
	at ident.Moment
}

type State struct {
	Self     Self
	Founders []ident.Addr

	role     Role
	term     uint64
	voted    string
	snapshot *wire.Snapshot
	log      []*wire.Entry
	floor    uint64
	below    uint64
	commit   uint64
	applied  uint64
	synced   uint64
	rand     *rand.Rand

	leader     string
	leaderAddr string
	heardLead  ident.Moment
	electAt    ident.Moment
	stands     int
	votes      map[string]bool
	pre        bool
	handoff    bool
	released   uint64
	known      *wire.Roster
	knownAt    uint64

	progress map[string]*progress
	rounds   deque.Deque[round]
	roundNow uint64
	asOf     ident.Moment
	ledSince ident.Moment
	beatAt   ident.Moment
	first    uint64
	quitAt   ident.Moment
	stampAt  ident.Moment
	stamp    uint64

	seq         uint64
	seqDone     uint64
	hardStateAt uint64
	wait        deque.Deque[held]
	marks       deque.Deque[[2]uint64]
	recs        []*wire.Record
	out         *Out
	body        *body
	part        *part

	capacity   int64
	room       int64
	due        int64
	recBytes   int64
	owed       deque.Deque[owed]
	since      int64
	imageBytes int64
	logBytes   int64
	snapSeq    uint64
	tight      bool
	full       int64
	fullBy     bool
	Refused    bool
	ailing     bool

	foundAt ident.Moment
	found   map[string]founderClaim
	sees    string
	born    ident.Moment
	Leaving bool
	Want    int
	// FreshFleet says that the whole fleet starts for the first time: then a majority of the founders may found it.
	FreshFleet bool
	// VoterReplace is how long a voter is silent before a learner that has caught up takes its place.
	VoterReplace time.Duration
	Image        func() []byte
	Reads        func(image []byte) error
	Doors        func() []ident.Addr
	Wall         func(now ident.Moment) int64
}

func New(self Self, founders []ident.Addr, got *Recovered, seed int64, now ident.Moment) *State {
	s := &State{Self: self, Founders: founders, Want: 3, VoterReplace: VoterReplace, rand: rand.New(rand.NewSource(seed)), found: map[string]founderClaim{}, born: now, out: &Out{}, Doors: func() []ident.Addr { return nil }, Wall: func(ident.Moment) int64 { return 0 }}
	s.asOf, s.heardLead = now, now
	if got != nil {
		s.term, s.voted = got.Term, got.Voted
	}
	if got != nil && got.Snapshot != nil {
		s.role = Follower
		s.snapshot = got.Snapshot
		if s.snapshot.LastTerm > s.term {
			s.term = s.snapshot.LastTerm
		}
		s.floor, s.below = s.snapshot.LastIndex, s.snapshot.LastTerm
		for _, e := range got.Entries {
			if e.Index == s.last()+1 {
				s.log = append(s.log, e)
			}
		}
		s.imageBytes = sizeOf(s.snapshot)
		s.measure()
		s.since = s.logBytes
		s.commit, s.applied = s.snapshot.LastIndex, s.snapshot.LastIndex
		s.synced = s.last()
		s.stamp = s.lastStamp()
		s.heardLead = now.Add(-ElectLeast)
		s.stands = StandsMost
	}
	s.setElect(now)
	s.setStand(now)
	return s
}

func (s *State) Role() Role                 { return s.role }
func (s *State) Term() ident.Term           { return ident.Term(s.term) }
func (s *State) LeaderAddr() ident.Addr     { return ident.Addr(s.leaderAddr) }
func (s *State) Leader() ident.Voter        { return ident.Voter(s.leader) }
func (s *State) Commit() ident.Index        { return ident.Index(s.commit) }
func (s *State) Last() ident.Index          { return ident.Index(s.last()) }
func (s *State) Ailing() bool               { return s.ailing }
func (s *State) LedSince() ident.Moment     { return s.ledSince }
func (s *State) Firm() bool                 { return s.role == Leader && s.commit >= s.first && s.applied >= s.first }
func (s *State) Steady(n ident.Moment) bool { return s.Firm() && s.quitAt == 0 }
func (s *State) Snapshot() *wire.Snapshot   { return s.snapshot }
func (s *State) Match(v ident.Voter) uint64 {
	if l := s.progress[string(v)]; l != nil {
		return l.match
	}
	return 0
}

func (s *State) AsOf() (ident.Moment, bool) {
	if !s.Firm() {
		return 0, false
	}
	return s.asOf, true
}

func (s *State) base() uint64 { return s.floor }

func (s *State) last() uint64 { return s.base() + uint64(len(s.log)) }

func (s *State) entry(i uint64) *wire.Entry {
	if i <= s.base() || i > s.last() {
		return nil
	}
	return s.log[i-s.base()-1]
}

func (s *State) termAt(i uint64) (uint64, bool) {
	if i == s.base() {
		return s.below, true
	}
	if e := s.entry(i); e != nil {
		return e.Term, true
	}
	return 0, false
}

func (s *State) lastTerm() uint64 { t, _ := s.termAt(s.last()); return t }

func (s *State) lastStamp() uint64 {
	if len(s.log) > 0 {
		return s.log[len(s.log)-1].Stamp
	}
	if s.snapshot != nil {
		return s.snapshot.Stamp
	}
	return 0
}

func (s *State) send(to string, f *wire.Frame) {
	s.out.Sends = append(s.out.Sends, wire.Send{To: to, Frame: f})
}

func (s *State) sendSynced(to string, f *wire.Frame) {
	s.wait.PushBack(held{s.seq + 1, wire.Send{To: to, Frame: f}})
}

func (s *State) saveHardState() {
	s.hardStateAt = s.seq + 1
	s.record(&wire.Record{Body: &wire.Record_HardState{HardState: &wire.HardState{Term: s.term, Voted: s.voted}}})
}

// bootstrap starts from the founding roster. A term in which this voter has voted while blank stays.
func (s *State) bootstrap(r *wire.Roster, now ident.Moment) {
	s.adopt(&wire.Snapshot{LastIndex: foundingIndex, LastTerm: 1, Roster: r})
	s.term = max(s.term, 1)
	s.saveHardState()
	s.enter(Follower)
	s.setElect(now)
}

func (s *State) note(form string, args ...any) {
	s.out.Notes = append(s.out.Notes, fmt.Sprintf(form, args...))
}

func (s *State) add(c *wire.Change) uint64 {
	e := &wire.Entry{Term: s.term, Index: s.last() + 1, Stamp: s.stamp, Change: c}
	s.push(e)
	if c.GetRoster() != nil {
		s.refit()
	}
	return e.Index
}

func (s *State) push(e *wire.Entry) {
	s.log = append(s.log, e)
	s.logBytes += sizeOf(e)
	s.record(&wire.Record{Body: &wire.Record_Entry{Entry: e}})
	if e.Change.GetRoster() != nil {
		s.known = nil
	}
}

func (s *State) clip(last uint64) {
	for i := 0; i < s.marks.Len(); i++ {
		if m := s.marks.At(i); m[1] > last {
			s.marks.Set(i, [2]uint64{m[0], last})
		}
	}
}

func (s *State) refit() {
	r := s.Roster()
	for _, v := range r.GetVoters() {
		if v.Id == string(s.Self.Voter) {
			continue
		}
		if l := s.progress[v.Id]; l != nil {
			l.addr, l.outAt = v.Addr, 0
			continue
		}
		s.progress[v.Id] = &progress{addr: v.Addr, next: s.last() + 1, heard: s.beatAt}
	}
	for id, p := range s.progress {
		if find(r, id) == nil && p.outAt == 0 {
			p.outAt = s.beatAt
		}
	}
}

func (s *State) Propose(c *wire.Change, now ident.Moment) (uint64, bool) {
	if !s.Steady(now) || !s.admits(c) {
		return 0, false
	}
	s.tell(now)
	return s.add(c), true
}

func (s *State) tell(now ident.Moment) {
	if d := now.Sub(s.stampAt); d > 0 {
		s.stamp += uint64(d / time.Millisecond)
		s.stampAt = s.stampAt.Add(d / time.Millisecond * time.Millisecond)
	}
}

func (s *State) Disk(ailing bool, now ident.Moment) {
	s.ailing = ailing
	if ailing && s.role == Leader {
		s.Resign(now)
	}
}

// Clocks gives the wall clocks that voters told lately, the own one first, and how many voters there are; none without the own one.
func (s *State) Clocks(now ident.Moment) ([]int64, int) {
	all := Voters(s.Roster())
	own := s.Wall(now)
	if own == 0 || !s.voting() {
		return nil, len(all)
	}
	out := []int64{own}
	for _, v := range all {
		l := s.progress[v.Id]
		if l != nil && l.wall != 0 && now.Sub(l.wallAt) < ClockKept && v.Id != string(s.Self.Voter) {
			out = append(out, l.wall+int64(now.Sub(l.wallAt)/time.Millisecond))
		}
	}
	return out, len(all)
}

func (s *State) Tick(now ident.Moment) {
	switch s.role {
	case Blank:
		if now.Sub(s.foundAt) >= FoundEvery {
			s.foundAt = now
			for _, a := range ident.Others(s.Self.Addr, s.Founders, s.Doors()) {
				s.send(string(a), &wire.Frame{Body: &wire.Frame_Founding{Founding: s.mine(false)}})
			}
			if len(s.Founders) == 1 && s.Founders[0] == s.Self.Addr {
				s.Founding(&wire.Founding{Answer: true}, now)
			}
			for _, a := range ident.Keys(s.found) {
				if f := s.found[a]; !f.Blank {
					m := s.mine(true)
					m.Learn = true
					s.send(f.Addr, &wire.Frame{Body: &wire.Frame_Founding{Founding: m}})
				}
			}
			s.foundByMajority(now)
		}
	case Leader:
		s.tell(now)
		if s.ailing && s.quitAt == 0 {
			s.Resign(now)
		}
		if s.quitAt != 0 && now.Sub(s.quitAt) > ElectLeast {
			s.quitAt = 0
		}
		if now.Sub(s.asOf) > QuorumLost && now.Sub(s.ledSince) > QuorumLost {
			s.leader, s.leaderAddr = "", ""
			s.becomeFollower(now)
			return
		}
		if now.Sub(s.beatAt) >= BeatEvery {
			s.reconfigure(now)
			s.heartbeat(now)
		}
	default:
		s.askToLearn(now)
		if now.After(s.electAt) {
			s.setElect(now)
			s.setStand(now)
			if s.voting() && !s.ailing && (!s.Leaving || now.Sub(s.heardLead) > LastResort) {
				s.campaign(now, true, false)
			}
		}
	}
}

func (s *State) Flush(now ident.Moment) *Out {
	if s.role == Leader {
		if s.votesAlone() {
			s.asOf = now
		}
		for _, id := range ident.Keys(s.progress) {
			s.feed(id, s.progress[id], now, false)
		}
	}
	if len(s.recs) > 0 {
		s.seq++
		s.out.Persist = &Persist{Seq: s.seq, Records: s.recs}
		s.recs = nil
		s.owed.PushBack(owed{s.seq, s.recBytes})
		s.recBytes = 0
		s.marks.PushBack([2]uint64{s.seq, s.last()})
	}
	for s.wait.Len() > 0 {
		h := s.wait.Front()
		if h.seq > s.seq {
			h.seq = s.seq
			s.wait.Set(0, h)
		}
		if h.seq > s.seqDone {
			break
		}
		s.wait.PopFront()
		s.out.Sends = append(s.out.Sends, h.send)
	}
	for s.applied < s.commit {
		e := s.entry(s.applied + 1)
		s.applied++
		s.out.Applied = append(s.out.Applied, e)
	}
	out := s.out
	s.out = &Out{}
	return out
}

func (s *State) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s term %d base %d last %d synced %d commit %d first %d seq %d done %d quit %d ailing %v", s.role, s.term, s.base(), s.last(), s.synced, s.commit, s.first, s.seq, s.seqDone, s.quitAt, s.ailing)
	for _, v := range s.Roster().GetVoters() {
		fmt.Fprintf(&b, " [%s learner %v", v.Id, v.Learner)
		if l := s.progress[v.Id]; l != nil {
			fmt.Fprintf(&b, " next %d match %d round %d ailing %v", l.next, l.match, l.round, l.ailing)
		}
		b.WriteString("]")
	}
	return b.String()
}
