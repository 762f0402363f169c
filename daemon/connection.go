package daemon

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sloeturn/quota"
)

// The default read timeouts.
const (
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 2 * time.Minute
)

// ReadTimeouts returns how long a client may take to send a head, and stay idle; 0 keeps the default.
type ReadTimeouts func() (head, idle time.Duration)

const (
	// receiveBufferBytes and sendBufferBytes are what the kernel is asked to hold for a connection; it
	// allots twice as much. A receive buffer below a segment of the loopback interface stalls its senders.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 16 << 10
	// initialWindowBytes is what a client may send before its connection is accepted.
	initialWindowBytes = 64 << 10
	// connectionBytes is the memory that is set apart for an open connection: the kernel's buffers, those of
	// net/http, and its goroutines.
	connectionBytes = initialWindowBytes + 2*sendBufferBytes + 16<<10
	// headByteCost and headLineCost are what the bytes and lines of a head are charged: what they take
	// once decoded, and copied for a backend.
	headByteCost = 3
	headLineCost = 400
	// readBufferBytes is the size of net/http's buffer of a connection; longer reads bypass it.
	readBufferBytes = 4 << 10
	// headLimitTolerance is how many times the allowed size a head may have before its connection is
	// closed without an answer.
	headLimitTolerance = 2
	// writeChunkBytes is how much is written within one write timeout.
	writeChunkBytes = 64 << 10
)

var (
	// AcceptErrors counts the connections that this process could not accept.
	AcceptErrors atomic.Uint64
	// WriteStalls counts the connections that were closed because their client took no byte in time.
	WriteStalls atomic.Uint64
)

// errNoMemory ends a connection whose head finds no room.
var errNoMemory = errors.New("no memory for the head, or head far too long")

// ClientLimits bound what the clients of a listener make the process hold; the zero value doesn't.
type ClientLimits struct {
	Memory      *quota.Memory
	Connections *quota.Connections
	// WriteTimeout is how long a client may take no byte of an answer; 0: for ever.
	WriteTimeout time.Duration
}

// ListenerOptions are the limits on the clients of one address.
type ListenerOptions struct {
	ReadTimeouts ReadTimeouts
	// HeadBytes returns the size of the longest head that is allowed; 0, or nil: net/http's.
	HeadBytes func() int64
	// Backlog is how many connections may wait to be accepted; 0: as many as the system lets them.
	Backlog int
	ClientLimits
}

// clientListener wraps each accepted connection in a clientConn.
type clientListener struct {
	net.Listener
	options ListenerOptions
}

// LimitClients bounds what the clients of a listener may hold and how long they may take, and counts the
// Content-Length lines it receives, for FramingCertain.
func LimitClients(listener net.Listener, options ListenerOptions) net.Listener {
	if options.Backlog > 0 {
		setBacklog(listener, options.Backlog)
	}
	return clientListener{listener, options}
}

// setBacklog bounds the connections that wait to be accepted: what their clients send lies in the kernel.
// Where the system refuses, its own bound stays.
func setBacklog(listener net.Listener, backlog int) {
	c, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), backlog) })
}

// acceptError is an error of accept after which net/http goes on. Linux reports errors of a single
// connection there, and a lack of memory passes.
type acceptError struct{ error }

func (acceptError) Temporary() bool { return true }
func (acceptError) Timeout() bool   { return false }

func (e acceptError) Unwrap() error { return e.error }

func (l clientListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			AcceptErrors.Add(1)
			return nil, acceptError{err}
		}
		if connection := l.admit(accepted); connection != nil {
			return connection, nil
		}
		reset(accepted)
	}
}

// admit returns nil if the limits leave no room for a connection.
func (l clientListener) admit(accepted net.Conn) *clientConn {
	c := &clientConn{Conn: accepted, options: l.options, ownClaim: l.options.Memory.NewClaim(), readingHead: true}
	if l.options.Memory != nil {
		SetBuffers(accepted, receiveBufferBytes, sendBufferBytes)
	}
	c.slot, _ = l.options.Connections.Open(func() { reset(c) })
	if c.slot == nil && l.options.Connections != nil {
		return nil
	}
	c.slot.SetIdle(true)
	return c
}

// SetBuffers sets the sizes of the kernel's buffers of a connection; 0 leaves one as it is.
func SetBuffers(connection net.Conn, receive, send int) {
	c, ok := connection.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok {
		return
	}
	if receive > 0 {
		c.SetReadBuffer(receive)
	}
	if send > 0 {
		c.SetWriteBuffer(send)
	}
}

// reset closes a connection at once and drops what the kernel still holds for it.
func reset(connection net.Conn) {
	tcp := connection
	if c, ok := connection.(*clientConn); ok {
		tcp = c.Conn
	}
	if c, ok := tcp.(*net.TCPConn); ok {
		c.SetLinger(0)
	}
	connection.Close()
}

// clientConn is a connection of a client. It shortens the read deadlines that net/http sets, charges what
// the client makes the process hold, and counts Content-Length lines.
type clientConn struct {
	net.Conn
	options ListenerOptions
	contentLengthCounter
	slot *quota.Connection
	// ownClaim covers what the kernel holds for the connection beyond connectionBytes.
	ownClaim *quota.Claim

	// The counter's lock guards the fields below.

	// headBytes is what has been read of the present head.
	headBytes int64
	// headClaim covers the head that is being read, or that of the request being served.
	headClaim   *quota.Claim
	readingHead bool
	// serving is set while a handler runs.
	serving bool
	closed  bool
	// lastReadCost is what the newest read was charged, or would have been: its bytes may belong to the
	// next request.
	lastReadCost int64
	// raisedSend is what the kernel's send buffer was charged beyond its usual size.
	raisedSend int64
}

