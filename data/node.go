package data

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"sloeturn/desired"
	"sloeturn/duty"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/pass"
	"sloeturn/wire"
)

// conn is a connection to a backend.
type conn struct {
	net.Conn
	read  *bufio.Reader
	key   pass.Key
	life  string        // the incarnation it was opened to
	watch chan error    // how the watch of a resting connection ended
	since ident.Moment  // when it began to rest
	rest  time.Duration // how long its backend lets it rest; 0: not said
}

// answer is what a client is told: a backend's answer, or without one this node's own.
type answer struct {
	forward.Answer
	resp *http.Response
	body []byte
}

// heard is a backend's whole answer to one attempt.
type heard struct {
	resp *http.Response
	body []byte
}

// call is what the executor holds of a request, or of the hedge of one.
type call struct {
	*Dialect
	id      ident.RequestID
	life    string
	lane    *desired.Lane
	req     *http.Request
	body    []byte
	path    string
	ans     chan answer
	conn    *conn
	answers map[int]heard
	end     ident.Moment
	fate    atomic.Int32
	primary *call
	hedge   ident.RequestID
	// left wakes the client's goroutine once the client is seen to have left.
	left chan struct{}
	// started tells that the request is being written, canceled that nobody waits for the answer.
	// Both are guarded by Node.lock.
	started  bool
	canceled bool
	// delivered are the requests whose answer this client's goroutine was given to write. Guarded by
	// Node.lock.
	delivered []ident.RequestID
}

// The fate of a request: whether it may still be refused as not run.
const (
	open = iota
	written
	refused
)

const (
	surplusMost = 4
	readerSize  = 4 << 10
	eagerPause  = 20 * time.Millisecond
	calmPause   = 50 * time.Millisecond
)

type view struct {
	gen     ident.Generation
	desired *desired.State
	trial   string
}

type Node struct {
	duty.Loop
	*duty.Stream
	State *State
	Hub   *wire.Hub
	Log   log.Logger

	lock   sync.Mutex
	idle   map[pass.Key][]*conn
	calls  map[ident.RequestID]*call
	guards map[ident.Addr]*sentry
	silent map[ident.Addr]bool
	asks   map[uint64]chan Announced
	token  atomic.Uint64
	count  atomic.Uint64
	view   atomic.Pointer[view]
	ready  atomic.Pointer[string]
	// leaseEnd is the moment until which the desired state is known to be in force.
	leaseEnd atomic.Int64
	ended    chan struct{}
	over     sync.Once
}

func NewNode(b Boot, l log.Logger) *Node {
	n := &Node{Log: l, Stream: duty.NewStream(b.Decisions, b.Incarnation), idle: map[pass.Key][]*conn{}, calls: map[ident.RequestID]*call{}, guards: map[ident.Addr]*sentry{}, silent: map[ident.Addr]bool{}, asks: map[uint64]chan Announced{}, ended: make(chan struct{})}
	n.State = New(b, ident.Now())
	n.Hub = &wire.Hub{Name: string(b.Member), Addr: string(b.Addr), Build: b.Build, Incarnation: uint64(b.Incarnation), Log: l, Take: func(f *wire.Frame) { n.Offer(Got{f}) }}
	n.Step = n.State.Step
	n.Settle = func(now ident.Moment) {}
	n.Obey = n.obey
	n.Beat = Tick{}
	n.Pause = n.pause
	n.view.Store(&view{})
	why := "starting"
	n.ready.Store(&why)
	return n
}

func (n *Node) pause() time.Duration {
	if n.State.Pressing() || n.State.Eager(ident.Now()) {
		return duty.TickEvery
	}
	return calmPause
}

func (n *Node) Open() error {
	n.Loop.Open()
	if err := n.Hub.Open(); err != nil {
		return err
	}
	go n.Run()
	go n.sweep()
	return nil
}

func (n *Node) Close() {
	n.Stop()
	n.Hub.Close()
}

func (n *Node) Ended() <-chan struct{} { return n.ended }

