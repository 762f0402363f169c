package sample

import . "sloeturn/wire"

// Frames gives one of each kind, for tests that read bytes.
func Frames() []*Frame {
	card := &Card{Id: "m", Addr: "10.0.0.2:1", Cell: "a", Incarnation: 3, Role: 1}
	back := &Backend{Addr: "10.1.0.1:80", Service: "s", Incarnation: "i", Slots: 4, Work: 4, Beat: 1, Pulse: 2, Version: 1}
	core := &Core{Version: 9, Generation: 2, InForce: 2, Grown: 2, SeatCount: 3, LeaderAddr: "10.0.0.2:1", Leader: "m", Seats: []*Seat{{Member: "n", Addr: "10.0.0.1:1", Incarnation: 7}}, Floors: []*Floor{{Lane: "l", Service: "s", Slots: 2}}, Holds: []*Hold{{Cell: "a", Holder: "c", Incarnation: 7, Epoch: 1}}}
	change := &Change{Body: &Change_SetDesired{SetDesired: &SetDesired{ChangeId: "x", Doc: []byte(`{"fleet":{"nodes":1}}`)}}}
	bodies := []*Frame{
		{Body: &Frame_Heartbeat{Heartbeat: &Heartbeat{}}},
		{Body: &Frame_Table{Table: &Table{Cards: []*Card{card}}}},
		{Body: &Frame_Ask{Ask: &Ask{Confirms: []*Confirm{{Member: "n", Incarnation: 7, Staged: 2}}, Cells: []*CellHave{{Cell: "a", Epoch: 1, Upto: 3}}}}},
		{Body: &Frame_News{News: &News{Core: core, Cells: []*CellNews{{Cell: "a", Epoch: 1, Ranges: []*Range{{Backends: []*Backend{back}}}}}}}},
		{Body: &Frame_Propose{Propose: &Propose{Token: 1, Change: change}}},
		{Body: &Frame_ProposeReply{ProposeReply: &ProposeReply{Token: 1, Generation: 2}}},
		{Body: &Frame_Announce{Announce: &Announce{Addr: "10.1.0.1:80", Service: "s", Slots: 4, Cell: "a"}}},
		{Body: &Frame_AnnounceReply{AnnounceReply: &AnnounceReply{Token: 1, Code: 200}}},
		{Body: &Frame_Bequest{Bequest: &Bequest{Cell: "a", Epoch: 1, Backends: []*Backend{back}}}},
	}
	entry := &Entry{Term: 1, Index: 1, Change: change}
	bodies = append(bodies,
		&Frame{Body: &Frame_Hello{Hello: &Hello{Least: 1, Most: 9}}},
		&Frame{Body: &Frame_Vote{Vote: &Vote{Term: 2}}},
		&Frame{Body: &Frame_VoteReply{VoteReply: &VoteReply{Term: 2, Granted: true, Voter: "c/d"}}},
		&Frame{Body: &Frame_Append{Append: &Append{Term: 2, Entries: []*Entry{entry}}}},
		&Frame{Body: &Frame_AppendReply{AppendReply: &AppendReply{Term: 1, Voter: "c/d", Ok: true, Match: 9}}},
		&Frame{Body: &Frame_Snapshot{Snapshot: &Snapshot{Term: 2, LastIndex: 5, LastTerm: 1, Target: "c/d", Image: []byte{1, 2}}}},
		&Frame{Body: &Frame_SnapshotChunk{SnapshotChunk: &SnapshotChunk{Term: 2, LastIndex: 5, LastTerm: 1, Target: "c/d", Sum: 7, Size: 4, Data: []byte{1, 2}}}},
		&Frame{Body: &Frame_SnapshotChunkReply{SnapshotChunkReply: &SnapshotChunkReply{Term: 2, Voter: "c/d", LastIndex: 5, Sum: 7, Have: 2}}},
		&Frame{Body: &Frame_SnapshotReply{SnapshotReply: &SnapshotReply{Term: 1, Voter: "c/d", Match: 5}}},
		&Frame{Body: &Frame_Handoff{Handoff: &Handoff{Term: 1, Target: "c/d"}}},
		&Frame{Body: &Frame_Founding{Founding: &Founding{Voter: "c/e", Addr: "10.0.0.2:1", Blank: true}}},
	)
	for _, f := range bodies {
		f.From, f.Addr = "m", "10.0.0.2:1"
	}
	return bodies
}
