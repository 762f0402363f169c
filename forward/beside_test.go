package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (r *road) learn(route string) {
	for range 40 {
		r.come(route)
		d := r.sends(1)
		r.now = r.now.Add(50 * time.Millisecond)
		r.hears(d, Complete, 200)
		r.Flush()
	}
}

func (r *road) wait(d time.Duration) []any {
	r.now = r.now.Add(d)
	r.Tick(r.now)
	return r.Flush()
}

func (r *road) twin() (first, second Dial) {
	r.learn("again")
	v := r.come("again")
	first = r.sends(1)
	require.Empty(r.t, pick[Dial](r.wait(45*time.Millisecond)))
	all := r.wait(10 * time.Millisecond)
	pair, list := pick[Hedge](all), pick[Dial](all)
	require.Len(r.t, pair, 1)
	require.Len(r.t, list, 1)
	second = list[0]
	require.Equal(r.t, Hedge{v, second.Request}, pair[0])
	require.NotEqual(r.t, first.Key.Addr, second.Key.Addr)
	require.True(r.t, r.Connected(second.Request, second.Attempt, r.now))
	require.Len(r.t, pick[Write](r.Flush()), 1)
	return first, second
}

func TestAShotIsSentBesideAnOverdueOneAndTheFirstAnswerCounts(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newRoad(t, 3, 3, 10, 200)
		first, second := r.twin()
		if late {
			first, second = second, first
		}
		r.hears(second, Complete, 200)
		require.Equal(t, []Deliver{{second.Request, second.Attempt}}, pick[Deliver](r.Flush()))
		r.hears(first, Complete, 200)
		all := r.Flush()
		require.Empty(t, pick[Deliver](all))
		require.Empty(t, pick[Answer](all))
		require.Zero(t, r.Open())
	}
}

func TestAFailedShotWaitsForTheOneBesideIt(t *testing.T) {
	for _, late := range []bool{false, true} {
		r := newRoad(t, 3, 3, 10, 200)
		first, second := r.twin()
		if late {
			first, second = second, first
		}
		r.hears(first, Broken, 0)
		all := r.Flush()
		require.Empty(t, pick[Deliver](all))
		require.Empty(t, pick[Answer](all))
		require.Empty(t, pick[Dial](all))
		r.hears(second, TurnedAway, 503)
		require.Equal(t, RanUnknown, r.told().Ran)
	}
}

func TestNoShotIsSentBesideWhatMustNotRunTwiceOrHasNoBudget(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	r.learn("once")
	r.come("once")
	r.sends(1)
	require.Empty(t, pick[Dial](r.wait(300*time.Millisecond)))
	r = newRoad(t, 3, 3, 0, 0)
	r.learn("again")
	r.come("again")
	r.sends(1)
	require.Empty(t, pick[Dial](r.wait(300*time.Millisecond)))
}

func TestALeavingRequesterLeavesBothShots(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	first, second := r.twin()
	r.ClientLeft(first.Request, r.now)
	r.hears(first, Complete, 200)
	r.hears(second, Broken, 0)
	all := r.Flush()
	require.Empty(t, pick[Deliver](all))
	require.Empty(t, pick[Answer](all))
	require.Zero(t, r.Open())
}

func TestAShotBesideThatWaitsInVainEndsNothing(t *testing.T) {
	r := newRoad(t, 2, 1, 10, 200)
	r.learn("again")
	r.come("again")
	first := r.sends(1)
	r.come("once")
	r.sends(1)
	all := r.wait(60 * time.Millisecond)
	require.Len(t, pick[Hedge](all), 1)
	require.Empty(t, pick[Dial](all))
	all = r.wait(250 * time.Millisecond)
	require.Empty(t, pick[Answer](all))
	r.hears(first, Complete, 200)
	require.Equal(t, []Deliver{{first.Request, 1}}, pick[Deliver](r.Flush()))
	require.Equal(t, 1, r.Open())
}

func TestAShotThatHearsAGatewaysWordLeavesTheOneBesideItGoingOn(t *testing.T) {
	for _, status := range []int{408, 421, 429} {
		for _, late := range []bool{false, true} {
			r := newRoad(t, 3, 3, 10, 200)
			first, second := r.twin()
			if late {
				first, second = second, first
			}
			r.hears(first, Complete, status)
			all := r.Flush()
			require.Empty(t, pick[Deliver](all), status)
			require.Empty(t, pick[Answer](all), status)
			r.hears(second, Complete, 200)
			require.Equal(t, []Deliver{{second.Request, second.Attempt}}, pick[Deliver](r.Flush()), status)
			require.Zero(t, r.Open())
		}
	}
}

func TestALeavingRequesterIsHeardByTheShotThatIsLeft(t *testing.T) {
	r := newRoad(t, 3, 3, 10, 200)
	r.learn("again")
	v := r.come("again")
	first := r.sends(1)
	second := pick[Dial](r.wait(60 * time.Millisecond))[0]
	r.hears(first, Broken, 0)
	r.ClientLeft(v, r.now)
	r.Flush()
	require.False(t, r.Connected(second.Request, second.Attempt, r.now))
	require.Empty(t, r.Flush())
	require.Zero(t, r.Open())
}
