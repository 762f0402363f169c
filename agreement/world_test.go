package agreement

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"reflect"
	"sort"
	sync_ "sync"
	"time"
	"unsafe"

	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

// A move is one step of the world; what its numbers pick is taken modulo what there is.
type move struct {
	Kind kind
	A, B int
}

type kind int

const (
	deliver kind = iota
	again
	pump
	lose
	tick
	timeout
	sync
	kill
	start
	wipe
	cutOff
	heal
	propose
	compact
	resign
	refuse
	spare
	leave
	regroup
	wallStep
	calm
	elect
	talk
	kinds
)

func (k kind) String() string {
	return [...]string{"deliver", "again", "pump", "lose", "tick", "timeout", "sync", "kill", "start", "wipe", "cutOff", "heal", "propose", "compact", "resign", "refuse", "spare", "leave", "regroup", "wallStep", "calm", "elect", "talk"}[k]
}

func (m move) String() string { return fmt.Sprintf("{%s, %d, %d}", m.Kind, m.A, m.B) }

var often = map[kind]int{deliver: 30, again: 10, pump: 14, lose: 3, tick: 12, timeout: 6, sync: 14, kill: 5, start: 3, wipe: 1, cutOff: 3, heal: 3, propose: 8, compact: 4, resign: 1, refuse: 1, spare: 1, leave: 1, regroup: 3, wallStep: 1, calm: 3, elect: 10, talk: 12}

var dealt = func() (out []kind) {
	for k := kind(0); k < kinds; k++ {
		for i := 0; i < often[k]; i++ {
			out = append(out, k)
		}
	}
	return
}()

// weak names the guards that a world takes out.
type weak struct {
	voteUnsynced, askUnsynced, ackUnsynced bool
	anyLog, olderCounts                    bool
	manyRosters, rosterUnfirm              bool
	noContact                              bool
	snapshotTerm, snapshotLastTerm         bool
	appendTerm, anyPrev, ackTerm           bool
	votedLost, termLost                    bool
	anyTarget, sameId, halfVotes           bool
	commitAhead, snapshotOverLonger        bool
	blind                                  bool
}

type fold struct{ index, sum uint64 }

func (f fold) bytes() []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, f.index), f.sum)
}

func (f fold) add(e *wire.Entry, sum uint64) fold {
	return fold{e.Index, ident.Hash(fmt.Sprint(f.sum, e.Index, e.Term, sum))}
}

type disk struct {
	got     Recovered
	pending []*Persist
	refuse  bool
	err     error
}

func (d *disk) put(r *wire.Record) {
	d.got.Entries = append([]*wire.Entry(nil), d.got.Entries...)
	if err := d.got.Replay(r); err != nil {
		d.err = err
	}
}

type seat struct {
	at, age, life int
	s             *State
	disk          disk
	local         ident.Moment
	wall          int64
	fold          fold
	was           []*wire.Entry
	top           uint64
	led           uint64
	steps         map[ident.Moment]int
}

func addrOf(i int) string  { return fmt.Sprint("a", i) }
func (m *seat) id() string { return fmt.Sprintf("v%d/%d", m.at, m.age) }

type letter struct {
	from, to int
	frame    *wire.Frame
	sum      uint64
}

type done struct {
	term, by, sum uint64
	roster        *wire.Roster
}

type spot struct{ index, term uint64 }

type ballot struct {
	voter string
	term  uint64
}

type world struct {
	size       int
	founded    bool
	weak       weak
	still      bool
	seats      []*seat
	bag        []letter
	cut        map[[2]int]bool
	n, offered int
	batch      int
	past       []letter
	bad        string
	oracle     []done
	known      map[spot][2]uint64
	leaders    map[uint64]string
	elected    map[uint64]int
	votes      map[ballot]int
	wiped      map[string]bool
	sums       map[any]uint64
	count      map[string]int
}

type constant struct{}

func (constant) Int63() int64 { return 0 }
func (constant) Seed(int64)   {}

