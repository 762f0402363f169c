package agreement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

// A follower holds entries of a lost leader behind what it shares; one batch of the many that replace them is lost.
func TestALostBatchOverOldEntriesIsSentAgain(t *testing.T) {
	now := ident.Moment(time.Hour)
	r := &wire.Roster{Voters: []*wire.Voter{{Id: "v0", Addr: "a0"}, {Id: "v1", Addr: "a1"}}}
	state := func(id, addr string, term uint64) *State {
		got := &Recovered{Term: 4, Snapshot: &wire.Snapshot{LastIndex: 1, LastTerm: 1, Roster: r}}
		for i := uint64(2); i <= 12; i++ {
			at := uint64(2)
			if i > 4 {
				at = term
			}
			got.Entries = append(got.Entries, &wire.Entry{Index: i, Term: at, Change: &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{Doc: make([]byte, BatchBytes)}}}})
		}
		return New(Self{Voter: ident.Voter(id), Addr: ident.Addr(addr)}, nil, got, 1, now)
	}
	l, f := state("v0", "a0", 4), state("v1", "a1", 3)
	l.term = 5
	l.becomeLeader(now)
	lost := false
	var toF, toL []*wire.Frame
	for i := 0; i < 1000 && l.Commit() < l.Last(); i++ {
		now = now.Add(10 * time.Millisecond)
		for _, x := range toL {
			if a := x.GetAppendReply(); a != nil {
				l.AppendReply(a, now)
			}
		}
		for _, x := range toF {
			a := x.GetAppend()
			if a == nil {
				continue
			}
			if len(a.Entries) > 0 && a.PrevIndex == 4 && !lost {
				lost = true
				continue
			}
			f.Append(a, now)
		}
		toL, toF = nil, nil
		l.Tick(now)
		for s, out := range map[*State]*[]*wire.Frame{l: &toF, f: &toL} {
			o := s.Flush(now)
			if o.Persist != nil {
				s.Synced(o.Persist.Seq, now)
				o.Sends = append(o.Sends, s.Flush(now).Sends...)
			}
			for _, x := range o.Sends {
				*out = append(*out, x.Frame)
			}
		}
	}
	require.True(t, lost)
	require.Equal(t, l.Last(), l.Commit(), l.Text())
}
