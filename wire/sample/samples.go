// Package sample holds example frames for the tests of packages that read frames.
package sample

import "sloeturn/wire"

// Frames returns one frame of each kind.
func Frames() []*wire.Frame {
	card := &wire.Card{Id: "m", Addr: "10.0.0.2:1", Cell: "a", Incarnation: 3, Role: 1}
	backend := &wire.Backend{Addr: "10.1.0.1:80", Service: "s", Incarnation: "i", Slots: 4, Work: 4, Beat: 1, Pulse: 2, Version: 1}
	core := &wire.Core{Version: 9, Generation: 2, InForce: 2, Grown: 2, SeatCount: 3, LeaderAddr: "10.0.0.2:1", Leader: "m", Seats: []*wire.Seat{{Member: "n", Addr: "10.0.0.1:1", Incarnation: 7}}, Floors: []*wire.Floor{{Lane: "l", Service: "s", Slots: 2}}, Holds: []*wire.Hold{{Cell: "a", Holder: "c", Incarnation: 7, Epoch: 1}}}
	change := &wire.Change{Body: &wire.Change_SetDesired{SetDesired: &wire.SetDesired{ChangeId: "x", Doc: []byte(`{"fleet":{"nodes":1}}`)}}}
	frames := []*wire.Frame{
		{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{}}},
		{Body: &wire.Frame_Table{Table: &wire.Table{Cards: []*wire.Card{card}}}},
		{Body: &wire.Frame_Ask{Ask: &wire.Ask{Confirms: []*wire.Confirm{{Member: "n", Incarnation: 7, Staged: 2}}, Cells: []*wire.CellHave{{Cell: "a", Epoch: 1, Upto: 3}}}}},
		{Body: &wire.Frame_News{News: &wire.News{Core: core, Cells: []*wire.CellNews{{Cell: "a", Epoch: 1, Ranges: []*wire.Range{{Backends: []*wire.Backend{backend}}}}}}}},
		{Body: &wire.Frame_Propose{Propose: &wire.Propose{Token: 1, Change: change}}},
		{Body: &wire.Frame_ProposeReply{ProposeReply: &wire.ProposeReply{Token: 1, Generation: 2}}},
		{Body: &wire.Frame_Announce{Announce: &wire.Announce{Addr: "10.1.0.1:80", Service: "s", Slots: 4, Cell: "a"}}},
		{Body: &wire.Frame_AnnounceReply{AnnounceReply: &wire.AnnounceReply{Token: 1, Code: 200}}},
		{Body: &wire.Frame_Bequest{Bequest: &wire.Bequest{Cell: "a", Epoch: 1, Backends: []*wire.Backend{backend}}}},
	}
	entry := &wire.Entry{Term: 1, Index: 1, Change: change}
	frames = append(frames,
		&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Least: 1, Most: 9}}},
		&wire.Frame{Body: &wire.Frame_Vote{Vote: &wire.Vote{Term: 2}}},
		&wire.Frame{Body: &wire.Frame_VoteReply{VoteReply: &wire.VoteReply{Term: 2, Granted: true, Voter: "c/d"}}},
		&wire.Frame{Body: &wire.Frame_Append{Append: &wire.Append{Term: 2, Entries: []*wire.Entry{entry}}}},
		&wire.Frame{Body: &wire.Frame_AppendReply{AppendReply: &wire.AppendReply{Term: 1, Voter: "c/d", Ok: true, Match: 9}}},
		&wire.Frame{Body: &wire.Frame_Snapshot{Snapshot: &wire.Snapshot{Term: 2, LastIndex: 5, LastTerm: 1, Target: "c/d", Image: []byte{1, 2}}}},
		&wire.Frame{Body: &wire.Frame_SnapshotChunk{SnapshotChunk: &wire.SnapshotChunk{Term: 2, LastIndex: 5, LastTerm: 1, Target: "c/d", Sum: 7, Size: 4, Data: []byte{1, 2}}}},
		&wire.Frame{Body: &wire.Frame_SnapshotChunkReply{SnapshotChunkReply: &wire.SnapshotChunkReply{Term: 2, Voter: "c/d", LastIndex: 5, Sum: 7, Have: 2}}},
		&wire.Frame{Body: &wire.Frame_SnapshotReply{SnapshotReply: &wire.SnapshotReply{Term: 1, Voter: "c/d", Match: 5}}},
		&wire.Frame{Body: &wire.Frame_Handoff{Handoff: &wire.Handoff{Term: 1, Target: "c/d"}}},
		&wire.Frame{Body: &wire.Frame_Founding{Founding: &wire.Founding{Voter: "c/e", Addr: "10.0.0.2:1", Blank: true}}},
	)
	for _, frame := range frames {
		frame.From, frame.Addr = "m", "10.0.0.2:1"
	}
	return frames
}
