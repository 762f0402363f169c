package data

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sloeturn/admission"
	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/quota"
	"sloeturn/wire"
)

// conn is a connection to a backend.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	head        *headLimiter
	key         admission.Key
	incarnation string        // backend incarnation it was opened to
	watchEnd    chan error    // how the watch of the idle connection ended
	idleSince   ident.Moment  // when it became idle
	keepAlive   time.Duration // the backend's keep-alive timeout; 0: not stated
}

// newConn returns a connection to a backend's incarnation.
func newConn(dialed net.Conn, key admission.Key, incarnation string) *conn {
	head := &headLimiter{source: dialed}
	return &conn{Conn: dialed, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, key: key, incarnation: incarnation}
}

// headLimiter fails once more has been read of the head of an answer than is allowed, or than there is
// memory for.
type headLimiter struct {
	source io.Reader
	// inHead is set while a head is read, of which left bytes may follow; claim covers it.
	inHead bool
	left   int
	claim  *quota.Claim
}

func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.source.Read(b)
	}
	if l.left <= 0 {
		return 0, errTooLong
	}
	n, err := l.source.Read(b[:min(len(b), l.left)])
	l.left -= n
	if !l.claim.Grow(daemon.HeadCost(b[:n]), 0) {
		return 0, errNoMemory
	}
	return n, err
}

// readHead reads the head of an answer of at most maxAnswerHeadBytes.
func (c *conn) readHead(req *http.Request, claim *quota.Claim) (*http.Response, error) {
	c.head.inHead, c.head.left, c.head.claim = true, maxAnswerHeadBytes, claim
	defer func() { c.head.inHead = false }()
	return http.ReadResponse(c.reader, req)
}

// clientAnswer is what a client receives: a backend's answer, or this node's own if resp is nil.
type clientAnswer struct {
	forward.Answer
	resp *http.Response
	body payload
	// claim covers the body.
	claim *quota.Claim
	// transfer, if not nil, brings the body.
	transfer *transfer
}

// backendAnswer is a backend's answer to one attempt: a complete one, or one that is passed on while it is
// read.
type backendAnswer struct {
	resp     *http.Response
	body     payload
	transfer *transfer
}

// call is the executor's state of a request, or of the hedge of one (primary is then the request).
type call struct {
	*HeaderNames
	id          ident.RequestID
	incarnation string
	lane        *desired.Lane
	req         *http.Request
	body        payload
	// rest is what follows the body, if that is only the beginning of a long one; else nil.
	rest *bodyRest
	// passOn hands a long answer of the present attempt over; nil if it must be read whole.
	passOn func(resp *http.Response, first payload, rest io.Reader) error
	// claim covers the request's head and body and the answers that were read.
	claim          *quota.Claim
	path           string
	clientAnswers  chan clientAnswer
	conn           *conn
	backendAnswers map[int]backendAnswer
	endedAt        ident.Moment
	dispatch       atomic.Int32
	primary        *call
	hedge          ident.RequestID
	// clientGone wakes the client's goroutine once the client is seen to have left.
	clientGone chan struct{}
	// abandoned is set once the client has left, by its goroutine.
	abandoned bool
	// ended is closed when the client isn't served any more; nil for a hedge.
	ended chan struct{}
	// started: the request is being written; reclaimed: its slot is being reclaimed. Both are guarded by
	// Node.lock.
	started   bool
	reclaimed bool
	// canceled is set once nobody waits for the answer.
	canceled atomic.Bool
	// delivered are the requests whose answer this client's goroutine has to write. Guarded by
	// Node.lock.
	delivered []ident.RequestID
}

// The values of call.dispatch: whether a request may still be refused as not run.
const (
	dispatchUndecided = iota
	dispatchStarted
	dispatchRefused
)

const (
	maxSurplusAnswers = 4 // answers to other requests that are skipped while reading one
	readBufferBytes   = 4 << 10
	// backendBufferBytes is what the kernel is asked to hold of a request and of an answer, each; it allots
	// twice as much. exchangeBytes is what both are charged.
	backendBufferBytes = 32 << 10
	exchangeBytes      = 2 * 2 * backendBufferBytes
	// maxAnswerHeadBytes bounds the head of a backend's answer.
	maxAnswerHeadBytes = 64 << 10
	fastTickInterval   = 20 * time.Millisecond
	idleTickInterval   = 50 * time.Millisecond
)

// activeConfig is the configuration that applies to new requests.
type activeConfig struct {
	generation ident.Generation
	desired    *desired.State
	trial      string
}

