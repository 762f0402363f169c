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

// executionLog records which requests the backends executed and reports a key that was executed twice.
type executionLog struct {
	mu         sync.Mutex
	countByKey map[string]int
	executedAt map[string]time.Time // by request id
	violations *violationLog
}

func (l *executionLog) add(key, requestID, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if requestID != "" {
		l.executedAt[requestID] = time.Now()
	}
	if key != "" {
		l.countByKey[key]++
		if l.countByKey[key] > 1 {
			l.violations.report("executed twice", "key %s was executed %d times, last at %s", key, l.countByKey[key], address)
		}
	}
}

func (l *executionLog) executed(requestID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.executedAt[requestID]
	return ok
}

// violationLog counts the violations of each kind and keeps the first of each.
type violationLog struct {
	mu    sync.Mutex
	count map[string]int
	first map[string]string
}

func (v *violationLog) report(kind, format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.count == nil {
		v.count, v.first = map[string]int{}, map[string]string{}
	}
	v.count[kind]++
	if v.count[kind] == 1 {
		v.first[kind] = fmt.Sprintf(format, args...)
	}
}

// backend is a test backend that announces itself, executes requests and can fail in several ways.
type backend struct {
	deployment           *deployment
	service              string
	address              string
	cell                 string
	slots                int
	maxConnections       int
	drawServiceTime      func() time.Duration
	executions           *executionLog
	announceAddrs        func() []string
	announcesIncarnation bool

	incarnation         string
	server              *http.Server
	openConnections     atomic.Int64
	peakConnections     atomic.Int64
	workSlots           chan struct{} // limits the requests that are executed at once
	servedCount         atomic.Int64
	drainedAtNs         atomic.Int64 // when the drain was acknowledged; 0: not drained
	state               atomic.Pointer[string]
	stopHeartbeats      context.CancelFunc
	answerFault         atomic.Pointer[string] // how answers are corrupted; empty: not at all
	listener            net.Listener
	longestAfterDrainNs atomic.Int64
}

// countingListener counts the open connections and reports when there are more than the backend accepts.
type countingListener struct {
	net.Listener
	backend *backend
}

type countingConn struct {
	net.Conn
	backend *backend
	once    sync.Once
}

func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	open := c.backend.openConnections.Add(1)
	for {
		peak := c.backend.peakConnections.Load()
		if open <= peak || c.backend.peakConnections.CompareAndSwap(peak, open) {
			break
		}
	}
	if int(open) > c.backend.maxConnections {
		c.backend.executions.violations.report("too many connections", "%s (%s) had %d, accepts %d", c.backend.address, c.backend.service, open, c.backend.maxConnections)
	}
	return &countingConn{Conn: conn, backend: c.backend}, nil
}

func (c *countingConn) Close() error {
	c.once.Do(func() { c.backend.openConnections.Add(-1) })
	return c.Conn.Close()
}

