package cell

import (
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
