package agreement

import (
	"fmt"
	"math/rand"
	"slices"
	"sort"
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

func bare(p *wire.Snapshot) *wire.Snapshot {
	return &wire.Snapshot{LastIndex: p.LastIndex, LastTerm: p.LastTerm, Roster: p.Roster, Image: p.Image, Stamp: p.Stamp}
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
	if got != nil && got.Snapshot != nil {
		s.role = Follower
		s.term, s.voted, s.snapshot = got.Term, got.Voted, got.Snapshot
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

func (s *State) setElect(now ident.Moment) {
	s.electAt = now.Add(ElectLeast + time.Duration(s.rand.Int63n(int64(ElectSpread))))
}

func (s *State) setStand(now ident.Moment) {
	all := Voters(s.Roster())
	at := slices.IndexFunc(all, func(v *wire.Voter) bool { return v.Id == string(s.Self.Voter) })
	if s.stands == 0 || at < 0 {
		return
	}
	s.stands--
	each := StandSpread / time.Duration(len(all))
	s.electAt = now.Add(StandLeast + time.Duration((at+s.stands)%len(all))*each + time.Duration(s.rand.Int63n(int64(each/2))))
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

func (s *State) enter(r Role) {
	if s.role != r {
		s.out.Turned = true
	}
	s.role = r
}

func (s *State) toTerm(t uint64, now ident.Moment) {
	s.term, s.voted, s.leader, s.leaderAddr, s.released = t, "", "", "", 0
	s.saveHardState()
	s.becomeFollower(now)
}

func (s *State) becomeFollower(now ident.Moment) {
	s.enter(Follower)
	s.quitAt = 0
	s.progress, s.body = nil, nil
	s.setElect(now)
}

func (s *State) bootstrap(r *wire.Roster, now ident.Moment) {
	s.adopt(&wire.Snapshot{LastIndex: 1, LastTerm: 1, Roster: r})
	s.term = 1
	s.saveHardState()
	s.enter(Follower)
	s.setElect(now)
}

func (s *State) adopt(p *wire.Snapshot) {
	if t, ok := s.termAt(p.LastIndex); ok && t == p.LastTerm {
		s.log = append([]*wire.Entry(nil), s.log[p.LastIndex-s.base():]...)
	} else {
		s.log = nil
		s.clip(s.commit)
		s.synced = min(s.synced, s.commit)
	}
	s.snapshot, s.known, s.part = bare(p), nil, nil
	s.floor, s.below = p.LastIndex, p.LastTerm
	s.commit, s.applied = p.LastIndex, p.LastIndex
	s.stamp = max(s.stamp, p.Stamp)
	s.saveSnapshot()
	s.out.Loaded = s.snapshot
}

// saveSnapshot keeps the snapshot and the log behind it in one record, so that no crash parts them.
func (s *State) saveSnapshot() {
	p := bare(s.snapshot)
	p.Log = append([]*wire.Entry(nil), s.log[p.LastIndex-s.floor:]...)
	s.imageBytes = sizeOf(s.snapshot)
	s.measure()
	s.snapSeq, s.tight = s.seq+1, false
	s.full, s.fullBy = 0, false
	s.record(&wire.Record{Body: &wire.Record_Snapshot{Snapshot: p}})
	s.since = 0
}

func (s *State) note(form string, args ...any) {
	s.out.Notes = append(s.out.Notes, fmt.Sprintf(form, args...))
}

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

// live says that a peer answered this leader lately.
func (p *progress) live(now ident.Moment) bool {
	return p != nil && p.round > 0 && now.Sub(p.heard) < LiveFor
}

// able says that a peer is live, its disk writes, and it has on it all that this leader's log held CaughtUpFor ago.
func (s *State) able(id string, now ident.Moment) bool {
	if id == string(s.Self.Voter) {
		return !s.ailing
	}
	p := s.progress[id]
	return p.live(now) && !p.ailing && p.caughtUp != 0 && now.Sub(p.caughtUp) < CaughtUpFor
}

// catchUpRound measures how far behind a peer is by time: a round begins with the log's end, and is over when the peer has that.
func (s *State) catchUpRound(p *progress, now ident.Moment) {
	if p.goal == 0 {
		p.goal, p.goalAt = s.last(), now
	}
}

func (p *progress) matched(n uint64) {
	p.match = max(p.match, n)
	if p.goal != 0 && p.match >= p.goal {
		p.caughtUp, p.goal = p.goalAt, 0
	}
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

func quorumIndex(got []uint64) uint64 {
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	return got[len(got)/2]
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

func (s *State) Resign(now ident.Moment) bool {
	if s.role != Leader || s.quitAt != 0 {
		return false
	}
	best, most := "", uint64(0)
	for _, v := range Voters(s.Roster()) {
		l := s.progress[v.Id]
		if l != nil && !l.ailing && !l.leaving && now.Sub(l.heard) < LiveFor && l.match >= most {
			best, most = v.Id, l.match
		}
	}
	if best == "" {
		return false
	}
	s.quitAt = now
	s.heartbeat(now)
	s.send(s.progress[best].addr, &wire.Frame{Body: &wire.Frame_Handoff{Handoff: &wire.Handoff{Term: s.term, Target: best}}})
	return true
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

func votes(r *wire.Roster, id string) bool {
	v := find(r, id)
	return v != nil && !v.Learner
}

func (s *State) Handoff(h *wire.Handoff, now ident.Moment) {
	if h.Term != s.term || h.Target != string(s.Self.Voter) || s.role != Follower || !s.voting() || s.ailing || s.Leaving {
		return
	}
	s.campaign(now, false, true)
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

func (s *State) campaign(now ident.Moment, pre, hand bool) {
	s.pre, s.handoff = pre, hand
	s.votes = map[string]bool{string(s.Self.Voter): true}
	term := s.term + 1
	if !pre {
		s.term, s.voted = term, string(s.Self.Voter)
		s.leader, s.leaderAddr = "", ""
		s.saveHardState()
		s.enter(Candidate)
		s.setElect(now)
	}
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			continue
		}
		f := &wire.Frame{Body: &wire.Frame_Vote{Vote: &wire.Vote{Term: term, Candidate: string(s.Self.Voter), CandidateAddr: string(s.Self.Addr), LastIndex: s.last(), LastTerm: s.lastTerm(), Pre: pre, Handoff: hand, Target: v.Id, Roster: s.Roster()}}}
		if pre {
			s.send(v.Addr, f)
		} else {
			s.sendSynced(v.Addr, f)
		}
	}
	s.tally(now)
}

func (s *State) Vote(v *wire.Vote, now ident.Moment) {
	if v.Target != string(s.Self.Voter) {
		return
	}
	if s.role == Blank {
		if find(v.Roster, v.Target) == nil || find(v.Roster, v.Target).Learner {
			return
		}
		s.bootstrap(v.Roster, now)
	}
	fresh := s.role == Leader || now.Sub(s.heardLead) < ElectLeast
	if fresh && !v.Handoff && v.Candidate != s.leader {
		return
	}
	newer := v.LastTerm > s.lastTerm() || v.LastTerm == s.lastTerm() && v.LastIndex >= s.last()
	reply := func(ok bool) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_VoteReply{VoteReply: &wire.VoteReply{Term: s.term, Granted: ok, Pre: v.Pre, Voter: string(s.Self.Voter), Asked: v.Term}}}
	}
	if v.Pre {
		s.send(v.CandidateAddr, reply(newer && v.Term > s.term))
		return
	}
	if v.Term > s.term {
		s.toTerm(v.Term, now)
	}
	ok := v.Term == s.term && newer && (s.voted == "" || s.voted == v.Candidate)
	if ok && s.voted == "" {
		s.voted = v.Candidate
		s.saveHardState()
	}
	if ok {
		s.setElect(now)
		s.stands = 0
	}
	s.sendSynced(v.CandidateAddr, reply(ok))
}

func (s *State) VoteReply(v *wire.VoteReply, now ident.Moment) {
	if s.role == Blank {
		return
	}
	if v.Term > s.term {
		s.toTerm(v.Term, now)
		return
	}
	if !v.Granted || v.Pre != s.pre || s.votes == nil || s.role == Leader {
		return
	}
	if v.Pre && v.Asked != s.term+1 || !v.Pre && (v.Asked != s.term || s.role != Candidate) {
		return
	}
	s.votes[v.Voter] = true
	s.tally(now)
}

func (s *State) tally(now ident.Moment) {
	n := 0
	all := Voters(s.Roster())
	for _, v := range all {
		if s.votes[v.Id] && (s.pre || v.Id != string(s.Self.Voter) || s.seqDone >= s.hardStateAt) {
			n++
		}
	}
	if n < len(all)/2+1 {
		return
	}
	if s.pre {
		s.campaign(now, false, false)
		return
	}
	s.becomeLeader(now)
}

func (s *State) becomeLeader(now ident.Moment) {
	s.votes = nil
	s.enter(Leader)
	s.leader, s.leaderAddr = string(s.Self.Voter), string(s.Self.Addr)
	s.progress = map[string]*progress{}
	s.rounds.Clear()
	s.asOf, s.ledSince, s.beatAt, s.quitAt = now, now, now, 0
	s.stampAt = now
	s.stamp = s.lastStamp()
	s.refit()
	s.first = s.add(&wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{Heeds: true}}})
	s.heartbeat(now)
}

func (s *State) heartbeat(now ident.Moment) {
	s.beatAt = now
	s.roundNow++
	s.rounds.PushBack(round{s.roundNow, now})
	for s.rounds.Len() > 256 {
		s.rounds.PopFront()
	}
	for _, id := range ident.Keys(s.progress) {
		p := s.progress[id]
		if p.outAt != 0 && now.Sub(p.outAt) > LingerFor {
			delete(s.progress, id)
			continue
		}
		s.catchUpRound(p, now)
		s.feed(id, p, now, true)
	}
}

func (s *State) feed(id string, l *progress, now ident.Moment, beat bool) {
	if l.next <= s.base() {
		if s.snapshot != nil {
			s.transferTo(id, l, now)
		}
		if beat {
			s.send(l.addr, s.appendTo(id, s.base(), 0))
		}
		return
	}
	n, size := uint64(0), int64(0)
	for l.next+n <= s.last() && n < BatchEntries && !l.full {
		e := sizeOf(s.entry(l.next + n))
		if n > 0 && size+e > BatchBytes || l.flight > 0 && l.flight+size+e > FlightBytes {
			break
		}
		size += e
		n++
	}
	if n == 0 && !beat {
		return
	}
	s.send(l.addr, s.appendTo(id, l.next-1, n))
	if l.next += n; n > 0 {
		l.flight += size
		l.flights.PushBack(flight{l.next - 1, size})
	}
}

func (l *progress) landed(match uint64) {
	for l.flights.Len() > 0 && l.flights.Front().last <= match {
		l.flight -= l.flights.PopFront().bytes
	}
}

func (l *progress) ground() {
	l.flights.Clear()
	l.flight = 0
}

func (s *State) appendTo(id string, prev, n uint64) *wire.Frame {
	t, _ := s.termAt(prev)
	a := &wire.Append{Term: s.term, Leader: string(s.Self.Voter), LeaderAddr: string(s.Self.Addr), PrevIndex: prev, PrevTerm: t, Commit: s.commit, Round: s.roundNow, Target: id, Release: s.releaseFor(id, s.beatAt)}
	for i := prev + 1; i <= prev+n; i++ {
		a.Entries = append(a.Entries, s.entry(i))
	}
	return &wire.Frame{Body: &wire.Frame_Append{Append: a}}
}

func (s *State) Append(a *wire.Append, now ident.Moment) {
	if a.Target != string(s.Self.Voter) {
		return
	}
	reply := func(ok bool, match, hint uint64) *wire.Frame {
		return &wire.Frame{Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: s.term, Voter: string(s.Self.Voter), Ok: ok, Match: match, Hint: hint, Round: a.Round, Ailing: s.ailing, WallMs: s.Wall(now), Leaving: s.Leaving, Chunks: true, RingBytes: uint64(s.capacity), Full: s.crowded()}}}
	}
	if a.Term < s.term {
		f := reply(false, 0, 0)
		f.GetAppendReply().Round = 0
		s.send(a.LeaderAddr, f)
		return
	}
	if s.role == Blank {
		f := reply(false, 0, 0)
		f.GetAppendReply().Term, f.GetAppendReply().Round = a.Term, 0
		s.send(a.LeaderAddr, f)
		return
	}
	if a.Term > s.term {
		s.toTerm(a.Term, now)
	} else if s.role != Follower {
		s.becomeFollower(now)
	}
	s.leader, s.leaderAddr, s.heardLead, s.stands, s.released = a.Leader, a.LeaderAddr, now, 0, a.Release
	s.setElect(now)
	if a.PrevIndex > s.last() {
		s.sendSynced(a.LeaderAddr, reply(false, 0, s.last()))
		return
	}
	if a.PrevIndex >= s.base() {
		if t, _ := s.termAt(a.PrevIndex); t != a.PrevTerm {
			s.sendSynced(a.LeaderAddr, reply(false, 0, min(a.PrevIndex-1, max(s.commit, s.base()))))
			return
		}
	}
	match := a.PrevIndex
	for _, e := range a.Entries {
		if e.Index != match+1 || e.Term > a.Term {
			s.note("Refused entries from %s: %d of term %d stands after %d.", a.Leader, e.Index, e.Term, match)
			return
		}
		if e.Index <= s.base() {
			match = e.Index
			continue
		}
		if t, ok := s.termAt(e.Index); ok {
			if t == e.Term {
				match = e.Index
				continue
			}
			if e.Index <= s.commit {
				s.note("Refused entries from %s: %d of term %d is committed in term %d.", a.Leader, e.Index, e.Term, t)
				return
			}
			s.log = append([]*wire.Entry(nil), s.log[:e.Index-s.base()-1]...)
			s.record(&wire.Record{Body: &wire.Record_Cut{Cut: e.Index}})
			s.synced = min(s.synced, e.Index-1)
			s.clip(e.Index - 1)
			s.known = nil
			s.measure()
		}
		if !s.takes(e) {
			break
		}
		s.push(e)
		match = e.Index
	}
	if c := min(a.Commit, match); c > s.commit {
		s.commit = c
	}
	s.sendSynced(a.LeaderAddr, reply(true, match, 0))
	if s.seqDone >= s.hardStateAt && (s.seqDone < s.seq || len(s.recs) > 0) {
		s.send(a.LeaderAddr, reply(true, 0, 0))
	}
}

