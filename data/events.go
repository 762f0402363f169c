package data

import (
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

// The events of the reducer.
type (
	// Got is a frame that came in.
	Got struct{ Frame *wire.Frame }
	// Tick is the loop's beat.
	Tick struct{}
	// Arrive is a request whose body has been read.
	Arrive struct{ forward.Arrival }
	// Connected tells that an attempt has its connection, ConnectFailed that it got none; Bar that the
	// backend refused.
	Connected struct {
		Request ident.RequestID
		Attempt int
	}
	ConnectFailed struct {
		Request ident.RequestID
		Attempt int
		Key     pass.Key
		Bar     bool
	}
	// NotWritten tells that no byte of an attempt was written.
	NotWritten struct {
		Request ident.RequestID
		Attempt int
		Why     string
	}
	// Ended tells how a written attempt ended, and the status of its answer; 0 if it had none.
	Ended struct {
		Request ident.RequestID
		Attempt int
		Ending  forward.Ending
		Status  int
	}
	// Freed tells that an attempt's connection has ended, or with Keep that it rests for another.
	Freed struct {
		Key  pass.Key
		Keep bool
		Bar  bool
	}
	// IdleBroke tells that a resting connection has ended.
	IdleBroke struct {
		Key pass.Key
		Bar bool
	}
	// ClientLeft tells that a client closed its connection before it was answered.
	ClientLeft struct{ Request ident.RequestID }
	// Written tells that a delivered answer was written to its end, or that its client has gone.
	Written struct{ Request ident.RequestID }
	// GuardMade, GuardSound and GuardLost tell of the probe's connection to a backend.
	GuardMade struct {
		Addr  ident.Addr
		Life  string
		Named bool
	}
	GuardSound struct {
		Addr ident.Addr
		Life string
	}
	GuardLost struct {
		Addr ident.Addr
		Life string
		Why  string
	}
	// Announce is a backend's heartbeat, drain or sign-off.
	Announce struct {
		Token    uint64
		Announce *wire.Announce
	}
	// Drain is the order to stop as planned.
	Drain struct{}
	// Query runs a function on the reducer's state.
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

// The effects of the reducer, beside those of its parts.
type (
	// Guard starts the probe of a backend, GuardEnd ends it, GuardAsk has it ask at once.
	Guard struct {
		Addr    ident.Addr
		Service ident.Service
		Life    string
		Probe   desired.Probe
	}
	GuardEnd struct {
		Addr ident.Addr
		Life string
	}
	GuardAsk struct {
		Addr ident.Addr
		Life string
	}
	// Shed closes the resting connections to all lives but those given.
	Shed struct{ Lives map[ident.Addr]string }
	// Announced answers an Announce with an HTTP status.
	Announced struct {
		Token uint64
		Code  uint32
		Text  string
	}
	// Adopt tells which configuration requests are decided by from now on.
	Adopt struct {
		Generation ident.Generation
		Desired    *desired.State
		Trial      string
	}
	// Exit ends the process.
	Exit struct{}
	// Note is a line for the log.
	Note struct{ Text string }
)
