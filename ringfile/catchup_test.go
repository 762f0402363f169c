package ringfile

import (
	"math/rand"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sloeturn/agreement"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	mebi     = 1 << 20
	twoMbits = 2_000_000 / 8
)

func TestARestartedVoterCatchesUpOverASlowLinkWhileChangesComeIn(t *testing.T) {
	for seed := int64(1); seed <= 3; seed++ {
		w := newFleet(t, seed, 3, 4*mebi, 1500<<10)
		w.lead("c")
		w.kill("c", false)
		for range 300 {
			require.True(t, w.propose(8<<10))
			w.run(50 * time.Millisecond)
		}
		w.slow("c", twoMbits, 0)
		w.all["c"].sync = 150 * time.Millisecond
		w.start("c")
		from := w.now
		for w.now.Sub(from) < 30*time.Second && w.all["c"].index+20 < w.leader().index {
			w.propose(2 << 10)
			w.run(100 * time.Millisecond)
		}
		t.Logf("seed %d: %v, %d bytes to it", seed, w.now.Sub(from), w.line("a", "c").bytes+w.line("b", "c").bytes)
		require.Less(t, w.now.Sub(from), 20*time.Second)
	}
}

func TestALaggingVoterGetsEntriesNotTheImage(t *testing.T) {
	w := newFleet(t, 1, 3, 4*mebi, 1500<<10)
	w.lead("c")
	for range 2000 {
		require.True(t, w.propose(1<<10))
		w.run(tick)
	}
	w.cut("c", true)
	require.True(t, w.propose(1<<10))
	lead := w.leader()
	w.run(tick)
	before := w.line(lead.name, "c").bytes
	for range 20 {
		w.run(50 * time.Millisecond)
		lead.s.Compact(true)
		require.True(t, w.propose(1<<10))
		w.settle(lead)
	}
	w.cut("c", false)
	w.run(2 * time.Second)
	require.Equal(t, lead.index, w.all["c"].index)
	require.Less(t, w.line(lead.name, "c").bytes-before, 300<<10)
}

func TestOneCompactionAtATimeOnASlowDisk(t *testing.T) {
	w := newFleet(t, 1, 3, 4*mebi, 3*mebi)
	w.lead("")
	for _, v := range w.all {
		v.sync = 400 * time.Millisecond
	}
	for range 600 {
		w.propose(2 << 10)
		w.run(10 * time.Millisecond)
	}
	w.run(3 * time.Second)
	for _, v := range w.all {
		require.Equal(t, w.leader().index, v.index)
		t.Logf("%s: %d snapshots, %d bytes", v.name, v.big, v.size)
		require.Less(t, v.big, 8, "1.2 MB of changes")
	}
}

func TestARingTakesAsManyBytesAsItSaysThereIsRoomFor(t *testing.T) {
	for seed := int64(0); seed < 400; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		files := 3 + rnd.Intn(3)
		d := memDir{}
		r, _, err := Open(d, files, 16384)
		require.NoError(t, err)
		require.GreaterOrEqual(t, r.Room(), Capacity(files, 16384))
		require.NoError(t, r.Write([]*wire.Record{snap(1, rnd.Intn(9000)), hardState(1)}))
		last := uint64(1)
		for step := 0; step < 60; step++ {
			if rnd.Intn(6) == 0 {
				if p := snap(last, rnd.Intn(9000)); r.Room() >= costOf(p)+100 {
					from := r.live
					require.NoError(t, r.Write([]*wire.Record{p}), "seed %d step %d", seed, step)
					require.Greater(t, r.live, from)
					require.GreaterOrEqual(t, r.Room()+costOf(p)+100, Capacity(files, 16384), "seed %d step %d", seed, step)
				}
				continue
			}
			room := r.Room()
			var recs []*wire.Record
			for k := 0; k < 1+rnd.Intn(4); k++ {
				e := entry(last+1, rnd.Intn(3000))
				if rnd.Intn(5) == 0 {
					e = entry(last+1, max(0, int(room)-200))
				}
				if room -= costOf(e); room < 0 {
					break
				}
				last++
				recs = append(recs, e)
			}
			require.NoError(t, r.Write(recs), "seed %d step %d", seed, step)
			require.GreaterOrEqual(t, r.Room(), room, "seed %d step %d", seed, step)
			if rnd.Intn(10) == 0 {
				var got *agreement.Recovered
				was := r.Room()
				r, got, err = Open(d, files, 16384)
				require.NoError(t, err)
				require.Equal(t, was, r.Room())
				require.Equal(t, last, got.Snapshot.LastIndex+uint64(len(got.Entries)))
			}
		}
	}
}

