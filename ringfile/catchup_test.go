package ringfile

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
