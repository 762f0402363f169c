// Package wire carries protobuf messages in frames over TCP between members.
package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"
)

const (
	frameLimit  = 64 << 20
	ringSize    = 512
	bufferSize  = 4 << 10
	connectWait = 300 * time.Millisecond
	writeWait   = 2 * time.Second
	ackWait     = time.Second
	pieceSize   = 16 << 10
	redialPause = 100 * time.Millisecond
	redialLeast = 10 * time.Millisecond
)

var Speaks = "2-2"

var (
	ErrFrame   = merry.Sentinel("wire: frame unreadable")
	ErrVersion = merry.Sentinel("wire: versions do not overlap")
	ErrListen  = merry.Sentinel("wire: cannot listen")
)

type Send struct {
	To    string
	Frame *Frame
}

type Hub struct {
	Name        string
	Addr        string
	Build       string
	Incarnation uint64
	Log         log.Logger
	Take        func(*Frame)

	lock  sync.Mutex
	links map[string]*link
	held  map[net.Conn]struct{}
	ear   net.Listener
	dial  func(done context.Context, to string) (net.Conn, error)
	done  context.Context
	stop  context.CancelFunc
	Lost  atomic.Uint64
	Sent  atomic.Uint64
	Bytes atomic.Uint64
}

type link struct {
	hub  *Hub
	to   string
	ring chan *Frame
	up   chan struct{}
}

func (h *Hub) Open() error {
	h.links = map[string]*link{}
	h.held = map[net.Conn]struct{}{}
	if h.dial == nil {
		h.dial = func(done context.Context, to string) (net.Conn, error) {
			return (&net.Dialer{Control: unacknowledged}).DialContext(done, "tcp", to)
		}
	}
	h.done, h.stop = context.WithCancel(context.Background())
	ear, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessagef("on %s", h.Addr))
	}
	h.ear = ear
	go h.hear()
	return nil
}

// unacknowledged ends a connection whose peer acknowledges nothing for ackWait; TCP alone tries again later and later, so that a link stays dead for about as long again as a cut was.
func unacknowledged(network, addr string, c syscall.RawConn) error {
	var fault error
	if err := c.Control(func(fd uintptr) {
		fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackWait/time.Millisecond))
	}); err != nil {
		return err
	}
	return fault
}

func (h *Hub) Close() {
	h.stop()
	h.ear.Close()
	h.lock.Lock()
	defer h.lock.Unlock()
	for c := range h.held {
		c.Close()
	}
}