func costOf(r *wire.Record) int64 { return int64(proto.Size(r)) + 64 }

func (w *fleet) told(v *voter, word string) bool {
	for _, n := range v.notes {
		if strings.Contains(n, word) {
			return true
		}
	}
	return false
}

func TestChangesAreRefusedByNameBeforeARingIsFull(t *testing.T) {
	for _, size := range []int{1500 << 10, 3400 << 10, 3900 << 10} {
		for _, part := range []int{200, 40 << 10, 600 << 10} {
			w := newFleet(t, 1, 3, 4*mebi, size)
			for _, v := range w.all {
				v.grows = true
			}
			w.lead("")
			taken, refused := 0, 0
			for n := 0; n < 400 && refused < 50; n++ {
				if part < 1000 && n > 100 {
					break
				}
				if w.propose(part) {
					taken++
				} else if w.leader() != nil && w.leader().s.Refused {
					refused++
				}
				w.run(2 * tick)
			}
			w.run(3 * time.Second)
			lead := w.leader()
			require.NotNil(t, lead)
			require.GreaterOrEqual(t, lead.index, uint64(taken))
			if part > 1000 {
				require.True(t, refused >= 50, "%d taken", taken)
				require.True(t, w.told(lead, "Refuses changes"))
			}
			for n, v := range w.all {
				require.Equal(t, lead.index, v.index)
				w.kill(n, true)
			}
			for n := range w.all {
				w.start(n)
			}
			w.run(3 * time.Second)
			require.NotNil(t, w.leader())
			require.GreaterOrEqual(t, w.leader().index, uint64(taken))
			t.Logf("image %d, changes of %d: %d taken, %d refused", size, part, taken, refused)
		}
	}
}

func (w *fleet) trouble(n int) {
	names := []string{"a", "b", "c"}
	for range n {
		v := w.all[names[w.rnd.Intn(3)]]
		switch k := w.rnd.Intn(12); {
		case k < 3 && v.down:
			v.left = 1 << 40
			w.start(v.name)
		case k < 2:
			w.kill(v.name, w.rnd.Intn(2) == 0)
		case k == 2:
			w.cut(v.name, true)
		case k < 6:
			w.cut(v.name, false)
			w.slow(v.name, 0, 0)
		case k == 6:
			w.slow(v.name, twoMbits*4, 0.1)
		case k == 7:
			v.left = w.rnd.Intn(12)
		case k == 8:
			v.left = 1 << 40
		case k == 9:
			v.sync = time.Duration(1+w.rnd.Intn(400)) * time.Millisecond
		case k == 10 && !v.down:
			v.s.Compact(true)
			w.settle(v)
		default:
			for range 1 + w.rnd.Intn(20) {
				if w.propose(w.rnd.Intn(3000)) {
					w.asked++
				}
			}
		}
		w.run(time.Duration(w.rnd.Intn(600)) * time.Millisecond)
	}
}

func (w *fleet) mend() {
	for _, n := range []string{"a", "b", "c"} {
		v := w.all[n]
		v.left, v.sync = 1<<40, 5*time.Millisecond
		w.cut(n, false)
		w.slow(n, 0, 0)
		if v.down {
			w.start(n)
		}
	}
}

