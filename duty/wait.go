package duty

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	HeadWait = 5 * time.Second
	IdleWait = 2 * time.Minute
)

// Waits tells how long a requester may take over a head, and stay idle; 0 leaves a wait as it is.
type Waits func() (head, idle time.Duration)

type patient struct {
	net.Listener
	waits Waits
}

func (p patient) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &waiting{Conn: c, waits: p.waits}, nil
}

type waiting struct {
	net.Conn
	waits Waits
	lengths
}

// Patient bounds the waits of each connection that comes in (none if w is nil) and counts the lengths
// it states, for Framed.
func Patient(ear net.Listener, w Waits) net.Listener { return patient{ear, w} }

// lengths counts the lines that state a body's length, wherever they stand, for net/http drops them
// without a word where a body comes in chunks.
type lengths struct {
	lock sync.Mutex
	line []byte
	seen int
}

var lengthLine = []byte("content-length")

func (l *lengths) hear(b []byte) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for len(b) > 0 {
		at := bytes.IndexByte(b, '\n')
		part := b
		if at >= 0 {
			part = b[:at]
		}
		if room := len(lengthLine) - len(l.line); room > 0 {
			l.line = append(l.line, part[:min(room, len(part))]...)
			if len(l.line) == len(lengthLine) && bytes.EqualFold(l.line, lengthLine) {
				l.seen++
			}
		}
		if at < 0 {
			return
		}
		l.line, b = l.line[:0], b[at+1:]
	}
}

func (w *waiting) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.hear(b[:n])
	return n, err
}

// Framed tells whether a request's end is beyond doubt: not where a length stood beside chunks, nor
// in a version without chunks, where net/http would read the next request from the body's rest.
func Framed(r *http.Request) bool {
	w, ok := r.Context().Value(connKey{}).(*waiting)
	if !ok {
		return r.ProtoAtLeast(1, 1)
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	seen := w.seen
	if r.Header.Get("Content-Length") != "" {
		seen--
	}
	chunked := len(r.TransferEncoding) > 0
	if !chunked {
		w.seen = max(0, seen)
	}
	return r.ProtoAtLeast(1, 1) && (!chunked || seen == 0)
}

func (w *waiting) SyscallConn() (syscall.RawConn, error) { return w.Conn.(syscall.Conn).SyscallConn() }

func (w *waiting) SetReadDeadline(t time.Time) error {
	if w.waits == nil {
		return w.Conn.SetReadDeadline(t)
	}
	head, idle := w.waits()
	most := time.Duration(0)
	left := time.Until(t)
	switch {
	case left > HeadWait:
		most = idle
	case left > HeadWait/2:
		most = head
	}
	if !t.IsZero() && most > 0 && left > most {
		t = time.Now().Add(most)
	}
	return w.Conn.SetReadDeadline(t)
}