func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Read charges the bytes of heads before net/http decodes them.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.scan(b[:n])
	if c.options.Memory != nil && n > 0 && !c.chargeHead(b[:n]) {
		reset(c)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	return n, err
}

// HeadCost returns what a part of a head is charged before it is decoded.
func HeadCost(part []byte) int64 {
	return int64(len(part))*headByteCost + int64(bytes.Count(part, []byte{'\n'}))*headLineCost
}

func (c *clientConn) chargeHead(b []byte) bool {
	cost := HeadCost(b)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.lastReadCost = 0
	if len(b) <= readBufferBytes {
		c.lastReadCost = cost
	}
	if !c.readingHead {
		return true
	}
	c.headBytes += int64(len(b))
	return !c.headTooLong() && c.growHead(cost)
}

// headTooLong reports whether a head is so far above the limit that it is not even answered. It needs the
// lock.
func (c *clientConn) headTooLong() bool {
	if c.options.HeadBytes == nil {
		return false
	}
	limit := c.options.HeadBytes()
	return limit > 0 && c.headBytes > headLimitTolerance*limit+readBufferBytes
}

// growHead needs the lock.
func (c *clientConn) growHead(cost int64) bool {
	if c.closed {
		return false
	}
	if c.headClaim == nil {
		c.headClaim = c.options.Memory.NewClaim()
	}
	return c.headClaim.Grow(cost, 0)
}

// beginServing records that a head has been read and its request is served. net/http doesn't report a
// pipelined request as activity.
func (c *clientConn) beginServing() {
	c.slot.SetIdle(false)
	c.ownClaim.ForbidRevocation()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.readingHead, c.serving = false, true
}

func (c *clientConn) endServing() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.serving = false
	if c.closed {
		c.headClaim.Release()
	}
}

// beginHead records that a request has been answered and the rest of its body dropped. What was read of
// the next one is charged to it.
func (c *clientConn) beginHead() {
	c.lock.Lock()
	c.headClaim.Release()
	c.headClaim, c.headBytes, c.readingHead = nil, 0, true
	fits := c.growHead(c.lastReadCost)
	c.lock.Unlock()
	if !fits {
		reset(c)
		return
	}
	c.settleSendBuffer()
}

// takeHeadClaim hands the claim of the present request's head over to the caller, who releases it.
func (c *clientConn) takeHeadClaim() *quota.Claim {
	c.lock.Lock()
	defer c.lock.Unlock()
	claim := c.headClaim
	c.headClaim = nil
	return claim
}

// Write closes the connection if the client takes no byte for the write timeout.
func (c *clientConn) Write(b []byte) (n int, err error) {
	if c.options.WriteTimeout == 0 {
		return c.Conn.Write(b)
	}
	for n < len(b) && err == nil {
		c.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout))
		written := 0
		written, err = c.Conn.Write(b[n:min(n+writeChunkBytes, len(b))])
		n += written
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		WriteStalls.Add(1)
		reset(c)
	}
	return n, err
}

// Close gives back what the connection held. What a request holds that is still served is given back at
// its end.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.slot.Release()
	c.ownClaim.Release()
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	if !c.serving {
		c.headClaim.Release()
	}
	return err
}

// SetReadDeadline shortens a deadline. net/http sets HeaderTimeout while it reads a head and IdleTimeout
// between requests, so the length of a deadline tells which one it is.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.options.ReadTimeouts == nil {
		return c.Conn.SetReadDeadline(t)
	}
	head, idle := c.options.ReadTimeouts()
	limit := time.Duration(0)
	left := time.Until(t)
	switch {
	case left > HeaderTimeout:
		limit = idle
	case left > HeaderTimeout/2:
		limit = head
	}
	if !t.IsZero() && limit > 0 && left > limit {
		t = time.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// TrackClients makes a server tell the connections of LimitClients what they are used for.
func TrackClients(server *http.Server) {
	server.Handler = chargeRequests(server.Handler)
	server.ConnContext = ContextWithConn
	server.ConnState = trackState
}

// trackState is the ConnState of a server whose listener limits its clients.
func trackState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*clientConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		c.beginHead()
		c.slot.SetIdle(true)
	}
}

// chargeRequests returns a handler that tells a request's connection while it is served.
func chargeRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r); c != nil {
			c.beginServing()
			defer c.endServing()
		}
		handler.ServeHTTP(w, r)
	})
}

// connectionOf returns the connection of a request, nil if its listener limits no clients.
func connectionOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connContextKey{}).(*clientConn)
	return c
}

// TakeClaim returns the claim that covers a request's head. The caller owns it from now on and releases it
// once nothing of the request is held any more. It is nil where clients are not limited.
func TakeClaim(r *http.Request) *quota.Claim {
	c := connectionOf(r)
	if c == nil {
		return nil
	}
	if claim := c.takeHeadClaim(); claim != nil {
		return claim
	}
	return c.options.Memory.NewClaim()
}

// SetSlow records whether a request's client holds up the sending of its body or the reading of its answer,
// so that its connection may be closed for another one.
func SetSlow(r *http.Request, slow bool) {
	if c := connectionOf(r); c != nil {
		c.slot.SetSlow(slow)
	}
}

// ResetClient closes the connection of a request's client at once. It does not block.
func ResetClient(r *http.Request) {
	if c := connectionOf(r); c != nil {
		reset(c)
	}
}
