package forward

import (
	"time"

	"sloeturn/admission"
	"sloeturn/ident"
)

type (
	// Dial asks for a connection to a backend: an idle one if Reuse says so, else a new one.
	Dial struct {
		Request ident.RequestID
		Attempt int
		Key     admission.Key
		Backend admission.Backend
		Reuse   bool
		Until   ident.Moment
	}
	// Write sends a request, unless NotAfter has passed; the backend is asked to answer by AnswerBy, and
	// the connection is closed at Until.
	Write struct {
		Request  ident.RequestID
		Attempt  int
		NotAfter ident.Moment
		AnswerBy ident.Moment
		Until    ident.Moment
	}
	// ReturnConnection gives an attempt's connection back unused.
	ReturnConnection struct{ Request ident.RequestID }
	// CloseConnection closes an attempt's connection, to reclaim its slot.
	CloseConnection struct{ Request ident.RequestID }
	// Cancel cancels a request that was sent and whose answer nobody waits for. The executor
	// closes its half of the connection; the slot is held until the backend ends the other half.
	Cancel struct{ Request ident.RequestID }
	// Discard drops the answer of an attempt, which is still being read and which nobody waits for.
	Discard struct {
		Request ident.RequestID
		Attempt int
	}
	// Revoke cuts off a request's client, which holds up a transfer while others wait for its slot.
	Revoke struct{ Request ident.RequestID }
	// Deliver passes an attempt's answer on to the client.
	Deliver struct {
		Request ident.RequestID
		Attempt int
	}
	// Answer has the gateway itself answer the client.
	Answer struct {
		Request    ident.RequestID
		Status     int
		Ran        Ran
		Reason     string
		RetryAfter time.Duration
		Known      uint32
	}
	// Claim claims a request's idempotency key, Release gives it up, Outcome records the status of its answer.
	Claim   struct{ Request *Request }
	Release struct{ Request *Request }
	Outcome struct {
		Request *Request
		Status  int
	}
	// Hedge announces a second attempt of an overdue request, in parallel with the first.
	Hedge struct {
		Request ident.RequestID
		Hedge   ident.RequestID
	}
	// Eject keeps a backend from being used; with Probe, until a probe of it has succeeded.
	Eject struct {
		Addr  ident.Addr
		Probe bool
	}
	// Trace reports a request's transition from one phase to another.
	Trace struct {
		Request ident.RequestID
		Lane    ident.Lane
		From    Phase
		To      Phase
		Addr    ident.Addr
		Note    string
	}
)
