package forward

import (
	"time"

	"sloeturn/admission"
	"sloeturn/desired"
	"sloeturn/ident"
)

// Phase is how far an attempt has come.
type Phase int

const (
	Waiting Phase = iota
	Admitted
	Connected
	Claimed
	Sent
	Answered
)

func (p Phase) String() string {
	return [...]string{"waiting", "admitted", "connected", "claimed", "sent", "answered"}[p]
}

// Ran tells a client whether its request has been executed: no, yes, or not known.
type Ran string

const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

const (
	// MaxAdmissionWait is the longest time that a request waits for a slot, a connection and its claim.
	MaxAdmissionWait = 180 * time.Millisecond
	hedgeSuffix      = "-beside"
)

// Arrival is a request as a client sent it. Key and BodyDigest are set for a request whose idempotency
// key is claimed before it is sent; the digest covers its method, path, query and body.
type Arrival struct {
	ID         ident.RequestID
	Lane       ident.Lane
	Rule       *desired.Lane
	Key        []byte
	BodyDigest []byte
	Arrived    ident.Moment
	Deadline   ident.Moment
	// SingleUse: only the beginning of the body is held, so that it can be sent to one backend only.
	SingleUse bool
}

// Ending is how an attempt that was sent ended.
type Ending int

const (
	Complete    Ending = iota // a whole answer, of whatever status
	Malformed                 // an answer that can't be trusted
	Broken                    // the connection ended before a whole answer
	TimedOut                  // no answer until the slot was reclaimed
	Rejected                  // the backend states that it did not run the request
	Misdirected               // the same, because the address now belongs to another backend
	Canceled                  // the connection ended after this node had canceled the attempt
	Unread                    // an answer came that this node has no memory for
	Unfinished                // the client did not send the rest of the body
)

func (e Ending) String() string {
	return [...]string{"whole", "garbled", "broken", "late", "turned away", "moved", "canceled", "unread", "unfinished"}[e]
}

// Request is a client's request and its present attempt at a backend. A hedge, sent in parallel with an
// overdue attempt, is a Request of its own with the same Arrival.
type Request struct {
	Arrival
	Phase           Phase
	Attempt         int // counts from 1
	Backend         admission.Backend
	Reuse           bool
	GiveUpAt        ident.Moment
	AnswerBy        ident.Moment
	ReclaimAt       ident.Moment // when the slot of a sent attempt is reclaimed
	ClaimProposal   uint64       // the proposal that claims its key
	Done            bool         // nobody waits for its answer any more
	MayHaveRun      bool         // an earlier attempt may have run
	FallbackAttempt int          // the attempt whose answer is delivered if no later one has a better; 0: none
	HoldsClaim      bool         // its key is claimed and must be released if it isn't sent
	waitingSince    ident.Moment
	sentAt          ident.Moment
	timedOut        bool                // its deadline passed before it ended
	canceled        bool                // its cancellation was requested
	bodySpent       bool                // its body was sent and can't be sent again
	begun           bool                // its client is being given the answer
	slowSince       ident.Moment        // since when its client holds up a transfer; 0: it doesn't
	revokedAt       ident.Moment        // when its client was cut off for others; 0: it wasn't
	hedge           bool                // it is the second attempt of a hedged request
	partner         ident.RequestID     // the other attempt of a hedged request; empty: none
	tried           map[ident.Addr]bool // backends that are not tried again
}

// Key is the connection pool of the present attempt.
func (req *Request) Key() admission.Key { return admission.Key{Lane: req.Lane, Addr: req.Backend.Addr} }

// latencyKind is the route, or else the lane, within which latencies are compared.
func (req *Request) latencyKind() string {
	if req.Rule.Route != "" {
		return req.Rule.Route
	}
	return string(req.Lane)
}