func TestNoVoterLeadsWithOldStateOrStaysBehindOverRandomTroubles(t *testing.T) {
	asked, sure, led := 0, uint64(0), ident.Term(0)
	for seed := int64(1); seed <= 60; seed++ {
		w := newFleet(t, seed, 3, 1*mebi, []int{100, 90 << 10, 400 << 10}[seed%3])
		w.doubles, w.jitter = 0.05, 30*time.Millisecond
		w.trouble(150)
		w.mend()
		w.run(8 * time.Second)
		lead := w.leader()
		require.NotNil(t, lead, "seed %d", seed)
		require.GreaterOrEqual(t, lead.index, w.sure, "seed %d", seed)
		for _, v := range w.all {
			require.Equal(t, lead.index, v.index, "seed %d: %s %s", seed, v.name, v.s.Text())
		}
		asked, sure, led = asked+w.asked, sure+w.sure, led+w.term
	}
	t.Logf("%d changes asked, %d entries committed, %d terms", asked, sure, led)
}

func TestChunksThatAreLostAreSentAgain(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		w := newFleet(t, seed, 3, 4*mebi, 1500<<10)
		w.lead("c")
		w.kill("c", false)
		for range 300 {
			require.True(t, w.propose(8<<10))
			w.run(20 * time.Millisecond)
		}
		w.slow("c", 8*twoMbits, 0.1)
		w.start("c")
		from := w.now
		for w.now.Sub(from) < 60*time.Second && w.all["c"].index < w.leader().index {
			w.run(100 * time.Millisecond)
		}
		t.Logf("seed %d: %v", seed, w.now.Sub(from))
		require.Less(t, w.now.Sub(from), 30*time.Second, "seed %d", seed)
	}
}

func TestPowerLossAtAnyStepOfAWriteLeavesAPrefix(t *testing.T) {
	for seed := int64(0); seed < 1500; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		d := memDir{}
		left := 1 << 40
		r, _, err := Open(moody{d, &left}, 3, 4096)
		require.NoError(t, err)
		log := []*wire.Record{snap(1, 10), hardState(1)}
		require.NoError(t, r.Write(log))
		last, term := uint64(1), uint64(1)
		for step := 0; step < 25; step++ {
			var recs []*wire.Record
			for range 1 + rnd.Intn(4) {
				switch k := rnd.Intn(5); {
				case k == 0:
					p := snap(last, rnd.Intn(2200))
					recs = append(recs, p)
				case k == 1:
					term++
					recs = append(recs, hardState(term))
				default:
					last++
					recs = append(recs, entry(last, rnd.Intn(200)))
				}
			}
			total := int64(200)
			for _, e := range recs {
				total += costOf(e) + 100
			}
			if r.Room() < total {
				recs = []*wire.Record{snap(last, rnd.Intn(900))}
			}
			left = rnd.Intn(14)
			if err := r.Write(recs); err == nil {
				log = append(log, recs...)
				if rnd.Intn(3) > 0 {
					left = 1 << 40
					continue
				}
				recs = nil
			}
			left = 1 << 40
			d.powerLoss(rnd)
			var got *agreement.Recovered
			r, got, err = Open(moody{d, &left}, 3, 4096)
			require.NoError(t, err, "seed %d step %d", seed, step)
			found := -1
			for k := len(recs); k >= 0 && found < 0; k-- {
				want := &agreement.Recovered{}
				for _, e := range append(append([]*wire.Record{}, log...), recs[:k]...) {
					require.NoError(t, want.Replay(e))
				}
				if same(want, got) && got.Term >= want.Term {
					found = k
				}
			}
			require.GreaterOrEqual(t, found, 0, "seed %d step %d", seed, step)
			log = append(log, recs[:found]...)
			last, term = got.Snapshot.LastIndex+uint64(len(got.Entries)), got.Term
		}
	}
}

func same(a, b *agreement.Recovered) bool {
	if !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}