func (s *State) fits(p *wire.Snapshot) error {
	switch {
	case p.LastIndex == 0 || p.LastTerm == 0 || p.LastTerm > p.Term:
		return fmt.Errorf("index %d of term %d in term %d", p.LastIndex, p.LastTerm, p.Term)
	case len(Voters(p.Roster)) == 0:
		return fmt.Errorf("it names no voter")
	case p.LastIndex <= s.commit:
		return nil
	case !s.takesSnapshot(sizeOf(p)):
		return fmt.Errorf("the ring has no room for it")
	case s.Reads == nil:
		return nil
	}
	return s.Reads(p.Image)
}

func (s *State) InstallSnapshot(p *wire.Snapshot, now ident.Moment) {
	if p.Target != string(s.Self.Voter) || p.Term < s.term {
		return
	}
	if err := s.fits(p); err != nil {
		s.note("Refused a snapshot from %s: %v.", p.Leader, err)
		return
	}
	if p.Term > s.term {
		s.toTerm(p.Term, now)
	}
	s.leader, s.leaderAddr, s.heardLead, s.stands = p.Leader, p.LeaderAddr, now, 0
	s.setElect(now)
	if p.LastIndex > s.commit {
		s.adopt(p)
	}
	s.enter(Follower)
	s.sendSynced(p.LeaderAddr, &wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: &wire.SnapshotReply{Term: s.term, Voter: string(s.Self.Voter), Match: max(p.LastIndex, s.commit), Round: p.Round}}})
}