// newWorld gives n members that found (or have founded) a fleet, and two blank ones behind them.
func newWorld(n int, founded bool, batch int, w weak) *world {
	out := &world{size: n, founded: founded, batch: batch, weak: w, cut: map[[2]int]bool{}, known: map[spot][2]uint64{}, leaders: map[uint64]string{}, elected: map[uint64]int{}, votes: map[ballot]int{}, wiped: map[string]bool{}, sums: map[any]uint64{}, count: map[string]int{}}
	r := &wire.Roster{}
	for i := 0; i < n+2; i++ {
		out.seats = append(out.seats, &seat{at: i, local: ident.Moment(time.Hour) + ident.Moment(i)*ident.Moment(time.Minute), steps: map[ident.Moment]int{}})
		if i < n {
			r.Voters = append(r.Voters, &wire.Voter{Id: out.seats[i].id(), Addr: addrOf(i), Member: fmt.Sprint("m", i)})
		}
	}
	for i := 0; i < n; i++ {
		if founded {
			out.seats[i].disk.got = Recovered{Term: 1, Snapshot: &wire.Snapshot{LastIndex: 1, LastTerm: 1, Roster: r}}
		}
		out.boot(out.seats[i], int64(i))
	}
	return out
}

func (w *world) boot(m *seat, seed int64) {
	var all []ident.Addr
	for i := 0; i < w.size; i++ {
		all = append(all, ident.Addr(addrOf(i)))
	}
	var got *Recovered
	if g := m.disk.got; g.Snapshot != nil || g.Term != 0 {
		got = &Recovered{Term: g.Term, Voted: g.Voted, Snapshot: g.Snapshot, Entries: append([]*wire.Entry(nil), g.Entries...)}
		if w.weak.votedLost {
			got.Voted = ""
		}
		if w.weak.termLost {
			got.Term, got.Voted = 1, ""
		}
	}
	m.local = m.local.Add(time.Millisecond)
	m.steps[m.local] = w.n
	m.life++
	m.disk.pending = nil
	m.was, m.led, m.fold = nil, 0, fold{}
	m.s = New(Self{Voter: ident.Voter(m.id()), Member: ident.Member(fmt.Sprint("m", m.at)), Addr: ident.Addr(addrOf(m.at))}, all, got, seed, m.local)
	m.s.Want = w.size
	if w.still {
		m.s.rand = rand.New(constant{})
	}
	w.bind(m)
	if got != nil && got.Snapshot != nil {
		w.load(m, got.Snapshot)
	}
	w.settle(m)
}

func (w *world) bind(m *seat) {
	m.s.Image = func() []byte { return m.fold.bytes() }
	m.s.Wall = func(now ident.Moment) int64 { return int64(now)/1e6 + m.wall }
}

func (w *world) fail(m *seat, f string, a ...any) {
	if w.bad == "" {
		w.bad = fmt.Sprintf("step %d, %s: ", w.n, m.id()) + fmt.Sprintf(f, a...)
	}
}

func (w *world) sum(p proto.Message) uint64 {
	if h, ok := w.sums[p]; ok {
		return h
	}
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	h := fnv.New64a()
	h.Write(b)
	w.sums[p] = h.Sum64()
	return h.Sum64()
}

func (w *world) load(m *seat, p *wire.Snapshot) {
	m.fold = fold{index: p.LastIndex}
	if len(p.Image) == 16 {
		m.fold = fold{binary.BigEndian.Uint64(p.Image), binary.BigEndian.Uint64(p.Image[8:])}
	}
	if m.fold.index != p.LastIndex {
		w.fail(m, "the image of the snapshot at %d is of %d", p.LastIndex, m.fold.index)
	}
}

func (w *world) settle(m *seat) {
	if m.s == nil {
		return
	}
	for k := 0; k < 2; k++ {
		if w.weak.noContact && m.s.role == Leader {
			m.s.asOf = m.local
		}
		o := m.s.Flush(m.local)
		w.early(m, o)
		if o.Loaded != nil {
			w.load(m, o.Loaded)
		}
		for _, e := range o.Applied {
			if e.Index != m.fold.index+1 {
				w.fail(m, "entry %d is applied after %d", e.Index, m.fold.index)
			}
			m.fold = m.fold.add(e, w.sum(e))
		}
		if o.Persist != nil {
			m.disk.pending = append(m.disk.pending, o.Persist)
		}
		w.look(m)
		for _, x := range o.Sends {
			w.post(m, x)
		}
	}
}

// early lets frames out that the shipped code holds until the disk has them.
func (w *world) early(m *seat, o *Out) {
	for i := m.s.wait.Len(); i > 0; i-- {
		h := m.s.wait.PopFront()
		_, ask := h.send.Frame.Body.(*wire.Frame_Vote)
		_, vote := h.send.Frame.Body.(*wire.Frame_VoteReply)
		_, ack := h.send.Frame.Body.(*wire.Frame_AppendReply)
		if ask && w.weak.askUnsynced || vote && w.weak.voteUnsynced || ack && w.weak.ackUnsynced {
			o.Sends = append(o.Sends, h.send)
			continue
		}
		m.s.wait.PushBack(h)
	}
}

