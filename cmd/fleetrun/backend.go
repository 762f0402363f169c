package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

type ledger struct {
	lock   sync.Mutex
	runs   map[string]int
	visits map[string]time.Time
	broken *broken
}

func (l *ledger) run(key, visit, where string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	if visit != "" {
		l.visits[visit] = time.Now()
	}
	if key != "" {
		l.runs[key]++
		if l.runs[key] > 1 {
			l.broken.say("ran twice", "key %s ran %d times, last at %s", key, l.runs[key], where)
		}
	}
}

func (l *ledger) ran(visit string) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	_, ok := l.visits[visit]
	return ok
}

type broken struct {
	lock  sync.Mutex
	count map[string]int
	first map[string]string
}

func (b *broken) say(what, form string, args ...any) {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.count == nil {
		b.count, b.first = map[string]int{}, map[string]string{}
	}
	b.count[what]++
	if b.count[what] == 1 {
		b.first[what] = fmt.Sprintf(form, args...)
	}
}

type backend struct {
	plan    *plan
	service string
	addr    string
	cell    string
	slots   int
	most    int
	work    func() time.Duration
	led     *ledger
	beats   func() []string
	names   bool

	life     string
	srv      *http.Server
	conns    atomic.Int64
	mostSeen atomic.Int64
	work_    chan struct{}
	served   atomic.Int64
	leftAt   atomic.Int64
	state    atomic.Pointer[string]
	stop     context.CancelFunc
	mode     atomic.Pointer[string]
	ear      net.Listener
	lateSeen atomic.Int64
}

type counted struct {
	net.Listener
	b *backend
}

type countedConn struct {
	net.Conn
	b    *backend
	once sync.Once
}

func (c counted) Accept() (net.Conn, error) {
	n, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := c.b.conns.Add(1)
	for {
		m := c.b.mostSeen.Load()
		if k <= m || c.b.mostSeen.CompareAndSwap(m, k) {
			break
		}
	}
	if int(k) > c.b.most {
		c.b.led.broken.say("too many connections", "%s (%s) had %d, accepts %d", c.b.addr, c.b.service, k, c.b.most)
	}
	return &countedConn{Conn: n, b: c.b}, nil
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.b.conns.Add(-1) })
	return c.Conn.Close()
}

func (b *backend) start() error {
	var ear net.Listener
	var err error
	for i := 0; i < 50; i++ {
		if ear, err = net.Listen("tcp", b.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.life = fmt.Sprintf("%s-%08x", b.service, rand.Uint32())
	b.work_ = make(chan struct{}, b.slots)
	b.leftAt.Store(0)
	b.conns.Store(0)
	ready, plain := "ready", ""
	b.state.Store(&ready)
	b.mode.Store(&plain)
	b.ear = ear
	b.srv = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.srv.Serve(counted{ear, b})
	done, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.beat(done)
	return nil
}

func (b *backend) crash() {
	b.stop()
	b.ear.Close()
	b.srv.Close()
}

func (b *backend) post(path string, v any) (int, error) {
	body, _ := json.Marshal(v)
	list := b.beats()
	c := http.Client{Timeout: 2 * time.Second}
	var err error
	for i := 0; i < 3; i++ {
		var resp *http.Response
		resp, err = c.Post("http://"+list[rand.Intn(len(list))]+path, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return 200, nil
		}
		err = fmt.Errorf("status %d", resp.StatusCode)
		time.Sleep(50 * time.Millisecond)
	}
	return 0, err
}

func (b *backend) words() map[string]any {
	return b.tell(map[string]any{"service": b.service, "address": b.addr, "slotCount": b.slots, "state": *b.state.Load(), "coldLeftMs": 0})
}

func (b *backend) tell(v map[string]any) map[string]any {
	if b.names {
		v["cell"], v["incarnation"] = b.cell, b.life
	}
	return v
}

func (b *backend) beat(done context.Context) {
	for {
		b.post("/beats", b.words())
		select {
		case <-done.Done():
			return
		case <-time.After(1500*time.Millisecond + time.Duration(rand.Intn(500))*time.Millisecond):
		}
	}
}

func (b *backend) drain() error {
	s := "leaving"
	b.state.Store(&s)
	_, err := b.post("/drains", b.tell(map[string]any{"service": b.service, "address": b.addr}))
	if err == nil {
		b.leftAt.Store(time.Now().UnixNano())
	}
	return err
}

func (b *backend) signOff() {
	b.stop()
	b.post("/sign-offs", b.tell(map[string]any{"service": b.service, "address": b.addr}))
}

func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write([]byte(p + "\x00"))
	}
	return hex.EncodeToString(h.Sum(nil)[:12])
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/soundness" && !b.names {
		http.Error(w, "no such path", 404)
		return
	}
	if r.URL.Path == "/soundness" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"service": b.service, "incarnation": b.life})
		return
	}
	now := time.Now()
	if at := b.leftAt.Load(); at != 0 && now.Sub(time.Unix(0, at)) > 2*time.Second {
		b.led.broken.say("sent to a leaving backend", "%s got a visit %v after its drain was heard", b.addr, now.Sub(time.Unix(0, at)))
	} else if at != 0 {
		b.lateSeen.Store(max(b.lateSeen.Load(), int64(now.Sub(time.Unix(0, at)))))
	}
	if got := r.Header.Get("Sloeturn-Service"); got != b.service {
		b.led.broken.say("ran on a service nobody allowed", "%s serves %s, got a visit for %s", b.addr, b.service, got)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.led.run(r.Header.Get("Idempotency-Key"), r.Header.Get("Sloeturn-Visit"), b.addr)
	places := b.work_
	places <- struct{}{}
	time.Sleep(b.work())
	<-places
	b.served.Add(1)
	nonce := r.Header.Get("X-Nonce")
	out, _ := json.Marshal(map[string]any{"nonce": nonce, "sum": digest(nonce, string(body)), "by": b.addr})
	switch mode := *b.mode.Load(); mode {
	case "lose":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
		return
	case "truncate":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(out), out[:len(out)/2])
			c.Close()
		}
		return
	case "garble":
		out = append(out[:len(out)/2], []byte("\x00\xff wrong")...)
	case "oversize":
		out, _ = json.Marshal(map[string]any{"nonce": nonce, "pad": string(bytes.Repeat([]byte("x"), 2<<20))})
	case "error":
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(503)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(out)
}
