package data

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"sloeturn/admission"
	"sloeturn/daemon"
	"sloeturn/ident"
)

// takeIdle returns an idle connection to a backend's incarnation, the newest first, or nil. It closes
// those that can't be used any more.
func (n *Node) takeIdle(key admission.Key, incarnation string) *conn {
	ended := 0
	defer func() {
		for ; ended > 0; ended-- {
			n.Put(IdleConnectionEnded{key, false})
		}
	}()
	for {
		n.lock.Lock()
		list := n.idleConns[key]
		if len(list) == 0 {
			n.lock.Unlock()
			ended--
			return nil
		}
		c := list[len(list)-1]
		n.idleConns[key] = list[:len(list)-1]
		n.lock.Unlock()
		if c.stopWatch() && c.incarnation == incarnation && !c.idleTooLong(ident.Now()) && c.silent() {
			return c
		}
		c.Close()
		ended++
	}
}

// stopWatch ends the watch of an idle connection; false if the connection had ended or received data.
func (c *conn) stopWatch() bool {
	c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watchEnd
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// idleTooLong reports whether a connection was idle for too long to be reused: three quarters of the
// backend's keep-alive timeout, so that it isn't reused as the backend closes it.
func (c *conn) idleTooLong(now ident.Moment) bool {
	limit := admission.IdleTimeout
	if c.keepAlive > 0 {
		limit = min(limit, c.keepAlive*3/4)
	}
	return now.Sub(c.idleSince) > limit
}

// keepAliveTimeout returns the timeout of a Keep-Alive header; 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, n, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseUint(n, 10, 31); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// silent reports whether a connection is open and has no unread data.
func (c *conn) silent() bool { return c.reader.Buffered() == 0 && daemon.ConnectionSilent(c.Conn) }

// putIdle keeps a connection for reuse.
func (n *Node) putIdle(c *conn) {
	c.SetDeadline(time.Time{})
	c.watchEnd = make(chan error, 1)
	c.idleSince = ident.Now()
	n.lock.Lock()
	n.idleConns[c.key] = append(n.idleConns[c.key], c)
	n.lock.Unlock()
	go n.watchIdle(c)
}

// watchIdle waits for an idle connection to end or to receive unsolicited data, which would be taken for
// the answer to the next request; either closes it.
func (n *Node) watchIdle(c *conn) {
	_, err := c.reader.Peek(1)
	if err == nil {
		err = errors.New("bytes nobody asked for")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.watchEnd <- err
		return
	}
	n.lock.Lock()
	found := false
	list := n.idleConns[c.key]
	for i, other := range list {
		if other == c {
			n.idleConns[c.key] = append(append([]*conn(nil), list[:i]...), list[i+1:]...)
			found = true
		}
	}
	n.lock.Unlock()
	c.watchEnd <- err
	if found {
		c.Close()
		n.Put(IdleConnectionEnded{c.key, true})
	}
}

// closeIdle closes up to count idle connections of a key, the oldest first.
func (n *Node) closeIdle(key admission.Key, count int) {
	for i := 0; i < count; i++ {
		n.lock.Lock()
		list := n.idleConns[key]
		if len(list) == 0 {
			n.lock.Unlock()
			return
		}
		c := list[0]
		n.idleConns[key] = list[1:]
		n.lock.Unlock()
		c.stopWatch()
		c.Close()
		n.Put(IdleConnectionEnded{key, false})
	}
}

// closeStaleIdle closes idle connections to other incarnations than those given.
func (n *Node) closeStaleIdle(incarnations map[ident.Addr]string) {
	n.lock.Lock()
	var stale []*conn
	for key, list := range n.idleConns {
		var keep []*conn
		for _, c := range list {
			if incarnations[key.Addr] == c.incarnation {
				keep = append(keep, c)
			} else {
				stale = append(stale, c)
			}
		}
		n.idleConns[key] = keep
	}
	n.lock.Unlock()
	for _, c := range stale {
		c.stopWatch()
		c.Close()
		n.Put(IdleConnectionEnded{c.key, false})
	}
}

// sweepIdle periodically closes connections that were idle for too long, and looks for gone clients.
func (n *Node) sweepIdle() {
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		n.findGoneClients()
		now := ident.Now()
		n.lock.Lock()
		var stale []*conn
		for key, list := range n.idleConns {
			var keep []*conn
			for _, c := range list {
				if c.idleTooLong(now) {
					stale = append(stale, c)
				} else {
					keep = append(keep, c)
				}
			}
			if len(keep) == 0 {
				delete(n.idleConns, key)
			} else {
				n.idleConns[key] = keep
			}
		}
		n.lock.Unlock()
		for _, c := range stale {
			c.stopWatch()
			c.Close()
			if !n.Put(IdleConnectionEnded{c.key, false}) {
				return
			}
		}
	}
}
