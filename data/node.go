package data

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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

type conn struct {
	net.Conn
	read  *bufio.Reader
	key   pass.Key
	life  string
	watch chan error
	since ident.Moment
	rest  time.Duration
}

type answer struct {
	forward.Answer
	resp *http.Response
	body []byte
}

type heard struct {
	resp *http.Response
	body []byte
}

type call struct {
	*Dialect
	visit  ident.Visit
	life   string
	lane   *desired.Lane
	req    *http.Request
	body   []byte
	path   string
	ans    chan answer
	conn   *conn
	shots  map[int]heard
	end    ident.Moment
	expiry ident.Moment
	fate   atomic.Int32
	of     *call
	twin   ident.Visit
}

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
	calls  map[ident.Visit]*call
	guards map[ident.Addr]*sentry
	silent map[ident.Addr]bool
	asks   map[uint64]chan Announced
	token  atomic.Uint64
	count  atomic.Uint64
	view   atomic.Pointer[view]
	ready  atomic.Pointer[string]
	ended  chan struct{}
	over   sync.Once
}

func NewNode(b Boot, l log.Logger) *Node {
	n := &Node{Log: l, Stream: duty.NewStream(b.Decisions, b.Incarnation), idle: map[pass.Key][]*conn{}, calls: map[ident.Visit]*call{}, guards: map[ident.Addr]*sentry{}, silent: map[ident.Addr]bool{}, asks: map[uint64]chan Announced{}, ended: make(chan struct{})}
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
		case forward.Beside:
			n.beside(e)
		case forward.Drop:
			go n.drop(e.Visit)
		case forward.Cut:
			n.cut(e.Visit)
		case forward.Answer:
			n.answer(e.Visit, answer{Answer: e})
		case forward.Deliver:
			n.deliver(e)
		case forward.Trace:
			n.Add(duty.Decision{Generation: uint64(n.State.adopted), Decision: "visit", Visit: string(e.Visit), Lane: string(e.Lane), From: e.From.String(), To: e.To.String(), Backend: string(e.Addr), Note: e.Note}, now)
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
	why := n.State.Why(now)
	if *n.ready.Load() != why {
		n.ready.Store(&why)
	}
}

func (n *Node) find(v ident.Visit) *call {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.calls[v]
}

func (n *Node) answer(v ident.Visit, a answer) {
	if c := n.find(v); c != nil {
		select {
		case c.ans <- a:
		default:
		}
	}
}

func (n *Node) deliver(e forward.Deliver) {
	if c := n.find(e.Visit); c != nil {
		got := c.shots[e.Shot]
		n.answer(e.Visit, answer{Answer: forward.Answer{Visit: e.Visit, Ran: forward.RanYes}, resp: got.resp, body: got.body})
	}
}

func (n *Node) takeIdle(k pass.Key, life string) *conn {
	lost := 0
	defer func() {
		for ; lost > 0; lost-- {
			n.Put(IdleBroke{k, false})
		}
	}()
	for {
		n.lock.Lock()
		list := n.idle[k]
		if len(list) == 0 {
			n.lock.Unlock()
			lost--
			return nil
		}
		c := list[len(list)-1]
		n.idle[k] = list[:len(list)-1]
		n.lock.Unlock()
		if c.stop() && c.life == life && !c.tired(ident.Now()) && c.quiet() {
			return c
		}
		c.Close()
		lost++
	}
}

