package quota

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAFullGroupClosesItsLongestIdleConnection(t *testing.T) {
	g := NewConnections(2)
	var closed []string
	open := func(name string) *Connection {
		c, ok := g.Open(func() { closed = append(closed, name) })
		require.Equal(t, ok, c != nil)
		return c
	}
	first, second := open("first"), open("second")
	require.Nil(t, open("third"), "nobody is idle")
	second.SetIdle(true)
	first.SetIdle(true)
	first.SetIdle(true)
	third := open("third")
	require.NotNil(t, third)
	require.Equal(t, []string{"second"}, closed)
	second.Release()
	second.SetIdle(true)
	first.SetIdle(false)
	require.Nil(t, open("fourth"))
	require.Equal(t, ConnectionUsage{Limit: 2, Open: 2, Peak: 2, Refused: 2, ClosedIdle: 1}, g.Usage())
	third.Release()
	third.Release()
	require.Equal(t, 1, g.Usage().Open)
	require.NotNil(t, open("fifth"))
}

func TestConnectionsOfNoGroupHaveNoLimit(t *testing.T) {
	var g *Connections
	c, ok := g.Open(nil)
	require.True(t, ok)
	c.SetIdle(true)
	c.Release()
	require.Zero(t, g.Usage())
}

// Guards against clients that hold up transfers and keep new connections out.
func TestAFullGroupWithoutIdleConnectionsClosesItsSlowestOne(t *testing.T) {
	g := NewConnections(3)
	var closed []string
	open := func(name string) *Connection {
		c, _ := g.Open(func() { closed = append(closed, name) })
		return c
	}
	busy, late, early := open("busy"), open("late"), open("early")
	early.SetSlow(true)
	late.SetSlow(true)
	busy.SetSlow(true)
	busy.SetSlow(false)
	require.NotNil(t, open("first"))
	late.SetIdle(true)
	require.NotNil(t, open("second"))
	require.Nil(t, open("third"), "the others are neither idle nor slow")
	require.Equal(t, []string{"early", "late"}, closed)
	early.SetSlow(true)
	busy.Release()
	require.Equal(t, ConnectionUsage{Limit: 3, Open: 2, Peak: 3, Refused: 1, ClosedIdle: 1, ClosedSlow: 1}, g.Usage())
}
