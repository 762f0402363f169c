package agreement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sloeturn/ident"
	"sloeturn/wire"
)

func trio() *wire.Roster {
	r := &wire.Roster{}
	for _, v := range []string{"a", "b", "c"} {
		r.Voters = append(r.Voters, &wire.Voter{Id: v, Addr: v + ":1", Member: v})
	}
	return r
}

func noop(term, index uint64) *wire.Entry {
	return &wire.Entry{Term: term, Index: index, Change: &wire.Change{Body: &wire.Change_Noop{Noop: &wire.Noop{}}}}
}

func follower(now ident.Moment) *State {
	s := New(Self{Voter: "b", Member: "b", Addr: "b:1"}, nil, &Recovered{Term: 3, Snapshot: &wire.Snapshot{LastIndex: 10, LastTerm: 3, Roster: trio()}}, 1, now)
	s.Image = func() []byte { return []byte("image") }
	return s
}

func appendFrom(term, prev, prevTerm, commit uint64, list ...*wire.Entry) *wire.Append {
	return &wire.Append{Term: term, Leader: "a", LeaderAddr: "a:1", Target: "b", PrevIndex: prev, PrevTerm: prevTerm, Commit: commit, Entries: list}
}

func replayed(t *testing.T, recs []*wire.Record) *Recovered {
	got := &Recovered{}
	for _, r := range recs {
		require.NoError(t, got.Replay(r))
	}
	return got
}

func settle(s *State, now ident.Moment) (recs []*wire.Record, sent []wire.Send) {
	for range 3 {
		o := s.Flush(now)
		sent = append(sent, o.Sends...)
		if o.Persist != nil {
			recs = append(recs, o.Persist.Records...)
			s.Synced(o.Persist.Seq, now)
		}
	}
	return recs, sent
}

func TestAnAcknowledgedEntryOutlivesACompactionCutShortAnywhere(t *testing.T) {
	now := ident.Moment(1e12)
	s := follower(now)
	s.Append(appendFrom(3, 10, 3, 11, noop(3, 11), noop(3, 12), noop(3, 13)), now)
	disk, sent := settle(s, now)
	require.EqualValues(t, 13, sent[len(sent)-1].Frame.GetAppendReply().Match)
	s.Compact(true)
	more, _ := settle(s, now)
	require.NotEmpty(t, more)
	for n := range len(more) + 1 {
		got := replayed(t, append(append([]*wire.Record{{Body: &wire.Record_Snapshot{Snapshot: &wire.Snapshot{LastIndex: 10, LastTerm: 3, Roster: trio()}}}}, disk...), more[:n]...))
		again := New(s.Self, nil, got, 1, now)
		require.EqualValues(t, 13, again.Last(), "%d records of the compaction were kept", n)
	}
}

func TestAnInstalledSnapshotKeepsAcknowledgedEntriesBeyondIt(t *testing.T) {
	now := ident.Moment(1e12)
	s := follower(now)
	s.Append(appendFrom(3, 10, 3, 10, noop(3, 11), noop(3, 12), noop(3, 13)), now)
	disk, sent := settle(s, now)
	require.EqualValues(t, 13, sent[len(sent)-1].Frame.GetAppendReply().Match)
	s.InstallSnapshot(&wire.Snapshot{Term: 3, Leader: "a", LeaderAddr: "a:1", Target: "b", LastIndex: 12, LastTerm: 3, Roster: trio(), Image: []byte("image")}, now)
	require.EqualValues(t, 13, s.Last())
	require.EqualValues(t, 12, s.Commit())
	more, _ := settle(s, now)
	got := replayed(t, append(append([]*wire.Record{{Body: &wire.Record_Snapshot{Snapshot: &wire.Snapshot{LastIndex: 10, LastTerm: 3, Roster: trio()}}}}, disk...), more...))
	require.EqualValues(t, 13, New(s.Self, nil, got, 1, now).Last())
}

func TestAnInstalledSnapshotDropsALogThatDiffers(t *testing.T) {
	now := ident.Moment(1e12)
	s := follower(now)
	s.Append(appendFrom(3, 10, 3, 10, noop(3, 11), noop(3, 12), noop(3, 13)), now)
	settle(s, now)
	s.InstallSnapshot(&wire.Snapshot{Term: 5, Leader: "a", LeaderAddr: "a:1", Target: "b", LastIndex: 12, LastTerm: 4, Roster: trio(), Image: []byte("image")}, now)
	require.EqualValues(t, 12, s.Last())
	disk, _ := settle(s, now)
	require.EqualValues(t, 12, New(s.Self, nil, replayed(t, disk), 1, now).Last())
}

func TestASnapshotWhoseImageDoesNotReadChangesNothing(t *testing.T) {
	now := ident.Moment(1e12)
	s := follower(now)
	s.Reads = func(b []byte) error {
		if string(b) != "image" {
			return fmt.Errorf("torn")
		}
		return nil
	}
	p := &wire.Snapshot{Term: 3, Leader: "a", LeaderAddr: "a:1", Target: "b", LastIndex: 12, LastTerm: 3, Roster: trio(), Image: []byte("imag")}
	s.InstallSnapshot(p, now)
	o := s.Flush(now)
	require.EqualValues(t, 10, s.Last())
	require.Nil(t, o.Loaded)
	require.Empty(t, o.Sends)
	require.Contains(t, o.Notes, "Refused a snapshot from a: torn.")
	p.Image, p.Roster = []byte("image"), nil
	s.InstallSnapshot(p, now)
	require.EqualValues(t, 10, s.Last())
	p.Roster = trio()
	s.InstallSnapshot(p, now)
	require.EqualValues(t, 12, s.Last())
}

func TestACommittedEntryIsNeverCut(t *testing.T) {
	now := ident.Moment(1e12)
	s := follower(now)
	s.Append(appendFrom(3, 10, 3, 12, noop(3, 11), noop(3, 12)), now)
	settle(s, now)
	s.Append(appendFrom(4, 10, 3, 12, noop(4, 11)), now)
	o := s.Flush(now)
	require.EqualValues(t, 12, s.Last())
	require.EqualValues(t, 3, s.lastTerm())
	require.NotEmpty(t, o.Notes)
}

func TestAReplyMeantForAnEarlierLifeLeavesABlankVoterBlank(t *testing.T) {
	now := ident.Moment(1e12)
	for name, f := range map[string]func(s *State){
		"vote":     func(s *State) { s.VoteReply(&wire.VoteReply{Term: 9, Asked: 9}, now) },
		"append":   func(s *State) { s.AppendReply(&wire.AppendReply{Term: 9}, now) },
		"snapshot": func(s *State) { s.SnapshotReply(&wire.SnapshotReply{Term: 9}, now) },
	} {
		s := New(Self{Voter: "b/2", Member: "b", Addr: "b:1"}, []ident.Addr{"a:1"}, nil, 1, now)
		f(s)
		require.Equal(t, Blank, s.Role(), name)
		s.Founding(&wire.Founding{Voter: "a", Member: "a", Addr: "a:1", Answer: true}, now)
		s.Tick(now.Add(time.Second))
		learn := false
		for _, m := range s.Flush(now).Sends {
			learn = learn || m.Frame.GetFounding().GetLearn()
		}
		require.True(t, learn, "%s: it still asks to be let in", name)
	}
}
