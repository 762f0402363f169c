package duty

import (
	"net"
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
	return &waiting{c, p.waits}, nil
}

type waiting struct {
	net.Conn
	waits Waits
}

func (w *waiting) SyscallConn() (syscall.RawConn, error) { return w.Conn.(syscall.Conn).SyscallConn() }

func (w *waiting) SetReadDeadline(t time.Time) error {
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
