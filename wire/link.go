// Package wire carries protobuf messages between members, as length-prefixed
// frames over TCP.
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
	maxFrameBytes = 64 << 20
	// maxHelloBytes bounds the first frame, which comes from an unknown peer.
	maxHelloBytes         = 64 << 10
	linkQueueLength       = 512
	bufferBytes           = 4 << 10
	connectTimeout        = 300 * time.Millisecond
	writeTimeout          = 2 * time.Second
	unacknowledgedTimeout = time.Second
	writeChunkBytes       = 16 << 10
	maxRedialDelay        = 100 * time.Millisecond
	minRedialDelay        = 10 * time.Millisecond
)

// Speaks is the range of protocol versions that this build supports, "lowest-highest".
// A build can set it with the linker flag -X.
var Speaks = "2-2"

var (
	ErrFrame   = merry.Sentinel("wire: frame unreadable")
	ErrVersion = merry.Sentinel("wire: versions do not overlap")
	ErrListen  = merry.Sentinel("wire: cannot listen")
)

// Send is the effect of a state machine that sends a frame to an address.
type Send struct {
	To    string
	Frame *Frame
}

// Hub accepts connections from other members and keeps one outgoing link to each
// address it sends to. Delivery is best effort: a frame is lost if the queue of its
// link is full or the connection fails. Received frames go to Receive.
type Hub struct {
	Name        string
	Addr        string
	Build       string
	Incarnation uint64
	Log         log.Logger
	Receive     func(*Frame)

	lock       sync.Mutex
	links      map[string]*link
	conns      map[net.Conn]struct{}
	listener   net.Listener
	dial       func(ctx context.Context, to string) (net.Conn, error)
	ctx        context.Context
	cancel     context.CancelFunc
	LostFrames atomic.Uint64
	SentFrames atomic.Uint64
	SentBytes  atomic.Uint64
}

// link is the outgoing connection to one address, with the queue of its frames.
// peerReachable signals that the peer has just connected to this hub, so that dialling
// it is worthwhile at once.
type link struct {
	hub           *Hub
	to            string
	queue         chan *Frame
	peerReachable chan struct{}
}

// Open listens on Addr and starts to accept connections.
func (h *Hub) Open() error {
	h.links = map[string]*link{}
	h.conns = map[net.Conn]struct{}{}
	if h.dial == nil {
		h.dial = func(ctx context.Context, to string) (net.Conn, error) {
			return (&net.Dialer{Control: setUserTimeout}).DialContext(ctx, "tcp", to)
		}
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	listener, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return merry.Wrap(ErrListen, merry.WithCause(err), merry.AppendMessagef("on %s", h.Addr))
	}
	h.listener = listener
	go h.acceptLoop()
	return nil
}

// setUserTimeout ends a connection whose peer acknowledges nothing for
// unacknowledgedTimeout. TCP alone backs off exponentially, so that after a network
// partition a link stays dead for about as long again as the partition lasted.
func setUserTimeout(network, addr string, conn syscall.RawConn) error {
	var setErr error
	if err := conn.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout/time.Millisecond))
	}); err != nil {
		return err
	}
	return setErr
}

func (h *Hub) Close() {
	h.cancel()
	h.listener.Close()
	h.lock.Lock()
	defer h.lock.Unlock()
	for conn := range h.conns {
		conn.Close()
	}
}

func (h *Hub) acceptLoop() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			if h.ctx.Err() != nil {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go h.receive(conn)
	}
}

func (h *Hub) trackConn(conn net.Conn) {
	h.lock.Lock()
	h.conns[conn] = struct{}{}
	h.lock.Unlock()
}

func (h *Hub) closeConn(conn net.Conn) {
	conn.Close()
	h.lock.Lock()
	delete(h.conns, conn)
	h.lock.Unlock()
}