func (w *world) post(m *seat, x wire.Send) {
	to := -1
	for _, o := range w.seats {
		if addrOf(o.at) == x.To {
			to = o.at
		}
	}
	cast := func(voter string, term uint64, for_ int) {
		b := ballot{voter, term}
		if was, ok := w.votes[b]; ok && was != for_ {
			w.fail(m, "votes in term %d for %s after %s", term, addrOf(for_), addrOf(was))
		}
		w.votes[b] = for_
	}
	switch b := x.Frame.Body.(type) {
	case *wire.Frame_Vote:
		if !b.Vote.Pre {
			cast(b.Vote.Candidate, b.Vote.Term, m.at)
		}
	case *wire.Frame_VoteReply:
		if v := b.VoteReply; v.Granted && !v.Pre {
			cast(v.Voter, v.Asked, to)
		}
	case *wire.Frame_AppendReply:
		if a := b.AppendReply; a.Ok && m.disk.got.Term <= a.Term && w.diskLast(m) < a.Match {
			w.fail(m, "says it has %d, its disk has %d", a.Match, w.diskLast(m))
		}
	}
	if to < 0 {
		return
	}
	if w.still && x.Frame.GetFounding() != nil {
		return
	}
	for _, f := range w.split(x.Frame) {
		l := letter{m.at, to, f, 0}
		if w.still {
			l.sum = w.sum(f)
		}
		w.bag = append(w.bag, l)
		if len(w.bag) > 96 {
			w.bag = append([]letter(nil), w.bag[1:]...)
		}
		if a := f.GetAppendReply(); !w.still && (!w.weak.ackTerm || a.GetOk() && a.GetMatch() > 1) {
			w.past = append(w.past, l)
			if len(w.past) > 256 {
				w.past = append([]letter(nil), w.past[128:]...)
			}
		}
	}
}

// split sends entries in smaller batches than the shipped ones, as full batches of a long log would be.
func (w *world) split(f *wire.Frame) []*wire.Frame {
	a := f.GetAppend()
	if a == nil || w.batch == 0 || len(a.Entries) <= w.batch {
		return []*wire.Frame{f}
	}
	var out []*wire.Frame
	prev, term := a.PrevIndex, a.PrevTerm
	for at := 0; at < len(a.Entries); at += w.batch {
		part := a.Entries[at:min(at+w.batch, len(a.Entries))]
		out = append(out, &wire.Frame{Body: &wire.Frame_Append{Append: &wire.Append{Term: a.Term, Leader: a.Leader, LeaderAddr: a.LeaderAddr, PrevIndex: prev, PrevTerm: term, Entries: part, Commit: a.Commit, Round: a.Round, Target: a.Target}}})
		prev, term = part[len(part)-1].Index, part[len(part)-1].Term
	}
	return out
}

func (w *world) diskLast(m *seat) uint64 {
	g := m.disk.got
	if n := len(g.Entries); n > 0 {
		return g.Entries[n-1].Index
	}
	return g.Snapshot.GetLastIndex()
}

func (w *world) holds(m *seat, i, term uint64) bool {
	g := m.disk.got
	if g.Snapshot == nil {
		return false
	}
	if i <= g.Snapshot.LastIndex {
		return true
	}
	k := int(i - g.Snapshot.LastIndex - 1)
	return k < len(g.Entries) && g.Entries[k].Index == i && g.Entries[k].Term == term
}

func voters(r *wire.Roster) map[string]bool {
	out := map[string]bool{}
	for _, v := range Voters(r) {
		out[v.Id] = true
	}
	return out
}

func apart(a, b *wire.Roster) int {
	x, y := voters(a), voters(b)
	n := 0
	for id := range x {
		if !y[id] {
			n++
		}
	}
	for id := range y {
		if !x[id] {
			n++
		}
	}
	return n
}

func (w *world) look(m *seat) {
	s := m.s
	if s.snapshot != nil {
		w.lookSnapshot(m)
	}
	w.lookLog(m)
	if w.bad != "" {
		return
	}
	w.lookCommit(m)
	if s.role == Leader && w.bad == "" {
		w.lookLeader(m)
	}
	w.lookKept(m)
}

