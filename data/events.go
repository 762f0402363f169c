package data

import (
	"sloeturn/admission"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

// Events, the input of the reducer.
type (
	// FrameReceived is a frame from another member.
	FrameReceived struct{ Frame *wire.Frame }
	// Tick is the event loop's periodic event.
	Tick struct{}
	// RequestArrived is a request whose body, or the beginning of a long one, has been read.
	RequestArrived struct{ forward.Arrival }
	// Connected reports that an attempt has a connection, ConnectFailed that it got none; with Eject
	// because the backend refused it.
	Connected struct {
		Request ident.RequestID
		Attempt int
	}
	ConnectFailed struct {
		Request ident.RequestID
		Attempt int
		Key     admission.Key
		Eject   bool
	}
	// NotWritten reports that no byte of an attempt was written.
	NotWritten struct {
		Request ident.RequestID
		Attempt int
		Why     string
	}
	// AttemptEnded reports how a written attempt ended and the status of its answer, 0 if there was none.
	AttemptEnded struct {
		Request ident.RequestID
		Attempt int
		Ending  forward.Ending
		Status  int
	}
	// AnswerBegun reports that the beginning of a long answer was read and checked.
	AnswerBegun struct {
		Request ident.RequestID
		Attempt int
		Status  int
	}
	// BodySent reports that a long body was passed on whole.
	BodySent struct {
		Request ident.RequestID
		Attempt int
	}
	// TransferSlow reports whether a client holds up the transfer of its body or of its answer.
	TransferSlow struct {
		Request ident.RequestID
		Slow    bool
	}
	// ConnectionFreed reports that an attempt's connection was closed, or with Keep that it is idle and can
	// be reused. Eject: the backend is to be ejected.
	ConnectionFreed struct {
		Key   admission.Key
		Keep  bool
		Eject bool
	}
	// IdleConnectionEnded reports that an idle connection has ended.
	IdleConnectionEnded struct {
		Key   admission.Key
		Eject bool
	}
	// ClientLeft reports that a client closed its connection before it was answered.
	ClientLeft struct{ Request ident.RequestID }
	// AnswerWritten reports that an answer was written completely, or that its client has gone.
	AnswerWritten struct{ Request ident.RequestID }
	// ProbeConnected, ProbeSucceeded and ProbeLost report on the probe connection to a backend.
	// ServiceNamed: the first answer named the backend's service.
	ProbeConnected struct {
		Addr         ident.Addr
		Incarnation  string
		ServiceNamed bool
	}
	ProbeSucceeded struct {
		Addr        ident.Addr
		Incarnation string
	}
	ProbeLost struct {
		Addr        ident.Addr
		Incarnation string
		Why         string
	}
	// AnnounceReceived is a backend's heartbeat, drain or deregistration.
	AnnounceReceived struct {
		Token    uint64
		Announce *wire.Announce
	}
	// Drain starts the planned stop.
	Drain struct{}
	// Query runs a function on the reducer's state, in the event loop.
	Query struct {
		Do func(s *State, now ident.Moment)
	}
)

// Effects, the output of the reducer, in addition to those of its components.
type (
	// StartProbe starts the probe of a backend, StopProbe ends it, ProbeNow makes it send a request at
	// once.
	StartProbe struct {
		Addr        ident.Addr
		Service     ident.Service
		Incarnation string
		Probe       desired.Probe
	}
	StopProbe struct {
		Addr        ident.Addr
		Incarnation string
	}
	ProbeNow struct {
		Addr        ident.Addr
		Incarnation string
	}
	// CloseStaleConns closes the idle connections to all incarnations but those given.
	CloseStaleConns struct{ Incarnations map[ident.Addr]string }
	// AnnounceAnswered answers an AnnounceReceived with an HTTP status.
	AnnounceAnswered struct {
		Token uint64
		Code  uint32
		Text  string
	}
	// ConfigAdopted gives the configuration that applies to requests from now on.
	ConfigAdopted struct {
		Generation ident.Generation
		Desired    *desired.State
		Trial      string
	}
	// Exit ends the process.
	Exit struct{}
	// LogNote is a line for the log.
	LogNote struct{ Text string }
)
