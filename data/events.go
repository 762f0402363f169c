package data

import (
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

type (
	Got       struct{ Frame *wire.Frame }
	Tick      struct{}
	Arrive    struct{ forward.Arrival }
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
	NotWritten struct {
		Request ident.RequestID
		Attempt int
		Why     string
	}
	Ended struct {
		Request ident.RequestID
		Attempt int
		Ending  forward.Ending
		Status  int
	}
	Freed struct {
		Key  pass.Key
		Keep bool
		Bar  bool
	}
	IdleBroke struct {
		Key pass.Key
		Bar bool
	}
	ClientLeft struct{ Request ident.RequestID }
	GuardMade  struct {
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
	Announce struct {
		Token    uint64
		Announce *wire.Announce
	}
	Drain struct{}
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

type (
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
	Shed      struct{ Lives map[ident.Addr]string }
	Announced struct {
		Token uint64
		Code  uint32
		Text  string
	}
	Adopt struct {
		Generation ident.Generation
		Desired    *desired.State
		Trial      string
	}
	Exit struct{}
	Note struct{ Text string }
)