func (w *world) lookSnapshot(m *seat) {
	p := m.s.snapshot
	if m.disk.err != nil {
		w.fail(m, "its disk does not read: %v", m.disk.err)
	}
	if len(w.oracle) == 0 {
		w.oracle = append(w.oracle, done{term: 1, by: 1, roster: p.Roster})
	}
	if int(p.LastIndex) > len(w.oracle) {
		w.fail(m, "a snapshot at %d, committed are %d", p.LastIndex, len(w.oracle))
		return
	}
	o := w.oracle[p.LastIndex-1]
	if o.term != p.LastTerm {
		w.fail(m, "a snapshot at %d of term %d, committed was one of term %d", p.LastIndex, p.LastTerm, o.term)
	}
	sum := uint64(0)
	if len(p.Image) == 16 {
		sum = binary.BigEndian.Uint64(p.Image[8:])
	}
	if sum != o.sum {
		w.fail(m, "the image at %d is not what was committed up to there", p.LastIndex)
	}
	if p.LastIndex > 1 && w.sum(p.Roster) != w.sum(o.roster) {
		w.fail(m, "the roster of the snapshot at %d is not the committed one", p.LastIndex)
	}
}

func (w *world) lookLog(m *seat) {
	s := m.s
	for i, e := range s.log {
		if i < len(m.was) && m.was[i] == e && i > 0 && m.was[i-1] == s.log[i-1] {
			continue
		}
		if e.Index != s.base()+uint64(i)+1 {
			w.fail(m, "entry %d stands at %d", e.Index, s.base()+uint64(i)+1)
		}
		before, _ := s.termAt(e.Index - 1)
		if e.Term < before || e.Term > s.term {
			w.fail(m, "entry %d of term %d after one of term %d, in term %d", e.Index, e.Term, before, s.term)
		}
		at, now := spot{e.Index, e.Term}, [2]uint64{w.sum(e), before}
		if was, ok := w.known[at]; ok && was != now {
			w.fail(m, "two entries %d of term %d, or two before it", e.Index, e.Term)
		}
		w.known[at] = now
	}
	m.was = s.log
}

func (w *world) lookCommit(m *seat) {
	s := m.s
	if s.commit > s.last() || s.applied > s.commit {
		w.fail(m, "last %d, commit %d, applied %d", s.last(), s.commit, s.applied)
		return
	}
	for i := s.base() + 1; i <= s.commit; i++ {
		e := s.entry(i)
		if i > uint64(len(w.oracle)) {
			if i == 2 && !w.founded && s.snapshot.LastIndex == 1 {
				w.oracle[0].roster = s.snapshot.Roster
			}
			o := w.oracle[i-2]
			f := fold{i - 1, o.sum}.add(e, w.sum(e))
			r := o.roster
			if n := e.Change.GetRoster(); n != nil {
				if apart(r, n) > 1 && !w.weak.blind {
					w.fail(m, "the committed roster at %d changes more than one voter", i)
				}
				r = n
				w.count["rosters"]++
			}
			w.oracle = append(w.oracle, done{e.Term, s.term, f.sum, r})
			w.count["committed"]++
			if s.role == Leader && w.bad == "" {
				n := 0
				for id := range voters(s.Roster()) {
					if w.wiped[id] {
						n++
						continue
					}
					for _, o := range w.seats {
						if o.id() == id && w.holds(o, i, e.Term) {
							n++
						}
					}
				}
				if n < len(Voters(s.Roster()))/2+1 {
					w.fail(m, "commits %d, which %d of %d voters have on disk", i, n, len(Voters(s.Roster())))
				}
			}
			continue
		}
		if o := w.oracle[i-1]; o.term != e.Term {
			w.fail(m, "commits %d of term %d, committed was one of term %d", i, e.Term, o.term)
		}
	}
	if f := m.fold.index; f > 0 && f <= uint64(len(w.oracle)) && w.oracle[f-1].sum != m.fold.sum {
		w.fail(m, "applied up to %d is not what was committed", f)
	}
}

