package agreement

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"
	"time"

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

// dealt has each kind of move as many times as it is to come.
var dealt = deal(often)

func deal(often map[kind]int) (out []kind) {
	for k := kind(0); k < kinds; k++ {
		for i := 0; i < often[k]; i++ {
			out = append(out, k)
		}
	}
	return
}

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
	logRoster                              bool
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
	based         *wire.Snapshot // the base that was last compared with the others'
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
	return newWorldWithout(-1, n, founded, batch, w)
}

// newLateWorld gives n founders of which all but one have founded the fleet: the late one has agreed to
// the founding roster and is still blank.
func newLateWorld(late, n, batch int, w weak) *world {
	return newWorldWithout(late%n, n, true, batch, w)
}

func newWorldWithout(late, n int, founded bool, batch int, w weak) *world {
	out := &world{size: n, founded: founded, batch: batch, weak: w, cut: map[[2]int]bool{}, known: map[spot][2]uint64{}, leaders: map[uint64]string{}, elected: map[uint64]int{}, votes: map[ballot]int{}, wiped: map[string]bool{}, sums: map[any]uint64{}, count: map[string]int{}}
	r := &wire.Roster{}
	for i := 0; i < n+2; i++ {
		out.seats = append(out.seats, &seat{at: i, local: ident.Moment(time.Hour) + ident.Moment(i)*ident.Moment(time.Minute), steps: map[ident.Moment]int{}})
		if i < n {
			r.Voters = append(r.Voters, &wire.Voter{Id: out.seats[i].id(), Addr: addrOf(i), Member: fmt.Sprint("m", i)})
		}
	}
	for i := 0; i < n; i++ {
		if founded && i != late {
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
		if w.weak.logRoster {
			b.Vote.Roster = m.s.Roster()
		}
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