// start starts the backend, or starts it again after a crash, under a new incarnation.
func (b *backend) start() error {
	var listener net.Listener
	var err error
	// The address can be in use for a moment after a crash.
	for i := 0; i < 50; i++ {
		if listener, err = net.Listen("tcp", b.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	b.incarnation = fmt.Sprintf("%s-%08x", b.service, rand.Uint32())
	b.workSlots = make(chan struct{}, b.slots)
	b.drainedAtNs.Store(0)
	b.openConnections.Store(0)
	ready, none := "ready", ""
	b.state.Store(&ready)
	b.answerFault.Store(&none)
	b.listener = listener
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(countingListener{listener, b})
	ctx, cancel := context.WithCancel(context.Background())
	b.stopHeartbeats = cancel
	go b.sendHeartbeats(ctx)
	return nil
}

func (b *backend) crash() {
	b.stopHeartbeats()
	b.listener.Close()
	b.server.Close()
}

// announce posts an announcement to a random process and retries it at others.
func (b *backend) announce(path string, value any) (int, error) {
	body, _ := json.Marshal(value)
	addresses := b.announceAddrs()
	client := http.Client{Timeout: 2 * time.Second}
	var err error
	for i := 0; i < 3; i++ {
		var resp *http.Response
		resp, err = client.Post("http://"+addresses[rand.Intn(len(addresses))]+path, "application/json", bytes.NewReader(body))
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

func (b *backend) heartbeatBody() map[string]any {
	return b.withIncarnation(map[string]any{"service": b.service, "address": b.address, "slotCount": b.slots, "state": *b.state.Load(), "coldLeftMs": 0})
}

// withIncarnation adds the cell and the incarnation if this backend announces them.
func (b *backend) withIncarnation(announcement map[string]any) map[string]any {
	if b.announcesIncarnation {
		announcement["cell"], announcement["incarnation"] = b.cell, b.incarnation
	}
	return announcement
}

func (b *backend) sendHeartbeats(ctx context.Context) {
	for {
		b.announce("/beats", b.heartbeatBody())
		select {
		case <-ctx.Done():
			return
		case <-time.After(1500*time.Millisecond + time.Duration(rand.Intn(500))*time.Millisecond):
		}
	}
}

func (b *backend) drain() error {
	leaving := "leaving"
	b.state.Store(&leaving)
	_, err := b.announce("/drains", b.withIncarnation(map[string]any{"service": b.service, "address": b.address}))
	if err == nil {
		b.drainedAtNs.Store(time.Now().UnixNano())
	}
	return err
}

func (b *backend) deregister() {
	b.stopHeartbeats()
	b.announce("/sign-offs", b.withIncarnation(map[string]any{"service": b.service, "address": b.address}))
}

// digest identifies the parts; clients check with it that an answer belongs to their request.
func digest(parts ...string) string {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write([]byte(part + "\x00"))
	}
	return hex.EncodeToString(hash.Sum(nil)[:12])
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/soundness" && !b.announcesIncarnation {
		http.Error(w, "no such path", 404)
		return
	}
	if r.URL.Path == "/soundness" {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(map[string]any{"service": b.service, "incarnation": b.incarnation})
		return
	}
	now := time.Now()
	if drainedAt := b.drainedAtNs.Load(); drainedAt != 0 && now.Sub(time.Unix(0, drainedAt)) > 2*time.Second {
		b.executions.violations.report("sent to a drained backend", "%s got a request %v after its drain was acknowledged", b.address, now.Sub(time.Unix(0, drainedAt)))
	} else if drainedAt != 0 {
		b.longestAfterDrainNs.Store(max(b.longestAfterDrainNs.Load(), int64(now.Sub(time.Unix(0, drainedAt)))))
	}
	if service := r.Header.Get("Sloeturn-Service"); service != b.service {
		b.executions.violations.report("executed by the wrong service", "%s serves %s, got a request for %s", b.address, b.service, service)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.executions.add(r.Header.Get("Idempotency-Key"), r.Header.Get("Sloeturn-Visit"), b.address)
	slots := b.workSlots
	slots <- struct{}{}
	time.Sleep(b.drawServiceTime())
	<-slots
	b.servedCount.Add(1)
	nonce := r.Header.Get("X-Nonce")
	answer, _ := json.Marshal(map[string]any{"nonce": nonce, "sum": digest(nonce, string(body)), "by": b.address})
	switch answerFault := *b.answerFault.Load(); answerFault {
	case "lose":
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			conn.Close()
		}
		return
	case "truncate":
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer[:len(answer)/2])
			conn.Close()
		}
		return
	case "garble":
		answer = append(answer[:len(answer)/2], []byte("\x00\xff wrong")...)
	case "oversize":
		answer, _ = json.Marshal(map[string]any{"nonce": nonce, "pad": string(bytes.Repeat([]byte("x"), 2<<20))})
	case "error":
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(503)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(answer)
}
