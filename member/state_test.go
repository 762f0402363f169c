package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sloeturn/ident"
	"sloeturn/wire"
)

type town struct {
	all   map[string]*State
	mute  map[string]bool
	now   ident.Moment
	sent  int
	bytes int
}

func newTown(n int) *town {
	t := &town{all: map[string]*State{}, mute: map[string]bool{}, now: 1e9}
	for i := 0; i < n; i++ {
		a := fmt.Sprint("a", i)
		t.all[a] = New(&wire.Card{Id: fmt.Sprint("m", i), Addr: a, Incarnation: 1}, []ident.Addr{"a0", "a1", "a2"}, t.now)
	}
	return t
}

func (t *town) run(d time.Duration) {
	for end := t.now.Add(d); t.now < end; t.now = t.now.Add(50 * time.Millisecond) {
		for _, a := range ident.Keys(t.all) {
			if !t.mute[a] {
				t.all[a].Tick(t.now)
			}
		}
		for again := true; again; {
			again = false
			for _, a := range ident.Keys(t.all) {
				for _, m := range t.all[a].Flush() {
					to := t.all[m.To]
					if to == nil || t.mute[a] || t.mute[m.To] {
						continue
					}
					again = true
					t.sent++
					if h := m.Frame.GetHeartbeat(); h != nil {
						t.bytes += proto.Size(m.Frame)
						to.Heartbeat(h, t.all[a].Self.Id, a, t.now)
					} else {
						to.Table(m.Frame.GetTable(), a, t.now)
					}
				}
			}
		}
	}
}

func (t *town) see(from, id string) uint32 { return t.all[from].Card(ident.Member(id)).GetState() }

func TestMembersFindOneAnotherAndTwoWatchersMustAgreeOnSilence(t *testing.T) {
	w := newTown(12)
	w.run(3 * time.Second)
	for _, a := range ident.Keys(w.all) {
		require.Len(t, w.all[a].Ring(), 12)
	}
	w.mute["a5"] = true
	w.run(3 * time.Second)
	for _, a := range ident.Keys(w.all) {
		if a != "a5" {
			require.Equal(t, uint32(Silent), w.see(a, "m5"), a)
		}
	}
	w.mute["a5"] = false
	w.run(3 * time.Second)
	for _, a := range ident.Keys(w.all) {
		require.Len(t, w.all[a].Ring(), 12, a)
	}
}

func TestOneAccuserAloneChangesNothing(t *testing.T) {
	w := newTown(8)
	w.run(3 * time.Second)
	w.all["a1"].accuse(w.all["a1"].Card("m3"), []string{"m1"}, w.now)
	require.Equal(t, uint32(Live), w.see("a1", "m3"))
	w.run(2 * time.Second)
	require.Empty(t, w.all["a1"].Card("m3").Accusers)
}

func TestQuietTablesCostHeartbeatsOnly(t *testing.T) {
	w := newTown(20)
	w.run(5 * time.Second)
	w.sent, w.bytes = 0, 0
	w.run(5 * time.Second)
	most := 20 * (Watchers*4 + 1) * 5
	require.LessOrEqual(t, w.sent, most)
	require.Less(t, w.bytes, 25*w.sent, "they say that nothing changed, and nothing else")
}

func TestAnOlderBuildIsToldTheWholeCard(t *testing.T) {
	w := newTown(8)
	w.all["a5"].Self.Brief = false
	w.run(5 * time.Second)
	for _, c := range w.all["a5"].WatchersOf("m5") {
		require.True(t, c.Brief)
	}
	for _, a := range ident.Keys(w.all) {
		w.all[a].pulse(false)
		for _, m := range w.all[a].Flush() {
			require.Equal(t, m.To == "a5", m.Frame.GetHeartbeat().Card != nil)
		}
	}
}

func TestANewLifeIsKnownWhateverTheClockSays(t *testing.T) {
	w := newTown(8)
	w.run(3 * time.Second)
	for life := uint64(90); life > 80; life-- {
		w.all["a5"] = New(&wire.Card{Id: "m5", Addr: "a5", Incarnation: life}, []ident.Addr{"a0", "a1", "a2"}, w.now)
		w.run(2 * time.Second)
		for _, a := range ident.Keys(w.all) {
			require.Equal(t, life, w.all[a].Card("m5").Incarnation, a)
			require.Equal(t, uint32(Live), w.see(a, "m5"), a)
		}
	}
}
