package ringfile

import (
	"encoding/binary"
	"fmt"
	"hash/crc64"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	tick      = 5 * time.Millisecond
	buffered  = 256 << 10
	writeLast = 2 * time.Second
)

type line struct {
	rate  int
	late  time.Duration
	loss  float64
	cut   bool
	free  ident.Moment
	bytes int
}

type letter struct {
	at   ident.Moment
	seq  int
	to   string
	body []byte
}

type voter struct {
	name  string
	s     *agreement.State
	ring  *Ring
	dir   memDir
	left  int
	sync  time.Duration
	owed  []agreement.Persist
	busy  ident.Moment
	sum   uint64
	index uint64
	doc   []byte
	down  bool
	grows bool
	big   int
	size  int
	notes []string
}

type fleet struct {
	t       *testing.T
	rnd     *rand.Rand
	now     ident.Moment
	all     map[string]*voter
	lines   map[[2]string]*line
	post    []letter
	seq     int
	files   int
	size    int64
	sums    map[uint64]uint64
	sure    uint64
	term    ident.Term
	asked   int
	jitter  time.Duration
	doubles float64
	most    int
}

var poly = crc64.MakeTable(crc64.ECMA)

func newFleet(t *testing.T, seed int64, files int, size int64, doc int) *fleet {
	w := &fleet{t: t, rnd: rand.New(rand.NewSource(seed)), now: ident.Moment(1e12), all: map[string]*voter{}, lines: map[[2]string]*line{}, files: files, size: size, sums: map[uint64]uint64{}}
	r := &wire.Roster{}
	for _, n := range []string{"a", "b", "c"} {
		r.Voters = append(r.Voters, &wire.Voter{Id: n, Addr: n, Member: n})
	}
	for _, n := range []string{"a", "b", "c"} {
		v := &voter{name: n, dir: memDir{}, left: 1 << 40, sync: 5 * time.Millisecond, index: 1, doc: make([]byte, doc)}
		w.all[n] = v
		w.rnd.Read(v.doc)
		copy(v.doc, w.all["a"].doc)
		ring, _, err := Open(moody{v.dir, &v.left}, files, size)
		require.NoError(t, err)
		require.NoError(t, ring.Write([]*wire.Record{{Body: &wire.Record_Snapshot{Snapshot: &wire.Snapshot{LastIndex: 1, LastTerm: 1, Roster: r, Image: v.image()}}}, hardState(1)}))
		ring.Close()
		v.down = true
	}
	for _, n := range []string{"a", "b", "c"} {
		w.start(n)
	}
	return w
}

func (v *voter) image() []byte {
	b := binary.BigEndian.AppendUint64(nil, v.index)
	b = binary.BigEndian.AppendUint64(b, v.sum)
	return append(b, v.doc...)
}

func (v *voter) load(b []byte) {
	v.index, v.sum, v.doc = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), append([]byte(nil), b[16:]...)
}

func (w *fleet) start(n string) {
	v := w.all[n]
	ring, got, err := Open(moody{v.dir, &v.left}, w.files, w.size)
	require.NoError(w.t, err)
	v.ring, v.owed, v.busy, v.down = ring, nil, 0, false
	v.s = agreement.New(agreement.Self{Voter: ident.Voter(n), Member: ident.Member(n), Addr: ident.Addr(n)}, nil, got, w.rnd.Int63(), w.now)
	v.s.Image = v.image
	v.s.Space(Capacity(w.files, w.size), ring.Room())
	v.load(got.Snapshot.Image)
	require.GreaterOrEqual(w.t, uint64(v.s.Last()), v.index)
}

func (w *fleet) kill(n string, power bool) {
	v := w.all[n]
	v.down = true
	v.s = nil
	if power {
		v.dir.powerLoss(w.rnd)
	}
}

func (w *fleet) line(a, b string) *line {
	k := [2]string{a, b}
	if w.lines[k] == nil {
		w.lines[k] = &line{late: 2 * time.Millisecond}
	}
	return w.lines[k]
}

func (w *fleet) send(from string, m wire.Send) {
	l := w.line(from, m.To)
	b, err := proto.Marshal(m.Frame)
	require.NoError(w.t, err)
	w.most = max(w.most, len(b))
	if l.cut || w.rnd.Float64() < l.loss || w.all[m.To] == nil {
		return
	}
	at := w.now.Add(l.late)
	if l.rate > 0 {
		took := time.Duration(len(b)) * time.Second / time.Duration(l.rate)
		if wait := l.free.Sub(w.now); wait > 0 && wait+took > writeLast+time.Duration(buffered)*time.Second/time.Duration(l.rate) || took > writeLast+time.Duration(buffered)*time.Second/time.Duration(l.rate) {
			return
		}
		l.free = max(l.free, w.now).Add(took)
		at = l.free.Add(l.late)
	}
	l.bytes += len(b)
	for n := 0; n == 0 || n == 1 && w.rnd.Float64() < w.doubles; n++ {
		if w.jitter > 0 {
			at = at.Add(time.Duration(w.rnd.Int63n(int64(w.jitter))))
		}
		w.seq++
		w.post = append(w.post, letter{at, w.seq, m.To, b})
	}
}