func (s *State) AppendReply(a *wire.AppendReply, now ident.Moment) {
	if s.role == Blank {
		return
	}
	if a.Term > s.term {
		s.toTerm(a.Term, now)
		return
	}
	l := s.progress[a.Voter]
	if s.role != Leader || a.Term != s.term || l == nil {
		return
	}
	l.heard, l.ailing, l.leaving = now, a.Ailing, a.Leaving
	if a.WallMs != 0 && a.Round >= l.wallRound {
		l.wall, l.wallAt, l.wallRound = a.WallMs, now, a.Round
	}
	l.chunks, l.full, l.ringBytes = a.Chunks, a.Full, int64(a.RingBytes)
	s.acked(l, a.Round)
	if a.Ok {
		l.landed(a.Match)
		l.matched(a.Match)
		l.next = max(l.next, l.match+1)
		s.advance()
		return
	}
	if a.Hint < l.match {
		l.ailing = true
		if l.reset != s.roundNow {
			l.reset, l.resetTo = s.roundNow, l.match
			l.ground()
			l.next = l.match + 1
		}
		return
	}
	if l.snap != nil {
		s.lost(a.Voter, l, a.Round)
		return
	}
	if l.reset == s.roundNow && a.Hint >= l.resetTo {
		return
	}
	l.reset, l.resetTo = s.roundNow, a.Hint
	l.ground()
	l.next = min(l.next, a.Hint+1)
	l.next = max(l.next, l.match+1)
	if a.Hint < s.base() {
		l.next = s.base()
	}
	s.feed(a.Voter, l, now, false)
}

