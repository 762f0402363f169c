package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

// leaver is a backend that knows its incarnation, before the holder of its cell.
type leaver struct {
	t      *testing.T
	now    ident.Moment
	holder *Soundness
}

func newLeaver(t *testing.T) *leaver {
	return &leaver{t: t, now: ident.Moment(1e9), holder: New("a", 1)}
}

func (l *leaver) run(d time.Duration) {
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(50 * time.Millisecond) {
		l.holder.Tick(l.now)
	}
}

// beat is heard with the newest pulse, from a sender whose connection stands.
func (l *leaver) beat(life string, turn uint64, state int) bool {
	return l.holder.Hear(&wire.Announce{Addr: "b", Service: "x", Incarnation: life, Turn: turn, Slots: 4, State: uint32(state), Epoch: uint64(l.holder.Epoch), Pulse: l.holder.pulse, Stands: true}, l.now)
}

// signOff names the incarnation alone, without a turn, as a backend of the platform does.
func (l *leaver) signOff(life string) bool {
	return l.holder.Hear(&wire.Announce{Incarnation: life, State: Gone}, l.now)
}

func (l *leaver) ready() int { return l.holder.Counts()["x"] }

func TestALifeThatSignedOffNeverComesBack(t *testing.T) {
	for _, late := range []time.Duration{0, 500 * time.Millisecond, 2400 * time.Millisecond, 9 * time.Second} {
		l := newLeaver(t)
		require.True(t, l.beat("i-1", 5, Ready))
		l.run(time.Second)
		require.Equal(t, 1, l.ready())
		require.True(t, l.signOff("i-1"))
		require.Zero(t, l.ready())
		l.run(late)
		l.beat("i-1", 6, Ready)
		require.Zero(t, l.ready(), "a beat sent before the sign-off came %v after it", late)
		l.beat("i-1", 900, Ready)
		require.Zero(t, l.ready(), "whatever its turn")
		l.run(time.Second)
		require.True(t, l.beat("i-2", 1, Ready))
		require.Equal(t, 1, l.ready(), "another life at that address is another backend")
	}
}
func TestALifeThatSignedOffStaysEndedUnderTheNextHolder(t *testing.T) {
	for name, next := range map[string]func(l *leaver) *Soundness{
		"handed over": func(l *leaver) *Soundness { return Inherit(l.holder.Bequeath(l.now), 2, l.now) },
		"from a copy": func(l *leaver) *Soundness {
			c := NewCopy("a")
			c.Take(l.holder.News(c.Have(), l.now), l.now)
			h := New("a", 2)
			h.Recall(c, l.now)
			return h
		},
		"from a kept copy": func(l *leaver) *Soundness {
			c := NewCopy("a")
			c.Take(l.holder.News(c.Have(), l.now), l.now)
			h := New("a", 2)
			h.Recall(Kept(c.Keep()), l.now)
			return h
		},
	} {
		l := newLeaver(t)
		l.beat("i-1", 5, Ready)
		l.run(time.Second)
		l.signOff("i-1")
		l.run(time.Second)
		l.holder = next(l)
		l.run(500 * time.Millisecond)
		l.beat("i-1", 6, Ready)
		require.Zero(t, l.ready(), name)
	}
}

func TestALifeIsEndedThoughItsSignOffCameBeforeItsFirstBeat(t *testing.T) {
	l := newLeaver(t)
	require.True(t, l.signOff("i-1"))
	l.run(1200 * time.Millisecond)
	l.beat("i-1", 1, Ready)
	require.Zero(t, l.ready())
}

func TestAnEndedLifeTakesNoAddressBack(t *testing.T) {
	for name, end := range map[string]func(l *leaver){
		"signed off": func(l *leaver) { l.signOff("i-1") },
		"draining":   func(l *leaver) { l.beat("i-1", 6, Leaving) },
	} {
		l := newLeaver(t)
		l.beat("i-1", 5, Ready)
		end(l)
		l.run(2 * time.Second)
		l.beat("i-2", 1, Ready)
		l.run(time.Second)
		require.True(t, l.beat("i-1", 7, Ready), name)
		require.Equal(t, "i-2", l.holder.Lines()[0].Life, name)
		require.Equal(t, 1, l.ready(), name)
	}
}

func TestALifeThatLeftAndFellSilentStaysEnded(t *testing.T) {
	l := newLeaver(t)
	l.beat("i-1", 5, Ready)
	l.beat("i-1", 6, Leaving)
	l.run(BeatSilence + time.Second)
	require.Empty(t, l.holder.Lines())
	l.beat("i-1", 7, Ready)
	require.Zero(t, l.ready())
}

func TestTheEndsThatAreRememberedAreBounded(t *testing.T) {
	l := newLeaver(t)
	for i := range EndsMost + 10 {
		l.now = l.now.Add(time.Microsecond)
		l.signOff(fmt.Sprint("i-", i))
	}
	require.Len(t, l.holder.ends, EndsMost)
	require.False(t, l.holder.ended("i-9"), "the oldest go first")
	require.True(t, l.holder.ended("i-10"))
	l.run(EndKept + time.Second)
	require.Empty(t, l.holder.ends)
}

func TestABeatOfADeadLifeTakesNoAddressFromARecalledOne(t *testing.T) {
	l := newLeaver(t)
	l.beat("i-2", 1, Ready)
	l.holder = Inherit(l.holder.Bequeath(l.now), 2, l.now)
	heard := l.holder.Hear(&wire.Announce{Addr: "b", Service: "x", Incarnation: "i-1", Turn: 9, Slots: 4}, l.now)
	require.False(t, heard, "its sender has hung up, so it proves nothing")
	require.Equal(t, "i-2", l.holder.Lines()[0].Life)
}

func TestASignOffSaidAgainNeedsNoNewMajority(t *testing.T) {
	l := newLeaver(t)
	l.beat("i-1", 5, Ready)
	l.signOff("i-1")
	version := l.holder.Upto()
	l.run(time.Second)
	l.signOff("i-1")
	require.Equal(t, version, l.holder.Upto(), "those that have heard the first have heard this one")
	l.beat("i-2", 1, Ready)
	l.beat("i-2", 2, Leaving)
	l.signOff("i-2")
	require.Equal(t, Leaving, l.holder.Lines()[0].State)
}
