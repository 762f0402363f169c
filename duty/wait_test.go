package duty

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type dated struct {
	net.Conn
	at time.Time
}

func (d *dated) SetReadDeadline(t time.Time) error {
	d.at = t
	return nil
}

func TestWaitsShortenHeadsAndIdleTimesAndNothingElse(t *testing.T) {
	head, idle := 3*time.Second, 15*time.Second
	d := &dated{}
	w := &waiting{d, func() (time.Duration, time.Duration) { return head, idle }}
	left := func(s time.Duration) time.Duration {
		w.SetReadDeadline(time.Now().Add(s))
		return time.Until(d.at)
	}
	require.InDelta(t, 3, left(HeadWait).Seconds(), 0.5)
	require.InDelta(t, 15, left(IdleWait).Seconds(), 0.5)
	require.InDelta(t, 1, left(time.Second).Seconds(), 0.5)
	w.SetReadDeadline(time.Time{})
	require.True(t, d.at.IsZero())
	head, idle = 0, 0
	require.InDelta(t, 5, left(HeadWait).Seconds(), 0.5)
	require.InDelta(t, 120, left(IdleWait).Seconds(), 0.5)
}
