package data

import (
	"time"

	"sloeturn/forward"
	"sloeturn/ident"
)

// denial answers a request that the node's desired state doesn't allow: there is no such route, or the
// request exceeds a limit. Past the node's lease a newer state that allows it may be in effect, so the
// node then states only that the request did not run.
func (n *Node) denial(status int, reason string) forward.Answer {
	now := ident.Now()
	if int64(now) < n.leaseEnd.Load() {
		return forward.Answer{Status: status, Ran: forward.RanNo, Reason: reason}
	}
	return forward.Answer{Status: 503, Ran: forward.RanNo, Reason: "out of touch: a newer desired state may allow this; the last: " + reason, RetryAfter: n.startupRetryAfter(now)}
}

// deniedByState reports whether a status follows from the desired state.
func deniedByState(status int) bool {
	switch status {
	case 401, 404, 413, 431:
		return true
	}
	return false
}

// refusal answers a request that this node doesn't accept.
func (n *Node) refusal(status int, reason string, retryAfter time.Duration) forward.Answer {
	if deniedByState(status) {
		return n.denial(status, reason)
	}
	return forward.Answer{Status: status, Ran: forward.RanNo, Reason: reason, RetryAfter: retryAfter}
}