func (w *world) lookLeader(m *seat) {
	s := m.s
	name := fmt.Sprint(m.id(), " life ", m.life)
	if was, ok := w.leaders[s.term]; ok && was != name {
		w.fail(m, "two leaders of term %d: %s and %s", s.term, was, name)
	}
	if m.led != s.term {
		m.led = s.term
		w.leaders[s.term], w.elected[s.term] = name, w.n
		w.count["leaders"]++
		for i := len(w.oracle); i > 0; i-- {
			o := w.oracle[i-1]
			if o.by >= s.term {
				continue
			}
			if t, ok := s.termAt(uint64(i)); uint64(i) > s.base() && (!ok || t != o.term) {
				w.fail(m, "leads term %d without entry %d of term %d, committed in term %d", s.term, i, o.term, o.by)
			}
			break
		}
	}
	open := 0
	own := false
	for i := s.commit + 1; i <= s.last(); i++ {
		if e := s.entry(i); e.Change.GetRoster() != nil {
			open++
			own = own || e.Term == s.term
		}
	}
	if own && (open > 1 || s.commit < s.first) && !w.weak.blind {
		w.fail(m, "%d rosters open, first %d, commit %d", open, s.first, s.commit)
	}
	if at, ok := s.AsOf(); ok {
		step, seen := m.steps[at]
		if !seen {
			w.fail(m, "reads as of a moment it never saw")
		}
		for term, e := range w.elected {
			if term > s.term && step > e {
				w.fail(m, "of term %d reads as of step %d, term %d has a leader since step %d", s.term, step, term, e)
			}
		}
		w.count["reads"]++
	}
}

// lookKept sees that a committed entry that stood on a disk stays, in memory and on the disk.
func (w *world) lookKept(m *seat) {
	if w.bad != "" || m.disk.got.Snapshot == nil {
		return
	}
	if m.top > 0 && !w.holds(m, m.top, w.oracle[m.top-1].term) {
		w.fail(m, "its disk lost the committed entry %d", m.top)
		return
	}
	if t, ok := m.s.termAt(m.top); m.top > m.s.base() && (!ok || t != w.oracle[m.top-1].term) {
		w.fail(m, "dropped the committed entry %d", m.top)
		return
	}
	for i := min(uint64(len(w.oracle)), w.diskLast(m)); i > m.top; i-- {
		if w.holds(m, i, w.oracle[i-1].term) {
			m.top = i
			return
		}
	}
}

func (w *world) blocked(from, to int) bool { return w.cut[[2]int{from, to}] }

func (w *world) pass(m *seat, by time.Duration) {
	if w.still && by == 0 {
		return
	}
	m.local = m.local.Add(by + time.Microsecond)
	m.steps[m.local] = w.n
}

func (w *world) hand(l letter) {
	m := w.seats[l.to]
	if m.s == nil || w.blocked(l.from, l.to) {
		return
	}
	w.pass(m, 0)
	s, now, f := m.s, m.local, w.bend(m, l.frame)
	switch b := f.Body.(type) {
	case *wire.Frame_Vote:
		s.Vote(b.Vote, now)
	case *wire.Frame_VoteReply:
		s.VoteReply(b.VoteReply, now)
	case *wire.Frame_Append:
		s.Append(b.Append, now)
		if w.weak.commitAhead && s.role == Follower && b.Append.Term == s.term {
			s.commit = max(s.commit, min(b.Append.Commit, s.last()))
		}
	case *wire.Frame_AppendReply:
		s.AppendReply(b.AppendReply, now)
		w.older(s)
	case *wire.Frame_Snapshot:
		if p := b.Snapshot; w.weak.snapshotOverLonger && p.Term >= s.term && s.role == Follower && p.LastIndex > s.commit && p.LastIndex < s.last() {
			s.log = append([]*wire.Entry(nil), s.log[:p.LastIndex-s.base()]...)
			s.clip(p.LastIndex)
		}
		s.InstallSnapshot(b.Snapshot, now)
	case *wire.Frame_SnapshotReply:
		s.SnapshotReply(b.SnapshotReply, now)
	case *wire.Frame_SnapshotChunk:
		s.SnapshotChunk(b.SnapshotChunk, now)
	case *wire.Frame_SnapshotChunkReply:
		s.SnapshotChunkReply(b.SnapshotChunkReply, now)
	case *wire.Frame_Handoff:
		s.Handoff(b.Handoff, now)
	case *wire.Frame_Founding:
		s.Founding(b.Founding, now)
	}
	w.settle(m)
}

