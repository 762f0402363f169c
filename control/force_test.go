package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

const four = `"fleet":{"nodes":4},"services":{"s":{"maxConnections":36}},"tenants":{"t":{}},"lanes":{"l":{"tenant":"t","service":"s","slots":2}}}`

type fleetOf struct {
	*lone
	asked map[uint64]ident.Moment
	acked map[uint64]ident.Moment
}

func seated(t *testing.T, members ...string) *fleetOf {
	f := &fleetOf{lone: begin(t), asked: map[uint64]ident.Moment{}, acked: map[uint64]ident.Moment{}}
	require.Zero(t, f.set(&wire.SetDesired{ChangeId: "first", Doc: []byte("{" + four)}).Code)
	for i, m := range members {
		f.log(&wire.Change{Body: &wire.Change_SeatTake{SeatTake: &wire.SeatTake{Member: m, Addr: m + ":1", Incarnation: uint64(10 + i)}}})
	}
	require.Len(t, f.Book.Seats, len(members))
	f.ticks(time.Second)
	return f
}

func (f *fleetOf) log(c *wire.Change) {
	_, ok := f.Agree.Propose(c, f.now)
	require.True(f.t, ok)
	f.step(Tick{})
}

func (f *fleetOf) lives() uint64 { return uint64(f.Book.Generation) }

// stage has a seat's node say that it decides every new visit under the newest generation.
func (f *fleetOf) stage(members ...string) {
	for _, v := range f.Book.Seats {
		for _, m := range members {
			if v.Member == m {
				f.Relay.Confirm(&wire.Confirm{Member: m, Incarnation: v.Incarnation, Staged: f.lives(), Shrunk: f.lives()})
			}
		}
	}
}

func (f *fleetOf) order(n int) uint64 {
	k := f.ask(&wire.SetDesired{ChangeId: fmt.Sprint("order-", n), Basis: uint64(f.Book.Generation), Doc: []byte(fmt.Sprintf(`{"edition":%d,`, n) + four)})
	f.asked[k] = f.now
	return k
}

func (f *fleetOf) run(d time.Duration, say ...string) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.ticks(20 * time.Millisecond)
		f.stage(say...)
		for k := range f.asked {
			if f.heard[k] != nil && f.acked[k] == 0 {
				require.Zero(f.t, f.heard[k].Code)
				f.acked[k] = f.now
			}
		}
	}
}

func (f *fleetOf) took(k uint64) time.Duration {
	f.t.Helper()
	require.NotZero(f.t, f.acked[k], "order %d has no yes", k)
	return f.acked[k].Sub(f.asked[k])
}

func TestEachGenerationComesIntoForceATenureAfterItsOwnBeginWhileASeatIsSilent(t *testing.T) {
	f := seated(t, "a", "b")
	f.run(time.Second, "a", "b")
	var keys []uint64
	for i := range 12 {
		keys = append(keys, f.order(2+i))
		f.run(400*time.Millisecond, "a")
	}
	f.run(6*time.Second, "a")
	for _, k := range keys {
		require.Less(t, f.took(k), f.Relay.Tenure+200*time.Millisecond)
		require.Greater(t, f.took(k), f.Relay.Tenure)
	}
}

func TestAChangeThatAllHaveStagedIsAcknowledgedAtOnceAfterAnother(t *testing.T) {
	f := seated(t, "a", "b")
	f.run(time.Second, "a", "b")
	for i := range 6 {
		k := f.order(2 + i)
		f.run(100*time.Millisecond, "a", "b")
		require.LessOrEqual(t, f.took(k), 60*time.Millisecond)
	}
}
