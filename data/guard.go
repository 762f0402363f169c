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

type Times struct {
	lock  sync.Mutex
	Probe uint64
}

func (n *Node) startGuard(g Guard) {
	done, stop := context.WithCancel(context.Background())
	n.lock.Lock()
	n.guards[g.Addr] = stop
	n.lock.Unlock()
	go func() {
		why := n.runGuard(done, g)
		n.lock.Lock()
		delete(n.guards, g.Addr)
		n.lock.Unlock()
		n.Put(GuardLost{g.Addr, g.Life, why})
	}()
}

func (n *Node) endGuard(e GuardEnd) {
	n.lock.Lock()
	stop := n.guards[e.Addr]
	n.lock.Unlock()
	if stop != nil {
		stop()
	}
}

func (n *Node) runGuard(done context.Context, g Guard) string {
	d := net.Dialer{Timeout: 500 * time.Millisecond}
	c, err := d.DialContext(done, "tcp", string(g.Addr))
	if err != nil {
		return "the probe was refused"
	}
	defer c.Close()
	go func() {
		<-done.Done()
		c.Close()
	}()
	b := bufio.NewReader(c)
	made := false
	for {
		req, _ := http.NewRequest("GET", "http://"+string(g.Addr)+g.Probe.Path, nil)
		req.Header.Set("Sloeturn-Probe", string(g.Service))
		c.SetDeadline(time.Now().Add(g.Probe.Wait))
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
		named, why := unsound(resp, body, g)
		if why != "" {
			return why
		}
		if !made {
			made = true
			n.Put(GuardMade{g.Addr, g.Life, named})
		}
		c.SetDeadline(time.Now().Add(g.Probe.Every))
		if _, err := b.Peek(1); err == nil {
			return "the probe's connection sent bytes nobody asked for"
		} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
			return "the probe's connection broke"
		}
	}
}

func unsound(resp *http.Response, body []byte, g Guard) (named bool, why string) {
	if resp.StatusCode >= 500 {
		return false, "the probe was answered " + resp.Status
	}
	if resp.Close {
		return false, "the backend does not keep the probe's connection"
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