// bend changes a frame so that the check of the receiver that the world takes out finds nothing.
func (w *world) bend(m *seat, f *wire.Frame) *wire.Frame {
	if w.weak == (weak{}) {
		return f
	}
	f = proto.Clone(f).(*wire.Frame)
	s := m.s
	switch b := f.Body.(type) {
	case *wire.Frame_Vote:
		if w.weak.anyLog {
			b.Vote.LastTerm, b.Vote.LastIndex = 1<<40, 1<<40
		}
		if w.weak.anyTarget {
			b.Vote.Target = m.id()
		}
	case *wire.Frame_VoteReply:
		if w.weak.halfVotes && b.VoteReply.Granted {
			for _, v := range Voters(s.Roster())[:len(Voters(s.Roster()))/2] {
				if s.votes != nil {
					s.votes[v.Id] = true
				}
			}
		}
	case *wire.Frame_Append:
		if w.weak.appendTerm && b.Append.Term < s.term && s.role != Blank {
			b.Append.Term = s.term
		}
		if t, ok := s.termAt(b.Append.PrevIndex); ok && w.weak.anyPrev {
			b.Append.PrevTerm = t
		}
	case *wire.Frame_AppendReply:
		if w.weak.ackTerm && b.AppendReply.Term < s.term {
			b.AppendReply.Term = s.term
		}
	case *wire.Frame_Snapshot:
		if w.weak.snapshotTerm && b.Snapshot.Term < s.term && s.role != Blank {
			b.Snapshot.Term = s.term
		}
		if w.weak.snapshotLastTerm && b.Snapshot.LastIndex > 1 {
			b.Snapshot.LastTerm = 1
		}
	}
	return f
}

func (w *world) older(s *State) {
	if !w.weak.olderCounts || s.role != Leader {
		return
	}
	var got []uint64
	for _, v := range Voters(s.Roster()) {
		if v.Id == string(s.Self.Voter) {
			got = append(got, s.synced)
		} else if l := s.progress[v.Id]; l != nil {
			got = append(got, l.match)
		}
	}
	sort.Slice(got, func(i, j int) bool { return got[i] > got[j] })
	if k := len(Voters(s.Roster())) / 2; k < len(got) {
		s.commit = max(s.commit, got[k])
	}
}

func (w *world) flushed(m *seat, batches int) {
	for ; batches > 0 && len(m.disk.pending) > 0 && !m.disk.refuse; batches-- {
		p := m.disk.pending[0]
		m.disk.pending = append([]*Persist(nil), m.disk.pending[1:]...)
		for _, r := range p.Records {
			m.disk.put(r)
		}
		w.pass(m, 0)
		m.s.Synced(p.Seq, m.local)
		w.settle(m)
	}
}

func (w *world) fell(m *seat, keep int) {
	for _, p := range m.disk.pending {
		for _, r := range p.Records {
			if keep == 0 {
				break
			}
			m.disk.put(r)
			keep--
		}
	}
	m.disk.pending = nil
	m.s = nil
}

func unsynced(m *seat) (n int) {
	for _, p := range m.disk.pending {
		n += len(p.Records)
	}
	return
}