func (n *Node) obey(now ident.Moment) {
	for _, e := range n.State.Take() {
		switch e := e.(type) {
		case wire.Send:
			n.Hub.Send(e.To, e.Frame)
		case forward.Dial:
			go n.dial(e)
		case forward.Write:
			go n.write(e)
		case forward.Hedge:
			n.beside(e)
		case forward.Drop:
			go n.drop(e.Request)
		case forward.Cut:
			n.cut(e.Request)
		case forward.Cancel:
			n.cancel(e.Request)
		case forward.Answer:
			n.answer(e.Request, answer{Answer: e})
		case forward.Deliver:
			n.deliver(e)
		case forward.Trace:
			n.Add(duty.Decision{Generation: uint64(n.State.adopted), Decision: "visit", Visit: string(e.Request), Lane: string(e.Lane), From: e.From.String(), To: e.To.String(), Backend: string(e.Addr), Note: e.Note}, now)
		case pass.Close:
			go n.closeIdle(e.Key, e.Count)
		case Shed:
			go n.shed(e.Lives)
		case Guard:
			n.startGuard(e)
		case GuardEnd:
			n.endGuard(e)
		case GuardAsk:
			n.askGuard(e)
		case Announced:
			n.announced(e)
		case Adopt:
			n.view.Store(&view{e.Generation, e.Desired, e.Trial})
			level.Info(n.Log).Log("part", "desired", "msg", "Adopted a generation.", "generation", e.Generation)
		case duty.Decision:
			n.Add(e, now)
		case Note:
			level.Info(n.Log).Log("part", "node", "msg", e.Text)
		case Exit:
			n.over.Do(func() { close(n.ended) })
		}
	}
	n.leaseEnd.Store(int64(n.State.Relay.LeaseEnd()))
	why := n.State.Why(now)
	if *n.ready.Load() != why {
		n.ready.Store(&why)
	}
}

func (n *Node) find(v ident.RequestID) *call {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.calls[v]
}

func (n *Node) answer(v ident.RequestID, a answer) {
	if c := n.find(v); c != nil {
		select {
		case c.ans <- a:
		default:
		}
	}
}

// deliver gives an answer to its client's goroutine, which tells once it is written; if the client
// has gone, that is told here.
func (n *Node) deliver(e forward.Deliver) {
	if !n.expectWritten(e.Request) {
		go n.Put(Written{e.Request})
	}
	if c := n.find(e.Request); c != nil {
		got := c.answers[e.Attempt]
		n.answer(e.Request, answer{Answer: forward.Answer{Request: e.Request, Ran: forward.RanYes}, resp: got.resp, body: got.body})
	}
}

// expectWritten notes that a client's goroutine is to write an answer; false if it has ended.
func (n *Node) expectWritten(id ident.RequestID) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	k := n.calls[id]
	if k == nil || k.over() {
		return false
	}
	if k.primary != nil {
		k = k.primary
	}
	k.delivered = append(k.delivered, id)
	return true
}

func (n *Node) dial(e forward.Dial) {
	var c *conn
	if e.Reuse {
		c = n.takeIdle(e.Key, e.Backend.Life)
	}
	if c == nil {
		wait := e.Until.Sub(ident.Now())
		if e.Backend.Barred || wait <= 0 {
			n.Put(ConnectFailed{e.Request, e.Attempt, e.Key, false})
			return
		}
		raw, err := net.DialTimeout("tcp", string(e.Key.Addr), wait)
		if err != nil {
			n.Put(ConnectFailed{e.Request, e.Attempt, e.Key, true})
			return
		}
		c = &conn{Conn: raw, read: bufio.NewReaderSize(raw, readerSize), key: e.Key, life: e.Backend.Life}
	}
	n.lock.Lock()
	k := n.calls[e.Request]
	if k != nil {
		k.conn = c
	}
	n.lock.Unlock()
	if k == nil {
		n.putIdle(c)
		n.Put(Freed{e.Key, true, false})
		return
	}
	n.Put(Connected{e.Request, e.Attempt})
}

func (n *Node) beside(e forward.Hedge) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if k := n.calls[e.Request]; k != nil {
		n.calls[e.Hedge] = &call{Dialect: k.Dialect, id: e.Hedge, lane: k.lane, req: k.req, body: k.body, path: k.path, ans: k.ans, primary: k}
		k.hedge = e.Hedge
	}
}

func (n *Node) drop(v ident.RequestID) {
	n.lock.Lock()
	k := n.calls[v]
	var c *conn
	if k != nil {
		c, k.conn = k.conn, nil
	}
	n.lock.Unlock()
	if c != nil {
		n.putIdle(c)
		n.Put(Freed{c.key, true, false})
	}
	n.forget(v)
}

func (k *call) over() bool { return k.end != 0 || k.primary != nil && k.primary.end != 0 }

func (n *Node) forget(v ident.RequestID) {
	n.lock.Lock()
	if k := n.calls[v]; k != nil && k.conn == nil && k.over() {
		delete(n.calls, v)
	}
	n.lock.Unlock()
}