func (h *Hub) receive(conn net.Conn) {
	h.trackConn(conn)
	defer h.closeConn(conn)
	if err := WriteFrame(conn, h.setSender(h.helloFrame())); err != nil {
		return
	}
	reader := bufio.NewReaderSize(conn, bufferBytes)
	conn.SetReadDeadline(time.Now().Add(writeTimeout))
	hello, err := readFrameWithin(reader, maxHelloBytes)
	conn.SetReadDeadline(time.Time{})
	if err != nil || hello.GetHello() == nil {
		return
	}
	if err := checkVersions(hello); err != nil {
		level.Error(h.Log).Log("part", "wire", "msg", "Refused a link.", "from", hello.From, "why", err)
		return
	}
	h.notifyReachable(hello.Addr)
	for {
		frame, err := ReadFrame(reader)
		if err != nil {
			return
		}
		if frame.Body == nil {
			continue
		}
		if frame.Addr == "" {
			frame.From, frame.Addr, frame.Incarnation = hello.From, hello.Addr, hello.Incarnation
		}
		h.Receive(frame)
	}
}

// notifyReachable wakes the link to an address that has just connected to this hub.
func (h *Hub) notifyReachable(addr string) {
	h.lock.Lock()
	l := h.links[addr]
	h.lock.Unlock()
	if l != nil {
		select {
		case l.peerReachable <- struct{}{}:
		default:
		}
	}
}

func supportedVersions() (lowest, highest uint32) {
	if _, err := fmt.Sscanf(Speaks, "%d-%d", &lowest, &highest); err != nil || lowest == 0 || lowest > highest {
		panic("wire: built with versions " + Speaks)
	}
	return lowest, highest
}

func (h *Hub) helloFrame() *Frame {
	lowest, highest := supportedVersions()
	return &Frame{Body: &Frame_Hello{Hello: &Hello{Least: lowest, Most: highest, Build: h.Build, Terse: true}}}
}

// checkVersions fails if the version range of a peer's Hello doesn't overlap with ours.
func checkVersions(frame *Frame) error {
	hello := frame.GetHello()
	if lowest, highest := supportedVersions(); hello.Least > highest || hello.Most < lowest {
		return merry.Wrap(ErrVersion, merry.AppendMessagef("theirs %d to %d (%s), ours %d to %d", hello.Least, hello.Most, hello.Build, lowest, highest))
	}
	return nil
}

func (h *Hub) setSender(frame *Frame) *Frame {
	frame.From, frame.Addr, frame.Incarnation = h.Name, h.Addr, h.Incarnation
	return frame
}

// Send queues a frame for an address and never blocks; a frame to the hub's own address
// is received at once.
func (h *Hub) Send(to string, frame *Frame) {
	if to == h.Addr {
		h.Receive(h.setSender(frame))
		return
	}
	h.lock.Lock()
	l := h.links[to]
	if l == nil {
		l = &link{hub: h, to: to, queue: make(chan *Frame, linkQueueLength), peerReachable: make(chan struct{}, 1)}
		h.links[to] = l
		go l.run()
	}
	h.lock.Unlock()
	select {
	case l.queue <- h.setSender(frame):
	default:
		h.LostFrames.Add(1)
	}
}

// run connects whenever there is a frame to send, and waits between attempts with
// exponential backoff unless the peer is known to be reachable.
func (l *link) run() {
	h := l.hub
	delay := minRedialDelay
	for {
		var frame *Frame
		select {
		case <-h.ctx.Done():
			return
		case frame = <-l.queue:
		}
		if delay = min(2*delay, maxRedialDelay); l.sendFrames(frame) {
			delay = minRedialDelay
		}
		select {
		case <-h.ctx.Done():
			return
		case <-l.peerReachable:
		case <-time.After(delay):
		}
	}
}