func (w *world) leaderSeat(a int) *seat {
	var out []*seat
	for _, m := range w.seats {
		if m.s != nil && m.s.role == Leader {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out[a%len(out)]
}

// spareable says whether a majority of the committed voters keeps its disk when this one is lost.
func (w *world) spareable(m *seat) bool {
	if len(w.oracle) == 0 {
		return false
	}
	all := voters(w.oracle[len(w.oracle)-1].roster)
	n := 0
	for id := range all {
		if !w.wiped[id] && id != m.id() {
			n++
		}
	}
	return !all[m.id()] || n >= len(all)/2+1
}

var spans = []time.Duration{0, time.Millisecond, 65 * time.Millisecond, 210 * time.Millisecond, 1100 * time.Millisecond, 2100 * time.Millisecond, 11 * time.Second}

func (w *world) take(mv move) {
	if w.bad != "" {
		return
	}
	w.n++
	a, b := mv.A, mv.B
	m := w.seats[a%len(w.seats)]
	up := m.s != nil
	switch mv.Kind {
	case deliver:
		if len(w.bag) > 0 {
			k := a % len(w.bag)
			l := w.bag[k]
			w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
			w.hand(l)
		}
	case again:
		list := w.past
		if b%2 == 1 {
			list = w.outdated(b%4 == 3)
		}
		if len(list) > 0 {
			w.hand(list[(a+b/2*256)%len(list)])
		}
	case pump:
		var rest, mine []letter
		for _, l := range w.bag {
			if l.to == m.at {
				mine = append(mine, l)
			} else {
				rest = append(rest, l)
			}
		}
		w.bag = rest
		for _, l := range mine {
			w.hand(l)
		}
	case lose:
		if b%4 == 0 {
			w.bag = nil
		} else if len(w.bag) > 0 {
			k := a % len(w.bag)
			w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
		}
	case tick:
		if up {
			w.pass(m, spans[b%len(spans)])
			m.s.Tick(m.local)
			w.settle(m)
		}
	case timeout:
		if up {
			if m.s.role == Leader {
				w.pass(m, BeatEvery)
			} else {
				w.pass(m, max(0, m.s.electAt.Sub(m.local))+time.Microsecond)
			}
			m.s.Tick(m.local)
			w.settle(m)
		}
	case sync:
		if up {
			w.flushed(m, 1+b%3)
		}
	case kill:
		if up {
			w.fell(m, b/2%(unsynced(m)+1))
			w.count["kills"]++
			if b%2 == 0 {
				w.boot(m, int64(b))
			}
		}
	case start:
		if !up && m.life > 0 {
			w.boot(m, int64(b))
		}
	case wipe:
		if m.life > 0 && w.spareable(m) {
			w.wipeOut(m)
			w.boot(m, int64(b))
			w.count["wipes"]++
		}
	case cutOff:
		o := b / 4 % len(w.seats)
		for k := range w.seats {
			if b%4 == 3 && k != o {
				continue
			}
			if b%4 != 0 {
				w.cut[[2]int{m.at, k}] = true
			}
			if b%4 != 1 {
				w.cut[[2]int{k, m.at}] = true
			}
		}
	case heal:
		w.cut = map[[2]int]bool{}
	case propose:
		if l := w.leaderSeat(a); l != nil {
			w.offer(l)
		}
	case compact:
		if up && m.s.role != Blank {
			m.s.Compact(true)
			w.count["compactions"]++
			w.settle(m)
		}
	case resign:
		if l := w.leaderSeat(a); l != nil {
			l.s.Resign(l.local)
			w.settle(l)
		}
	case refuse:
		if up {
			m.disk.refuse = !m.disk.refuse
			w.pass(m, 0)
			m.s.Disk(m.disk.refuse, m.local)
			w.settle(m)
		}
	case spare:
		if m.life == 0 {
			w.boot(m, int64(b))
		}
	case leave:
		if up {
			m.s.Leaving = !m.s.Leaving
		}
	case regroup:
		if l := w.leaderSeat(a); l != nil {
			w.pass(l, 0)
			w.regroup(l.s, b)
			w.settle(l)
		}
	case wallStep:
		m.wall += int64(b-128) * 1000
	case calm:
		w.calm(5 + b%60)
	case elect:
		if up {
			w.elect(m, b)
		}
	case talk:
		w.talk(m, w.seats[b%len(w.seats)], 1+b/16%8)
	}
}

// talk hands on the oldest letters between two, and nothing to others; their disks are quick.
func (w *world) talk(m, o *seat, letters int) {
	for ; letters > 0; letters-- {
		for k, l := range w.bag {
			if l.frame.GetFounding() == nil && (l.from == m.at && l.to == o.at || l.from == o.at && l.to == m.at) {
				w.bag = append(append([]letter(nil), w.bag[:k]...), w.bag[k+1:]...)
				w.hand(l)
				if to := w.seats[l.to]; to.s != nil {
					w.flushed(to, 99)
				}
				break
			}
		}
	}
}

// outdated gives the letters of the past whose term is behind their receiver's; acknowledgements to leaders alone if so asked.
func (w *world) outdated(acks bool) (out []letter) {
	for _, l := range w.past {
		term := uint64(1 << 62)
		switch b := l.frame.Body.(type) {
		case *wire.Frame_Append:
			term = b.Append.Term
		case *wire.Frame_AppendReply:
			term = b.AppendReply.Term
		case *wire.Frame_Snapshot:
			term = b.Snapshot.Term
		case *wire.Frame_SnapshotReply:
			term = b.SnapshotReply.Term
		case *wire.Frame_VoteReply:
			term = b.VoteReply.Term
		}
		a := l.frame.GetAppendReply()
		if s := w.seats[l.to].s; s != nil && term < s.term && (!acks || s.role == Leader && a.GetOk() && a.GetMatch() > s.commit) {
			out = append(out, l)
		}
	}
	return
}

// elect lets one stand before some others; nothing but votes goes between them.
func (w *world) elect(m *seat, among int) {
	in := func(i int) bool { return i == m.at || among>>(i%8)&1 == 1 }
	for _, o := range w.seats {
		if o.s != nil && in(o.at) && o.s.role != Leader {
			w.pass(o, ElectLeast+time.Millisecond)
		}
	}
	if m.s.role == Leader {
		w.pass(m, QuorumLost+time.Millisecond)
		m.s.Tick(m.local)
		w.settle(m)
	}
	w.pass(m, max(0, m.s.electAt.Sub(m.local))+time.Microsecond)
	m.s.Tick(m.local)
	w.settle(m)
	for round := 0; round < 5; round++ {
		list := w.bag
		w.bag = nil
		for _, l := range list {
			if (l.frame.GetVote() != nil || l.frame.GetVoteReply() != nil) && in(l.from) && in(l.to) {
				w.hand(l)
			} else {
				w.bag = append(w.bag, l)
			}
		}
		for _, o := range w.seats {
			if o.s != nil && in(o.at) {
				w.flushed(o, 99)
			}
		}
	}
}

func (w *world) offer(m *seat) {
	w.pass(m, 0)
	w.offered++
	m.s.Propose(&wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{ChangeId: fmt.Sprint("c", w.offered)}}}, m.local)
	w.settle(m)
}

