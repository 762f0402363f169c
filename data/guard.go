package data

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sloeturn/cell"
	"sloeturn/ident"
)

type sentry struct {
	Guard
	stop  func()
	lock  sync.Mutex
	conn  net.Conn
	idle  bool
	asked uint64
	told  uint64
}

func (n *Node) startGuard(g Guard) {
	done, stop := context.WithCancel(context.Background())
	s := &sentry{Guard: g, stop: stop}
	n.lock.Lock()
	n.guards[g.Addr] = s
	n.lock.Unlock()
	go func() {
		defer stop()
		why := n.runGuard(done, s)
		n.lock.Lock()
		delete(n.guards, g.Addr)
		n.lock.Unlock()
		n.Put(GuardLost{g.Addr, g.Life, why})
	}()
}

func (n *Node) sentry(a ident.Addr) *sentry {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.guards[a]
}

func (n *Node) endGuard(e GuardEnd) {
	if s := n.sentry(e.Addr); s != nil {
		s.stop()
	}
}

func (n *Node) askGuard(e GuardAsk) {
	if s := n.sentry(e.Addr); s != nil && s.Life == e.Life {
		s.ask()
	}
}

func (s *sentry) ask() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.asked++
	if s.idle {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *sentry) rest(c net.Conn, d time.Duration) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.asked > s.told {
		return false
	}
	s.conn, s.idle = c, true
	c.SetDeadline(time.Now().Add(d))
	return true
}

func (s *sentry) wake() uint64 {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.idle = false
	return s.asked
}

func (n *Node) connect(done context.Context, s *sentry) (net.Conn, error) {
	d := net.Dialer{Timeout: 500 * time.Millisecond}
	c, err := d.DialContext(done, "tcp", string(s.Addr))
	if err == nil {
		context.AfterFunc(done, func() { c.Close() })
	}
	return c, err
}

func (n *Node) runGuard(done context.Context, s *sentry) string {
	c, err := n.connect(done, s)
	if err != nil {
		return "the probe was refused"
	}
	defer func() { c.Close() }()
	n.lock.Lock()
	silent := n.silent[s.Addr]
	n.lock.Unlock()
	b := bufio.NewReader(c)
	for made := false; !silent; made = true {
		asked := s.wake()
		req, _ := http.NewRequest("GET", "http://"+string(s.Addr)+s.Probe.Path, nil)
		req.Header.Set("Sloeturn-Probe", string(s.Service))
		c.SetDeadline(time.Now().Add(s.Probe.Wait))
		if err := req.Write(c); err != nil {
			return "the probe's connection broke"
		}
		resp, err := http.ReadResponse(b, req)
		if err != nil {
			return "the probe was not answered"
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return "the probe's answer broke off"
		}
		named, why := unsound(resp, body, s.Guard)
		if why != "" {
			return why
		}
		if resp.Close {
			n.lock.Lock()
			n.silent[s.Addr] = true
			n.lock.Unlock()
			if made {
				return "the backend closed the probe's connection"
			}
			c.Close()
			if c, err = n.connect(done, s); err != nil {
				return "the probe was refused"
			}
			b.Reset(c)
			break
		}
		if !made {
			n.Put(GuardMade{s.Addr, s.Life, named})
		} else if asked > s.told {
			n.Put(GuardSound{s.Addr, s.Life})
		}
		s.told = asked
		if !s.rest(c, s.Probe.Every) {
			continue
		}
		if why := ended(b); why != "" {
			return why
		}
	}
	n.Put(GuardMade{s.Addr, s.Life, false})
	c.SetDeadline(time.Time{})
	return ended(b)
}

func ended(b *bufio.Reader) string {
	if _, err := b.Peek(1); err == nil {
		return "the probe's connection sent bytes nobody asked for"
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return "the probe's connection broke"
	}
	return ""
}

func unsound(resp *http.Response, body []byte, g Guard) (named bool, why string) {
	if resp.StatusCode >= 500 {
		return false, "the probe was answered " + resp.Status
	}
	var who struct {
		Service     string `json:"service"`
		Incarnation string `json:"incarnation"`
	}
	if json.Unmarshal(body, &who) != nil {
		return false, ""
	}
	if who.Service != "" && ident.Service(who.Service) != g.Service {
		return false, "the address now serves " + who.Service
	}
	if who.Incarnation != "" && g.Life != who.Incarnation && !strings.HasPrefix(g.Life, cell.Bare) {
		return false, "another incarnation answers"
	}
	return who.Service != "", ""
}
