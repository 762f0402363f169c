package forward

import (
	"time"

	"sloeturn/ident"
	"sloeturn/pass"
)

type (
	// Dial asks for a connection to a backend: an idle one if Reuse says so, else a new one.
	Dial struct {
		Request ident.RequestID
		Attempt int
		Key     pass.Key
		Backend pass.Backend
		Reuse   bool
		Until   ident.Moment
	}
	// Write sends a request, unless NotAfter has passed; the backend is told to answer by AnswerBy, and
	// the connection is closed at Until.
	Write struct {
		Request  ident.RequestID
		Attempt  int
		NotAfter ident.Moment
		AnswerBy ident.Moment
		Until    ident.Moment
	}
	// Drop gives an attempt's connection back unused.
	Drop struct{ Request ident.RequestID }
	// Cut closes an attempt's connection, to take its slot back.
	Cut struct{ Request ident.RequestID }
	// Cancel withdraws a request that was sent and whose answer nobody waits for. The executor
	// closes its half of the connection; the slot is held until the backend ends the other half.
	Cancel struct{ Request ident.RequestID }
	// Deliver passes an attempt's answer on to the client.
	Deliver struct {
		Request ident.RequestID
		Attempt int
	}
	// Answer has the gateway answer in its own words.
	Answer struct {
		Request    ident.RequestID
		Status     int
		Ran        Ran
		Reason     string
		RetryAfter time.Duration
		Known      uint32
	}
	// Claim claims a request's idempotency key, Release gives it up, Outcome notes its answer's status.
	Claim   struct{ Request *Request }
	Release struct{ Request *Request }
	Outcome struct {
		Request *Request
		Status  int
	}
	// Hedge announces a second attempt beside a request's first.
	Hedge struct {
		Request ident.RequestID
		Hedge   ident.RequestID
	}
	// Bar keeps a backend from being used; with Ask until its guard has answered.
	Bar struct {
		Addr ident.Addr
		Ask  bool
	}
	// Trace tells of a request's move from one phase to the next.
	Trace struct {
		Request ident.RequestID
		Lane    ident.Lane
		From    Phase
		To      Phase
		Addr    ident.Addr
		Note    string
	}
)
