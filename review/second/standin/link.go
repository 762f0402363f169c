package main

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// A link has the segments of an ordinary network and small windows, as links have by our pages: what a
// sender may have on its way beyond its own buffer is little.
const (
	linkWindow  = 4 << 10
	linkSegment = 1460
)

// link passes bytes between the machines and a backend. While it is cut it passes none; what it has taken
// isn't lost.
type link struct {
	address  string
	listener net.Listener
	target   string

	lock sync.Mutex
	// healed is closed when the cut ends; nil while there is none.
	healed chan struct{}
}

func newLink(address, target string) (*link, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, linkSegment)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: listener.Addr().String(), listener: listener, target: target}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go l.pass(connection)
		}
	}()
	return l, nil
}

func (l *link) cut() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

func (l *link) heal() {
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// await waits while the link is cut.
func (l *link) await() {
	l.lock.Lock()
	healed := l.healed
	l.lock.Unlock()
	if healed != nil {
		<-healed
	}
}

func (l *link) pass(near net.Conn) {
	defer near.Close()
	l.await()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 4<<10)
		for {
			l.await()
			count, err := from.Read(buffer)
			l.await()
			if count > 0 {
				if _, err := to.Write(buffer[:count]); err != nil {
					return
				}
			}
			if err != nil {
				if half, ok := to.(*net.TCPConn); ok {
					half.CloseWrite()
				}
				return
			}
		}
	}
	go pump(far, near)
	go pump(near, far)
	<-done
	<-done
}