func (h *Hub) hear() {
	for {
		c, err := h.ear.Accept()
		if err != nil {
			if h.done.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go h.read(c)
	}
}

func (h *Hub) keep(c net.Conn) {
	h.lock.Lock()
	h.held[c] = struct{}{}
	h.lock.Unlock()
}

func (h *Hub) drop(c net.Conn) {
	c.Close()
	h.lock.Lock()
	delete(h.held, c)
	h.lock.Unlock()
}

func (h *Hub) read(c net.Conn) {
	h.keep(c)
	defer h.drop(c)
	if err := WriteFrame(c, h.stamp(h.greet())); err != nil {
		return
	}
	b := bufio.NewReaderSize(c, bufferSize)
	g, err := ReadFrame(b)
	if err != nil || g.GetHello() == nil {
		return
	}
	if err := agree(g); err != nil {
		level.Error(h.Log).Log("part", "wire", "msg", "Refused a link.", "from", g.From, "why", err)
		return
	}
	h.rouse(g.Addr)
	for {
		f, err := ReadFrame(b)
		if err != nil {
			return
		}
		if f.Body == nil {
			continue
		}
		if f.Addr == "" {
			f.From, f.Addr, f.Incarnation = g.From, g.Addr, g.Incarnation
		}
		h.Take(f)
	}
}

func (h *Hub) rouse(from string) {
	h.lock.Lock()
	l := h.links[from]
	h.lock.Unlock()
	if l != nil {
		select {
		case l.up <- struct{}{}:
		default:
		}
	}
}

func spoken() (least, most uint32) {
	if _, err := fmt.Sscanf(Speaks, "%d-%d", &least, &most); err != nil || least == 0 || least > most {
		panic("wire: built with versions " + Speaks)
	}
	return least, most
}

func (h *Hub) greet() *Frame {
	least, most := spoken()
	return &Frame{Body: &Frame_Hello{Hello: &Hello{Least: least, Most: most, Build: h.Build, Terse: true}}}
}

func agree(f *Frame) error {
	g := f.GetHello()
	if least, most := spoken(); g.Least > most || g.Most < least {
		return merry.Wrap(ErrVersion, merry.AppendMessagef("theirs %d to %d (%s), ours %d to %d", g.Least, g.Most, g.Build, least, most))
	}
	return nil
}

func (h *Hub) stamp(f *Frame) *Frame {
	f.From, f.Addr, f.Incarnation = h.Name, h.Addr, h.Incarnation
	return f
}

func (h *Hub) Send(to string, f *Frame) {
	if to == h.Addr {
		h.Take(h.stamp(f))
		return
	}
	h.lock.Lock()
	l := h.links[to]
	if l == nil {
		l = &link{hub: h, to: to, ring: make(chan *Frame, ringSize), up: make(chan struct{}, 1)}
		h.links[to] = l
		go l.run()
	}
	h.lock.Unlock()
	select {
	case l.ring <- h.stamp(f):
	default:
		h.Lost.Add(1)
	}
}

func (l *link) run() {
	h := l.hub
	pause := redialLeast
	for {
		var f *Frame
		select {
		case <-h.done.Done():
			return
		case f = <-l.ring:
		}
		if pause = min(2*pause, redialPause); l.serve(f) {
			pause = redialLeast
		}
		select {
		case <-h.done.Done():
			return
		case <-l.up:
		case <-time.After(pause):
		}
	}
}

func (l *link) serve(f *Frame) (stood bool) {
	h := l.hub
	c, err := l.connect()
	if err != nil {
		h.Lost.Add(1 + uint64(l.flush()))
		return false
	}
	h.keep(c)
	defer h.drop(c)
	c.SetDeadline(time.Now().Add(writeWait))
	if WriteFrame(c, h.stamp(h.greet())) != nil {
		return false
	}
	g, err := ReadFrame(c)
	if err != nil || g.GetHello() == nil {
		return false
	}
	if err := agree(g); err != nil {
		level.Error(h.Log).Log("part", "wire", "msg", "Refused a link.", "to", l.to, "why", err)
		return false
	}
	c.SetDeadline(time.Time{})
	gone := make(chan struct{})
	go func() {
		var b [1]byte
		c.Read(b[:])
		close(gone)
	}()
	out := bufio.NewWriterSize(&paced{c}, bufferSize)
	for {
		if g.GetHello().Terse {
			f = &Frame{Body: f.Body}
		}
		n, err := writeTo(out, f)
		if err == nil && len(l.ring) == 0 {
			err = out.Flush()
		}
		if err != nil {
			h.Lost.Add(1)
			return true
		}
		h.Sent.Add(1)
		h.Bytes.Add(uint64(n))
		select {
		case <-h.done.Done():
			return true
		case <-gone:
			return true
		case f = <-l.ring:
		}
	}
}

// paced bounds the time of each piece, not of a whole frame: a large one may take its time on a slow link.
type paced struct{ net.Conn }

func (p *paced) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		p.SetWriteDeadline(time.Now().Add(writeWait))
		k := 0
		k, err = p.Conn.Write(b[n:min(n+pieceSize, len(b))])
		n += k
	}
	return n, err
}

func (l *link) connect() (net.Conn, error) {
	select {
	case <-l.up:
	default:
	}
	for {
		done, stop := context.WithTimeout(l.hub.done, connectWait)
		over := make(chan bool, 1)
		go func() {
			select {
			case <-l.up:
				over <- true
				stop()
			case <-done.Done():
				over <- false
			}
		}()
		c, err := l.hub.dial(done, l.to)
		stop()
		if roused := <-over; err == nil || !roused {
			return c, err
		}
	}
}

func (l *link) flush() int {
	n := 0
	for {
		select {
		case <-l.ring:
			n++
		default:
			return n
		}
	}
}

func writeTo(w io.Writer, f *Frame) (int, error) {
	b, err := proto.Marshal(f)
	if err != nil {
		return 0, merry.Wrap(ErrFrame, merry.WithCause(err))
	}
	var head [4]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(b)))
	if _, err := w.Write(head[:]); err != nil {
		return 0, err
	}
	n, err := w.Write(b)
	return n + 4, err
}

func WriteFrame(w io.Writer, f *Frame) error {
	_, err := writeTo(w, f)
	return err
}

func ReadFrame(r io.Reader) (*Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameLimit {
		return nil, merry.Wrap(ErrFrame, merry.AppendMessagef("%d bytes", n))
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	f := &Frame{}
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, merry.Wrap(ErrFrame, merry.WithCause(err))
	}
	return f, nil
}
