package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

func TestNewsGoesDownATreeOfTheNodesOwnCell(t *testing.T) {
	var ring []*wire.Card
	cells := map[string]string{}
	add := func(id, cell string, role uint32) {
		ring = append(ring, &wire.Card{Id: id, Addr: id + ":1", Cell: cell, Role: role})
		cells[id+":1"] = cell
	}
	for i := range 30 {
		add(fmt.Sprintf("n%d", i), string("abc"[i%3]), member.Data)
	}
	for i, c := range []string{"a", "a", "b", "d"} {
		add(fmt.Sprintf("h%d", i), c, member.Control)
	}
	roots, deepest := map[string]int{}, 0
	for i := range 30 {
		id := fmt.Sprintf("n%d", i)
		cell := cells[id+":1"]
		p := Path(ring, ident.Member(id))
		heads := p[len(p)-4:]
		require.ElementsMatch(t, []string{"h0:1", "h1:1", "h2:1", "h3:1"}, heads)
		deepest = max(deepest, len(p)-4)
		if len(p) == 4 {
			roots[cell]++
		}
		for _, a := range p[:len(p)-4] {
			require.Equal(t, cell, cells[a])
			require.Equal(t, byte('n'), a[0])
		}
		switch cell {
		case "a":
			require.ElementsMatch(t, []string{"h0:1", "h1:1"}, heads[:2])
		case "b":
			require.Equal(t, "h2:1", heads[0])
		}
	}
	require.Equal(t, map[string]int{"a": Roots, "b": Roots, "c": Roots}, roots)
	require.Equal(t, 1, deepest)
	require.Len(t, Path(ring, "unknown"), 4)
	require.Empty(t, Path(nil, "unknown"))
}