func (s *State) SnapshotReply(a *wire.SnapshotReply, now ident.Moment) {
	if s.role == Blank {
		return
	}
	if a.Term > s.term {
		s.toTerm(a.Term, now)
		return
	}
	l := s.progress[a.Voter]
	if s.role != Leader || a.Term != s.term || l == nil {
		return
	}
	l.heard, l.snapAt, l.snap = now, 0, nil
	s.release()
	l.ground()
	l.matched(a.Match)
	l.next = l.match + 1
	s.acked(l, a.Round)
	s.advance()
}

func (s *State) acked(l *progress, n uint64) {
	if n <= s.roundNow {
		l.round = max(l.round, n)
	}
	s.freshen()
}

func (s *State) freshen() {
	got := []uint64{}
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			got = append(got, s.roundNow)
		} else if l := s.progress[v.Id]; l != nil {
			got = append(got, l.round)
		} else {
			got = append(got, 0)
		}
	}
	if len(got) == 0 {
		return
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	n := got[len(got)/2]
	for s.rounds.Len() > 0 && s.rounds.Front().n <= n {
		s.asOf = max(s.asOf, s.rounds.PopFront().at)
	}
}

func (s *State) advance() {
	got := []uint64{}
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			got = append(got, s.synced)
		} else if l := s.progress[v.Id]; l != nil {
			got = append(got, l.match)
		} else {
			got = append(got, 0)
		}
	}
	if len(got) == 0 {
		return
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	n := got[len(got)/2]
	if t, ok := s.termAt(n); ok && n > s.commit && t == s.term {
		s.commit = n
	}
}