func (c *conn) stop() bool {
	c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watch
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// tired tells whether a connection rested too long to be taken up: three quarters of what its
// backend grants, so that it isn't taken up as the backend closes it.
func (c *conn) tired(now ident.Moment) bool {
	most := pass.IdleLife
	if c.rest > 0 {
		most = min(most, c.rest*3/4)
	}
	return now.Sub(c.since) > most
}

func granted(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, n, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseUint(n, 10, 31); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

func (c *conn) quiet() bool { return c.read.Buffered() == 0 && duty.Quiet(c.Conn) }

func (n *Node) putIdle(c *conn) {
	c.SetDeadline(time.Time{})
	c.watch = make(chan error, 1)
	c.since = ident.Now()
	n.lock.Lock()
	n.idle[c.key] = append(n.idle[c.key], c)
	n.lock.Unlock()
	go n.watchIdle(c)
}

func (n *Node) watchIdle(c *conn) {
	_, err := c.read.Peek(1)
	if err == nil {
		err = errors.New("bytes nobody asked for")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.watch <- err
		return
	}
	n.lock.Lock()
	found := false
	list := n.idle[c.key]
	for i, d := range list {
		if d == c {
			n.idle[c.key] = append(append([]*conn(nil), list[:i]...), list[i+1:]...)
			found = true
		}
	}
	n.lock.Unlock()
	c.watch <- err
	if found {
		c.Close()
		n.Put(IdleBroke{c.key, true})
	}
}

func (n *Node) closeIdle(k pass.Key, count int) {
	for i := 0; i < count; i++ {
		n.lock.Lock()
		list := n.idle[k]
		if len(list) == 0 {
			n.lock.Unlock()
			return
		}
		c := list[0]
		n.idle[k] = list[1:]
		n.lock.Unlock()
		c.stop()
		c.Close()
		n.Put(IdleBroke{k, false})
	}
}

func (n *Node) shed(lives map[ident.Addr]string) {
	n.lock.Lock()
	var old []*conn
	for k, list := range n.idle {
		var keep []*conn
		for _, c := range list {
			if lives[k.Addr] == c.life {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		n.idle[k] = keep
	}
	n.lock.Unlock()
	for _, c := range old {
		c.stop()
		c.Close()
		n.Put(IdleBroke{c.key, false})
	}
}

func (n *Node) sweep() {
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for range t.C {
		now := ident.Now()
		n.lock.Lock()
		var old []*conn
		for k, list := range n.idle {
			var keep []*conn
			for _, c := range list {
				if c.tired(now) {
					old = append(old, c)
				} else {
					keep = append(keep, c)
				}
			}
			if len(keep) == 0 {
				delete(n.idle, k)
			} else {
				n.idle[k] = keep
			}
		}
		n.lock.Unlock()
		for _, c := range old {
			c.stop()
			c.Close()
			if !n.Put(IdleBroke{c.key, false}) {
				return
			}
		}
	}
}

func (n *Node) dial(e forward.Dial) {
	var c *conn
	if e.Reuse {
		c = n.takeIdle(e.Key, e.Backend.Life)
	}
	if c == nil {
		wait := e.Until.Sub(ident.Now())
		if e.Backend.Barred || wait <= 0 {
			n.Put(LinkFailed{e.Visit, e.Shot, e.Key, false})
			return
		}
		raw, err := net.DialTimeout("tcp", string(e.Key.Addr), wait)
		if err != nil {
			n.Put(LinkFailed{e.Visit, e.Shot, e.Key, true})
			return
		}
		c = &conn{Conn: raw, read: bufio.NewReaderSize(raw, readerSize), key: e.Key, life: e.Backend.Life}
	}
	n.lock.Lock()
	k := n.calls[e.Visit]
	if k != nil {
		k.conn = c
	}
	n.lock.Unlock()
	if k == nil {
		n.putIdle(c)
		n.Put(Freed{e.Key, true, false})
		return
	}
	n.Put(Linked{e.Visit, e.Shot})
}

func (n *Node) beside(e forward.Beside) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if k := n.calls[e.Visit]; k != nil {
		n.calls[e.Twin] = &call{Dialect: k.Dialect, visit: e.Twin, lane: k.lane, req: k.req, body: k.body, path: k.path, ans: k.ans, expiry: k.expiry, of: k}
		k.twin = e.Twin
	}
}

func (n *Node) drop(v ident.Visit) {
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

func (k *call) over() bool { return k.end != 0 || k.of != nil && k.of.end != 0 }

func (n *Node) forget(v ident.Visit) {
	n.lock.Lock()
	if k := n.calls[v]; k != nil && k.conn == nil && k.over() {
		delete(n.calls, v)
	}
	n.lock.Unlock()
}

func (n *Node) cut(v ident.Visit) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if k := n.calls[v]; k != nil && k.conn != nil {
		k.conn.SetDeadline(time.Unix(1, 0))
	}
}

func (n *Node) write(e forward.Write) {
	k := n.find(e.Visit)
	if k == nil || k.conn == nil {
		n.Put(NotWritten{e.Visit, e.Shot, "no connection"})
		return
	}
	c := k.conn
	k.life = c.life
	req := k.build(c.key.Addr)
	words, err := k.words(req)
	if err != nil {
		n.finish(k, c, true, false, NotWritten{e.Visit, e.Shot, "visit could not be put in words"})
		return
	}
	c.SetDeadline(time.Now().Add(e.Until.Sub(ident.Now())))
	if !c.quiet() {
		n.finish(k, c, false, true)
		n.Put(NotWritten{e.Visit, e.Shot, "connection spoke or ended before the first byte"})
		return
	}
	if ident.Now().After(e.NotAfter) {
		n.finish(k, c, true, false, NotWritten{e.Visit, e.Shot, "lease ran out before writing"})
		return
	}
	if !k.sending() {
		n.finish(k, c, true, false, NotWritten{e.Visit, e.Shot, "given up before writing"})
		return
	}
	sent, err := c.Write(words)
	if err != nil && sent == 0 && !errors.Is(err, os.ErrDeadlineExceeded) {
		n.finish(k, c, false, true)
		n.Put(NotWritten{e.Visit, e.Shot, "connection broke before the first byte"})
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.finish(k, c, false, true, Ended{e.Visit, e.Shot, forward.Broken, 0})
		return
	}
	resp, body, keep, ending := k.read(c, req)
	if err != nil {
		keep = false
		if ending != forward.Whole && ending != forward.Turned && ending != forward.Moved {
			ending = forward.Broken
		}
	}
	if resp != nil && (ending == forward.Whole || ending == forward.Turned) {
		if k.shots == nil {
			k.shots = map[int]heard{}
		}
		k.shots[e.Shot] = heard{resp, body}
	}
	status := 0
	if resp != nil {
		status, c.rest = resp.StatusCode, granted(resp.Header)
	}
	n.finish(k, c, keep && (ending == forward.Whole || ending == forward.Turned), ending == forward.Broken, Ended{e.Visit, e.Shot, ending, status})
}

// sending decides for the visit and its shot beside it: once true, neither is refused any more.
func (k *call) sending() bool {
	if k.of != nil {
		k = k.of
	}
	return k.fate.CompareAndSwap(open, written) || k.fate.Load() == written
}

func (n *Node) finish(k *call, c *conn, keep, bar bool, events ...any) {
	n.lock.Lock()
	k.conn = nil
	n.lock.Unlock()
	for _, e := range events {
		n.Put(e)
	}
	if keep {
		n.putIdle(c)
	} else {
		c.Close()
	}
	n.Put(Freed{c.key, keep, bar})
	n.forget(k.visit)
}

func (k *call) read(c *conn, req *http.Request) (*http.Response, []byte, bool, forward.Ending) {
	most := k.lane.Answer
	for surplus := 0; ; {
		resp, err := http.ReadResponse(c.read, req)
		if err != nil {
			return nil, nil, false, endingOf(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != 101 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
		if err != nil {
			return resp, nil, false, endingOf(err)
		}
		end := resp.Body.Close()
		if k.Dialect != nil && k.another(resp) && surplus < surplusMost {
			if end != nil || resp.Close || req.Method == "HEAD" && resp.ContentLength != 0 {
				return resp, nil, false, forward.Garbled
			}
			surplus++
			continue
		}
		bare := req.Method == "HEAD" || resp.StatusCode == 204 || resp.StatusCode == 304
		open := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !bare
		if resp.StatusCode < 200 || int64(len(body)) > most || open || resp.ProtoMajor != 1 || !k.sound(resp, body) {
			return resp, nil, false, forward.Garbled
		}
		if c.read.Buffered() > 0 {
			if k.Dialect == nil {
				return resp, nil, false, forward.Garbled
			}
			resp.Close = true
		}
		if e := k.turned(resp); e != forward.Whole {
			return resp, body, !resp.Close && resp.ProtoMinor == 1, e
		}
		return resp, body, !resp.Close && resp.ProtoMinor == 1, forward.Whole
	}
}

func (k *call) sound(resp *http.Response, body []byte) bool {
	if k.Dialect != nil {
		return k.proven(resp)
	}
	if len(body) == 0 {
		return true
	}
	kind := resp.Header.Get("Content-Type")
	if resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	if kind == "" || strings.Contains(kind, "json") {
		return json.Valid(body)
	}
	return true
}

func endingOf(err error) forward.Ending {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return forward.Late
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return forward.Broken
	}
	return forward.Garbled
}
