package data

import (
	"time"

	"sloeturn/daemon"
	"sloeturn/ident"
)

// writeCloser is a connection whose sending half can be closed separately.
type writeCloser interface{ CloseWrite() error }

// cancel withdraws an attempt that nobody waits for. If its request was written, the sending half of
// the connection is closed: the backend sees that its caller has gone and stops, and the end of the
// other half, or its answer, proves that it did. Until then the slot stays in use.
func (n *Node) cancel(id ident.RequestID) {
	n.lock.Lock()
	defer n.lock.Unlock()
	pending := n.calls[id]
	if pending == nil {
		return
	}
	pending.canceled.Store(true)
	if pending.conn == nil || !pending.started {
		return
	}
	if c, ok := pending.conn.Conn.(writeCloser); ok {
		c.CloseWrite()
	}
}

// findGoneClients looks for clients that left unseen by net/http, which stops reading a connection
// from the first byte of a pipelined request until the present one is answered.
func (n *Node) findGoneClients() {
	n.lock.Lock()
	var waiting []*call
	for _, pending := range n.calls {
		if pending.primary == nil && pending.endedAt == 0 {
			waiting = append(waiting, pending)
		}
	}
	n.lock.Unlock()
	for _, pending := range waiting {
		if daemon.ClientGone(pending.req) {
			pending.wakeClientGone()
		}
	}
}

// wakeClientGone wakes the goroutine that serves a client which has left.
func (pending *call) wakeClientGone() {
	select {
	case pending.clientGone <- struct{}{}:
	default:
	}
}

// abort ends an attempt's reading and writing, so that its slot is reclaimed.
func (n *Node) abort(id ident.RequestID) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if pending := n.calls[id]; pending != nil && pending.conn != nil {
		pending.reclaimed = true
		pending.conn.SetDeadline(time.Unix(1, 0))
	}
}