func (s *State) Synced(seq uint64, now ident.Moment) {
	s.seqDone = max(s.seqDone, seq)
	for s.marks.Len() > 0 && s.marks.Front()[0] <= seq {
		s.synced = max(s.synced, min(s.marks.PopFront()[1], s.last()))
	}
	switch {
	case s.role == Leader:
		s.freshen()
		s.advance()
	case s.role == Candidate && !s.pre && s.votes != nil:
		s.tally(now)
	}
}

// Compact puts a snapshot in the place of what is applied, and keeps a bounded tail of entries in memory for those that lag.
func (s *State) Compact(force bool) {
	if s.Image == nil || s.snapshot == nil || s.applied < s.snapshot.LastIndex {
		return
	}
	if !force && (s.saving() || s.ailing || !s.ripe()) || force && s.applied == s.snapshot.LastIndex {
		return
	}
	cut := s.applied
	t, _ := s.termAt(cut)
	roster, stamp := s.rosterBy(cut), s.snapshot.Stamp
	if e := s.entry(cut); e != nil {
		stamp = e.Stamp
	}
	s.snapshot = &wire.Snapshot{LastIndex: cut, LastTerm: t, Roster: roster, Image: s.Image(), Stamp: stamp}
	s.known = nil
	s.saveSnapshot()
	s.trim()
}

func (s *State) trim() {
	from, size := s.snapshot.LastIndex, int64(0)
	for from > s.floor && s.snapshot.LastIndex-from < KeepEntries {
		size += sizeOf(s.entry(from))
		if size > KeepBytes {
			break
		}
		from--
	}
	if from > s.floor {
		t, _ := s.termAt(from)
		s.log = append([]*wire.Entry(nil), s.log[from-s.floor:]...)
		s.floor, s.below = from, t
	}
}

func (s *State) Flush(now ident.Moment) *Out {
	if s.role == Leader {
		if len(Voters(s.Roster())) == 1 {
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