func (w *fleet) step() {
	w.now = w.now.Add(tick)
	var due, rest []letter
	for _, m := range w.post {
		if m.at.After(w.now) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	w.post = rest
	for _, m := range due {
		v := w.all[m.to]
		if v.down {
			continue
		}
		f := &wire.Frame{}
		require.NoError(w.t, proto.Unmarshal(m.body, f))
		v.hear(f, w.now)
		w.settle(v)
	}
	for _, n := range []string{"a", "b", "c"} {
		v := w.all[n]
		if v.down {
			continue
		}
		v.s.Tick(w.now)
		w.settle(v)
		if v.s.Role() == agreement.Leader && v.s.Term() > w.term {
			w.term = v.s.Term()
			require.GreaterOrEqual(w.t, uint64(v.s.Last()), w.sure, "%s leads with old state", v.name)
		}
		w.write(v)
	}
}

func (w *fleet) settle(v *voter) {
	for {
		o := v.s.Flush(w.now)
		if o.Loaded != nil {
			v.load(o.Loaded.Image)
		}
		if o.Persist != nil {
			v.owed = append(v.owed, *o.Persist)
		}
		v.notes = append(v.notes, o.Notes...)
		for _, m := range o.Sends {
			w.send(v.name, m)
		}
		for _, e := range o.Applied {
			require.Equal(w.t, v.index+1, e.Index)
			b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(e)
			v.index, v.sum = e.Index, crc64.Update(v.sum, poly, b)
			if c := e.Change.GetClaim(); c != nil && len(c.Body) > 0 {
				if copy(v.doc, c.Body); v.grows {
					v.doc = append(v.doc, c.Body...)
				}
			}
			if old, ok := w.sums[e.Index]; ok {
				require.Equal(w.t, old, v.sum, "%s applied another entry %d", v.name, e.Index)
			}
			w.sums[e.Index] = v.sum
			w.sure = max(w.sure, e.Index)
		}
		if len(o.Applied) == 0 {
			return
		}
		v.s.Compact(false)
	}
}

func (w *fleet) write(v *voter) {
	if v.busy != 0 && v.busy.After(w.now) || len(v.owed) == 0 {
		return
	}
	if v.busy == 0 {
		v.busy = max(1, w.now.Add(v.sync))
		return
	}
	v.busy = 0
	var recs []*wire.Record
	for _, p := range v.owed {
		recs = append(recs, p.Records...)
	}
	for _, r := range recs {
		v.size += proto.Size(r)
		if r.GetSnapshot() != nil {
			v.big++
		}
	}
	seq := v.owed[len(v.owed)-1].Seq
	v.owed = nil
	err := v.ring.Write(recs)
	if err != nil {
		require.NotErrorIs(w.t, err, ErrFull, "%s at index %d, %s", v.name, v.index, v.s.Text())
		v.owed = []agreement.Persist{{Seq: seq}}
		v.s.Disk(true, w.now)
		return
	}
	if v.s.Ailing() {
		v.s.Disk(false, w.now)
	}
	v.s.Room(seq, v.ring.Room())
	v.s.Synced(seq, w.now)
	w.settle(v)
}

func (w *fleet) leader() *voter {
	for _, v := range w.all {
		if !v.down && v.s.Firm() {
			return v
		}
	}
	return nil
}

func (w *fleet) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		w.step()
	}
}

func (w *fleet) propose(size int) bool {
	v := w.leader()
	if v == nil {
		return false
	}
	b := make([]byte, size)
	w.rnd.Read(b)
	_, ok := v.s.Propose(&wire.Change{Body: &wire.Change_Claim{Claim: &wire.Claim{Visit: fmt.Sprint(w.rnd.Int63()), Body: b}}}, w.now)
	w.settle(v)
	return ok
}

func (w *fleet) slow(n string, rate int, loss float64) {
	for _, o := range []string{"a", "b", "c"} {
		if o != n {
			w.line(o, n).rate, w.line(n, o).rate = rate, rate
			w.line(o, n).loss, w.line(n, o).loss = loss, loss
		}
	}
}

func (w *fleet) cut(n string, off bool) {
	for _, o := range []string{"a", "b", "c"} {
		if o != n {
			w.line(o, n).cut, w.line(n, o).cut = off, off
		}
	}
}

func (w *fleet) lead(not string) {
	for n := 0; w.leader() == nil || w.leader().name == not; n++ {
		require.Less(w.t, n, 4000, "no leader")
		if l := w.leader(); l != nil {
			l.s.Resign(w.now)
		}
		w.run(time.Second)
	}
}

func (v *voter) hear(f *wire.Frame, now ident.Moment) {
	switch b := f.Body.(type) {
	case *wire.Frame_Vote:
		v.s.Vote(b.Vote, now)
	case *wire.Frame_VoteReply:
		v.s.VoteReply(b.VoteReply, now)
	case *wire.Frame_Append:
		v.s.Append(b.Append, now)
	case *wire.Frame_AppendReply:
		v.s.AppendReply(b.AppendReply, now)
	case *wire.Frame_Snapshot:
		v.s.InstallSnapshot(b.Snapshot, now)
	case *wire.Frame_SnapshotReply:
		v.s.SnapshotReply(b.SnapshotReply, now)
	case *wire.Frame_SnapshotChunk:
		v.s.SnapshotChunk(b.SnapshotChunk, now)
	case *wire.Frame_SnapshotChunkReply:
		v.s.SnapshotChunkReply(b.SnapshotChunkReply, now)
	case *wire.Frame_Handoff:
		v.s.Handoff(b.Handoff, now)
	}
}