// Node is the executor of the data plane: it runs the reducer in its event loop, carries out its effects
// and owns the connections.
type Node struct {
	daemon.EventLoop
	*daemon.DecisionStream
	State *State
	Hub   *wire.Hub
	Log   log.Logger
	// ProcessMetrics are set before the node serves.
	ProcessMetrics daemon.ProcessMetrics
	metricsHandler http.HandlerFunc
	// Memory is what all clients may make the node hold; nil for no limit. It is set before the node
	// serves.
	Memory *quota.Memory

	lock             sync.Mutex
	idleConns        map[admission.Key][]*conn
	calls            map[ident.RequestID]*call
	probes           map[ident.Addr]*probe
	withoutKeepAlive map[ident.Addr]bool
	announcements    map[uint64]chan AnnounceAnswered
	lastToken        atomic.Uint64
	lastRequest      atomic.Uint64
	config           atomic.Pointer[activeConfig]
	notReady         atomic.Pointer[string]
	// leaseEnd is the moment until which the desired state is known to be in effect.
	leaseEnd atomic.Int64
	ended    chan struct{}
	endOnce  sync.Once
}

func NewNode(config Config, logger log.Logger) *Node {
	n := &Node{Log: logger, DecisionStream: daemon.NewDecisionStream(config.Decisions, config.Incarnation), idleConns: map[admission.Key][]*conn{}, calls: map[ident.RequestID]*call{}, probes: map[ident.Addr]*probe{}, withoutKeepAlive: map[ident.Addr]bool{}, announcements: map[uint64]chan AnnounceAnswered{}, ended: make(chan struct{})}
	n.State = New(config, ident.Now())
	n.Hub = &wire.Hub{Name: string(config.Member), Addr: string(config.Addr), Build: config.Build, Incarnation: uint64(config.Incarnation), Log: logger, Receive: func(f *wire.Frame) { n.Offer(FrameReceived{f}) }}
	n.metricsHandler = daemon.SharedAnswer(daemon.MetricsContentType, n.readMetrics)
	n.Step = n.State.Step
	n.BeforeEffects = func(now ident.Moment) {}
	n.ApplyEffects = n.applyEffects
	n.TickEvent = Tick{}
	n.TickDelay = n.tickDelay
	n.config.Store(&activeConfig{})
	reason := "starting"
	n.notReady.Store(&reason)
	return n
}

// tickDelay shortens the tick interval while requests wait or the node starts.
func (n *Node) tickDelay() time.Duration {
	if n.State.HasUnsent() || n.State.FastStart(ident.Now()) {
		return daemon.TickInterval
	}
	return idleTickInterval
}

// Open starts the event loop and the connections to other members.
func (n *Node) Open() error {
	n.EventLoop.Open()
	if err := n.Hub.Open(); err != nil {
		return err
	}
	go n.Run()
	go n.sweepIdle()
	return nil
}

func (n *Node) Close() {
	n.Stop()
	n.Hub.Close()
}

// Ended is closed once a planned stop is complete.
func (n *Node) Ended() <-chan struct{} { return n.ended }

// applyEffects carries out the effects of the reducer's last steps, after each batch of events.
func (n *Node) applyEffects(now ident.Moment) {
	for _, e := range n.State.TakeEffects() {
		switch e := e.(type) {
		case wire.Send:
			n.Hub.Send(e.To, e.Frame)
		case forward.Dial:
			go n.dial(e)
		case forward.Write:
			go n.write(e)
		case forward.Hedge:
			n.startHedge(e)
		case forward.ReturnConnection:
			go n.returnConn(e.Request)
		case forward.CloseConnection:
			n.abort(e.Request)
		case forward.Cancel:
			n.cancel(e.Request)
		case forward.Answer:
			n.sendAnswer(e.Request, clientAnswer{Answer: e})
		case forward.Deliver:
			n.deliver(e)
		case forward.Discard:
			n.dropAnswer(e.Request, e.Attempt)
		case forward.Revoke:
			go n.revoke(e.Request)
		case forward.Trace:
			n.Add(daemon.Decision{Generation: uint64(n.State.adoptedVersion), Decision: "visit", Visit: string(e.Request), Lane: string(e.Lane), From: e.From.String(), To: e.To.String(), Backend: string(e.Addr), Note: e.Note}, now)
		case admission.Close:
			go n.closeIdle(e.Key, e.Count)
		case CloseStaleConns:
			go n.closeStaleIdle(e.Incarnations)
		case StartProbe:
			n.startProbe(e)
		case StopProbe:
			n.stopProbe(e)
		case ProbeNow:
			n.probeNow(e)
		case AnnounceAnswered:
			n.announcementAnswered(e)
		case ConfigAdopted:
			n.config.Store(&activeConfig{e.Generation, e.Desired, e.Trial})
			level.Info(n.Log).Log("part", "desired", "msg", "Adopted a configuration version.", "generation", e.Generation)
		case daemon.Decision:
			n.Add(e, now)
		case LogNote:
			level.Info(n.Log).Log("part", "node", "msg", e.Text)
		case Exit:
			n.endOnce.Do(func() { close(n.ended) })
		}
	}
	n.leaseEnd.Store(int64(n.State.Relay.LeaseExpiry()))
	reason := n.State.NotReadyReason(now)
	if *n.notReady.Load() != reason {
		n.notReady.Store(&reason)
	}
}