func (w *world) wipeOut(m *seat) {
	w.wiped[m.id()] = true
	if !w.weak.sameId {
		m.age++
	}
	m.disk = disk{}
	m.s, m.top = nil, 0
}

// regroup makes or ends a voter as the leader's own repair would, at any time that its guards allow.
func (w *world) regroup(s *State, b int) {
	r, at := s.rosterAt()
	if at > s.commit && !w.weak.manyRosters || !s.Firm() && !w.weak.rosterUnfirm || s.role != Leader || len(r.Voters) == 0 {
		return
	}
	v := r.Voters[b%len(r.Voters)]
	if v.Learner {
		s.change(r, func(x *wire.Voter) *wire.Voter {
			if x.Id == v.Id {
				return &wire.Voter{Id: x.Id, Addr: x.Addr, Member: x.Member}
			}
			return x
		}, nil)
		return
	}
	if v.Id != string(s.Self.Voter) && len(Voters(r)) > 1 {
		s.change(r, func(x *wire.Voter) *wire.Voter {
			if x.Id == v.Id {
				return nil
			}
			return x
		}, nil)
	}
}

func (w *world) calm(rounds int) {
	for ; rounds > 0 && w.bad == ""; rounds-- {
		for _, m := range w.seats {
			if m.s == nil {
				continue
			}
			w.pass(m, 20*time.Millisecond)
			m.s.Tick(m.local)
			w.settle(m)
			w.flushed(m, 99)
		}
		list := w.bag
		w.bag = nil
		for _, l := range list {
			w.hand(l)
		}
	}
}

func (w *world) run(list []move) string {
	for _, m := range list {
		w.take(m)
	}
	return w.bad
}

const ownPackage = "sloeturn/agreement"

func opened(v reflect.Value) reflect.Value {
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

var plain sync_.Map

// shares says that a plain copy of a value owns nothing that the first one would change.
func shares(t reflect.Type) bool {
	if v, ok := plain.Load(t); ok {
		return v.(bool)
	}
	ok := true
	switch t.Kind() {
	case reflect.Struct:
		for i := 0; i < t.NumField(); i++ {
			ok = ok && shares(t.Field(i).Type)
		}
	case reflect.Array:
		ok = shares(t.Elem())
	case reflect.Map, reflect.Slice:
		ok = false
	case reflect.Pointer:
		ok = t.Elem().PkgPath() != ownPackage
	}
	plain.Store(t, ok)
	return ok
}

// dup makes a plain copy own what its first one owns; entries, rosters and frames are never changed and stay shared.
func dup(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			if !shares(v.Type().Field(i).Type) {
				dup(opened(v.Field(i)))
			}
		}
	case reflect.Map:
		if v.IsNil() {
			return
		}
		to := reflect.MakeMapWithSize(v.Type(), v.Len())
		for it := v.MapRange(); it.Next(); {
			e := reflect.New(v.Type().Elem()).Elem()
			e.Set(it.Value())
			dup(e)
			to.SetMapIndex(it.Key(), e)
		}
		v.Set(to)
	case reflect.Slice:
		if v.IsNil() {
			return
		}
		to := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(to, v)
		if !shares(v.Type().Elem()) {
			for i := 0; i < to.Len(); i++ {
				dup(to.Index(i))
			}
		}
		v.Set(to)
	case reflect.Pointer:
		if v.IsNil() || shares(v.Type()) {
			return
		}
		to := reflect.New(v.Type().Elem())
		to.Elem().Set(v.Elem())
		dup(to.Elem())
		v.Set(to)
	}
}

func cloneState(s *State) *State {
	out := *s
	dup(reflect.ValueOf(&out).Elem())
	return &out
}
