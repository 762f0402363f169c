package agreement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

func TestAFounderWithoutADiskIsPassedOverOnceItSaidSo(t *testing.T) {
	now := ident.Moment(1e9)
	list := []ident.Addr{"a:1", "b:1", "c:1"}
	s := New(Self{Voter: "a/1", Member: "a", Addr: "a:1"}, list, nil, 1, now)
	s.Founding(&wire.Founding{Voter: "c/1", Member: "c", Addr: "c:1", Blank: true, Answer: true}, now)
	require.Equal(t, Blank, s.Role(), "one founder has not spoken")
	s.Founding(&wire.Founding{Member: "b", Addr: "b:1", Blank: true, Answer: true}, now.Add(time.Millisecond))
	require.Equal(t, Follower, s.Role())
	var ids []string
	for _, v := range Voters(s.Roster()) {
		ids = append(ids, v.Id)
	}
	require.Equal(t, []string{"a/1", "c/1"}, ids)
}