func (n *Node) findCall(id ident.RequestID) *call {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.calls[id]
}

func (n *Node) sendAnswer(id ident.RequestID, a clientAnswer) {
	if pending := n.findCall(id); pending != nil {
		select {
		case pending.clientAnswers <- a:
		default:
		}
	}
}

// deliver hands an answer to its client's goroutine, which reports once it is written. If the client has
// gone, that is reported here.
func (n *Node) deliver(e forward.Deliver) {
	if !n.expectWritten(e.Request) {
		go n.Put(AnswerWritten{e.Request})
	}
	if pending := n.findCall(e.Request); pending != nil {
		answer := pending.backendAnswers[e.Attempt]
		n.sendAnswer(e.Request, clientAnswer{Answer: forward.Answer{Request: e.Request, Ran: forward.RanYes}, resp: answer.resp, body: answer.body, claim: pending.claim, transfer: answer.transfer})
	}
}

// expectWritten records that a client's goroutine has to write an answer; false if it has ended.
func (n *Node) expectWritten(id ident.RequestID) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	pending := n.calls[id]
	if pending == nil || pending.finished() {
		return false
	}
	if pending.primary != nil {
		pending = pending.primary
	}
	pending.delivered = append(pending.delivered, id)
	return true
}

// dial gets an attempt a connection: an idle one if allowed, else a new one.
func (n *Node) dial(e forward.Dial) {
	var connection *conn
	if e.Reuse {
		connection = n.takeIdle(e.Key, e.Backend.Incarnation)
	}
	if connection == nil {
		timeout := e.Until.Sub(ident.Now())
		if e.Backend.Ejected || timeout <= 0 {
			n.Put(ConnectFailed{e.Request, e.Attempt, e.Key, false})
			return
		}
		var err error
		if connection, err = n.connect(string(e.Key.Addr), timeout, e.Key, e.Backend.Incarnation); err != nil {
			n.Put(ConnectFailed{e.Request, e.Attempt, e.Key, true})
			return
		}
	}
	n.lock.Lock()
	pending := n.calls[e.Request]
	if pending != nil {
		pending.conn = connection
	}
	n.lock.Unlock()
	if pending == nil {
		n.putIdle(connection)
		n.Put(ConnectionFreed{e.Key, true, false})
		return
	}
	n.Put(Connected{e.Request, e.Attempt})
}

// connect opens a connection to a backend's incarnation.
func (n *Node) connect(address string, timeout time.Duration, key admission.Key, incarnation string) (*conn, error) {
	dialed, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if n.Memory != nil {
		daemon.SetBuffers(dialed, backendBufferBytes, backendBufferBytes)
	}
	return newConn(dialed, key, incarnation), nil
}

// raiseBuffer lets the kernel hold more of a long answer, if there is memory for it, and returns the function
// that undoes it.
func (c *conn) raiseBuffer(claim *quota.Claim, bytes int64) (lower func()) {
	size, charge := daemon.RaisedBuffer(bytes, backendBufferBytes)
	if claim == nil || charge == 0 || !claim.GrowSpare(charge) {
		return func() {}
	}
	daemon.SetBuffers(c.Conn, size, 0)
	return func() {
		daemon.SetBuffers(c.Conn, backendBufferBytes, 0)
		claim.Shrink(charge)
	}
}

// startHedge registers the hedge of a request, which shares its client.
func (n *Node) startHedge(e forward.Hedge) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if pending := n.calls[e.Request]; pending != nil {
		n.calls[e.Hedge] = &call{HeaderNames: pending.HeaderNames, id: e.Hedge, lane: pending.lane, req: pending.req, body: pending.body, claim: n.Memory.NewClaim(), path: pending.path, clientAnswers: pending.clientAnswers, primary: pending}
		pending.hedge = e.Hedge
	}
}

// returnConn returns the unused connection of an attempt that no longer needs it.
func (n *Node) returnConn(id ident.RequestID) {
	n.lock.Lock()
	pending := n.calls[id]
	var c *conn
	if pending != nil {
		c, pending.conn = pending.conn, nil
	}
	n.lock.Unlock()
	if c != nil {
		n.putIdle(c)
		n.Put(ConnectionFreed{c.key, true, false})
	}
	n.forget(id)
}

func (pending *call) finished() bool {
	return pending.endedAt != 0 || pending.primary != nil && pending.primary.endedAt != 0
}

// forget removes a call that has ended and holds no connection.
func (n *Node) forget(id ident.RequestID) {
	n.lock.Lock()
	if pending := n.calls[id]; pending != nil && pending.conn == nil && pending.finished() {
		delete(n.calls, id)
		pending.claim.Release()
	}
	n.lock.Unlock()
}