// sendFrames connects, exchanges Hello frames and sends the given frame and the queued
// ones until the connection fails. It reports whether a connection was established.
func (l *link) sendFrames(frame *Frame) (connected bool) {
	h := l.hub
	conn, err := l.connect()
	if err != nil {
		h.LostFrames.Add(1 + uint64(l.discardQueue()))
		return false
	}
	h.trackConn(conn)
	defer h.closeConn(conn)
	conn.SetDeadline(time.Now().Add(writeTimeout))
	if WriteFrame(conn, h.setSender(h.helloFrame())) != nil {
		return false
	}
	hello, err := ReadFrame(conn)
	if err != nil || hello.GetHello() == nil {
		return false
	}
	if err := checkVersions(hello); err != nil {
		level.Error(h.Log).Log("part", "wire", "msg", "Refused a link.", "to", l.to, "why", err)
		return false
	}
	conn.SetDeadline(time.Time{})
	closed := make(chan struct{})
	go func() {
		var buffer [1]byte
		conn.Read(buffer[:])
		close(closed)
	}()
	writer := bufio.NewWriterSize(&chunkedWriter{conn}, bufferBytes)
	for {
		if hello.GetHello().Terse {
			frame = &Frame{Body: frame.Body}
		}
		size, err := writeFrameSize(writer, frame)
		if err == nil && len(l.queue) == 0 {
			err = writer.Flush()
		}
		if err != nil {
			h.LostFrames.Add(1)
			return true
		}
		h.SentFrames.Add(1)
		h.SentBytes.Add(uint64(size))
		select {
		case <-h.ctx.Done():
			return true
		case <-closed:
			return true
		case frame = <-l.queue:
		}
	}
}

// chunkedWriter sets a deadline for each chunk rather than for a whole frame, since a
// large frame may take long on a slow link.
type chunkedWriter struct{ net.Conn }

func (p *chunkedWriter) Write(b []byte) (n int, err error) {
	for n < len(b) && err == nil {
		p.SetWriteDeadline(time.Now().Add(writeTimeout))
		written := 0
		written, err = p.Conn.Write(b[n:min(n+writeChunkBytes, len(b))])
		n += written
	}
	return n, err
}

// connect dials the peer. If the peer connects to this hub while the dial is pending,
// connect abandons that dial and starts another at once.
func (l *link) connect() (net.Conn, error) {
	select {
	case <-l.peerReachable:
	default:
	}
	for {
		ctx, cancel := context.WithTimeout(l.hub.ctx, connectTimeout)
		interrupted := make(chan bool, 1)
		go func() {
			select {
			case <-l.peerReachable:
				interrupted <- true
				cancel()
			case <-ctx.Done():
				interrupted <- false
			}
		}()
		conn, err := l.hub.dial(ctx, l.to)
		cancel()
		if redial := <-interrupted; err == nil || !redial {
			return conn, err
		}
	}
}

// discardQueue empties the queue and returns how many frames it held.
func (l *link) discardQueue() int {
	discarded := 0
	for {
		select {
		case <-l.queue:
			discarded++
		default:
			return discarded
		}
	}
}

// writeFrameSize writes a frame and returns its size with the length prefix.
func writeFrameSize(w io.Writer, frame *Frame) (int, error) {
	body, err := proto.Marshal(frame)
	if err != nil {
		return 0, merry.Wrap(ErrFrame, merry.WithCause(err))
	}
	var header [4]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	if _, err := w.Write(header[:]); err != nil {
		return 0, err
	}
	n, err := w.Write(body)
	return n + 4, err
}

// WriteFrame writes a frame: its length as four bytes, big-endian, then the message.
func WriteFrame(w io.Writer, frame *Frame) error {
	_, err := writeFrameSize(w, frame)
	return err
}

// ReadFrame reads a frame that WriteFrame wrote; a frame above the size limit is an error.
func ReadFrame(r io.Reader) (*Frame, error) { return readFrameWithin(r, maxFrameBytes) }

func readFrameWithin(r io.Reader, limit uint32) (*Frame, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > limit {
		return nil, merry.Wrap(ErrFrame, merry.AppendMessagef("%d bytes", size))
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	frame := &Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, merry.Wrap(ErrFrame, merry.WithCause(err))
	}
	return frame, nil
}
