package control

import (
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// Events that State.Step takes.
type (
	// FrameReceived is a frame from another member.
	FrameReceived struct{ Frame *wire.Frame }
	// Tick lets time pass.
	Tick struct{}
	// DiskSynced reports that the records up to Seq are on disk. Used is the share of the log ring in
	// use, FreeBytes (in bytes) what is left of it.
	DiskSynced struct {
		Seq       uint64
		Used      float64
		FreeBytes int64
	}
	// DiskState reports whether the disk stalls or fails.
	DiskState struct{ Ailing bool }
	// CopiesSaved reports whether the cell copies were written.
	CopiesSaved struct{ OK bool }
	// Announce is a backend's heartbeat, drain or deregistration that was received here.
	Announce struct {
		Token    uint64
		Announce *wire.Announce
	}
	// Change is a change for the replicated log that was requested here.
	Change struct {
		Token  uint64
		Change *wire.Change
		Wait   time.Duration
	}
	// Drain starts the planned stop of this process.
	Drain struct{}
	// Query reads the state.
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

// Outputs of State that Node acts on, besides frames, disk records and decisions.
type (
	// AnnounceResult answers an Announce by its token.
	AnnounceResult struct {
		Token uint64
		Code  uint32
		Text  string
	}
	// ChangeResult answers a Change by its token.
	ChangeResult struct {
		Token uint64
		Reply *wire.ProposeReply
	}
	// SaveCopies asks for a write of the cell copies.
	SaveCopies struct{ Document []byte }
	// LogNote is a line for the log.
	LogNote struct{ Text string }
	// Exit ends the process after a drain.
	Exit struct{}
)
