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

// probe is the probe connection to one backend. It is kept open, because its end shows at once that the
// backend's process has ended.
type probe struct {
	StartProbe
	stop      func()
	lock      sync.Mutex
	conn      net.Conn
	idle      bool
	requested uint64 // checks asked for so far
	answered  uint64 // value of requested that the last answer covers
}

// startProbe runs a probe until it is stopped or lost.
func (n *Node) startProbe(order StartProbe) {
	ctx, stop := context.WithCancel(context.Background())
	p := &probe{StartProbe: order, stop: stop}
	n.lock.Lock()
	n.probes[order.Addr] = p
	n.lock.Unlock()
	go func() {
		defer stop()
		reason := n.runProbe(ctx, p)
		n.lock.Lock()
		delete(n.probes, order.Addr)
		n.lock.Unlock()
		n.Put(ProbeLost{order.Addr, order.Incarnation, reason})
	}()
}

func (n *Node) findProbe(a ident.Addr) *probe {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.probes[a]
}

func (n *Node) stopProbe(e StopProbe) {
	if p := n.findProbe(e.Addr); p != nil {
		p.stop()
	}
}

func (n *Node) probeNow(e ProbeNow) {
	if p := n.findProbe(e.Addr); p != nil && p.Incarnation == e.Incarnation {
		p.request()
	}
}

// request has the probe send a request at once, also if it is idle.
func (p *probe) request() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.requested++
	if p.idle {
		p.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginIdle marks the connection as idle until the next interval; false if a request is due already.
func (p *probe) beginIdle(c net.Conn, interval time.Duration) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.requested > p.answered {
		return false
	}
	p.conn, p.idle = c, true
	c.SetDeadline(time.Now().Add(interval))
	return true
}

// endIdle marks the connection as in use and returns the number of checks asked for so far.
func (p *probe) endIdle() uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.idle = false
	return p.requested
}

func (n *Node) connectProbe(ctx context.Context, p *probe) (net.Conn, error) {
	dialer := net.Dialer{Timeout: 500 * time.Millisecond}
	c, err := dialer.DialContext(ctx, "tcp", string(p.Addr))
	if err == nil {
		context.AfterFunc(ctx, func() { c.Close() })
	}
	return c, err
}

// runProbe probes a backend periodically and returns why the probe was lost. To a backend that closes
// the connection after each answer it keeps a second connection open on which nothing is sent.
func (n *Node) runProbe(ctx context.Context, p *probe) string {
	connection, err := n.connectProbe(ctx, p)
	if err != nil {
		return "the probe was refused"
	}
	defer func() { connection.Close() }()
	n.lock.Lock()
	withoutKeepAlive := n.withoutKeepAlive[p.Addr]
	n.lock.Unlock()
	reader := bufio.NewReader(connection)
	for connected := false; !withoutKeepAlive; connected = true {
		requested := p.endIdle()
		req, _ := http.NewRequest("GET", "http://"+string(p.Addr)+p.Probe.Path, nil)
		req.Header.Set("Sloeturn-Probe", string(p.Service))
		connection.SetDeadline(time.Now().Add(p.Probe.Timeout))
		if err := req.Write(connection); err != nil {
			return "the probe's connection broke"
		}
		resp, err := http.ReadResponse(reader, req)
		if err != nil {
			return "the probe was not answered"
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return "the probe's answer broke off"
		}
		named, reason := checkProbeAnswer(resp, body, p.StartProbe)
		if reason != "" {
			return reason
		}
		if resp.Close {
			n.lock.Lock()
			n.withoutKeepAlive[p.Addr] = true
			n.lock.Unlock()
			if connected {
				return "the backend closed the probe's connection"
			}
			connection.Close()
			if connection, err = n.connectProbe(ctx, p); err != nil {
				return "the probe was refused"
			}
			reader.Reset(connection)
			break
		}
		if !connected {
			n.Put(ProbeConnected{p.Addr, p.Incarnation, named})
		} else if requested > p.answered {
			n.Put(ProbeSucceeded{p.Addr, p.Incarnation})
		}
		p.answered = requested
		if !p.beginIdle(connection, p.Probe.Interval) {
			continue
		}
		if reason := awaitProbeConnEnd(reader); reason != "" {
			return reason
		}
	}
	n.Put(ProbeConnected{p.Addr, p.Incarnation, false})
	connection.SetDeadline(time.Time{})
	return awaitProbeConnEnd(reader)
}

// awaitProbeConnEnd waits until an idle probe connection ends, "" if its read deadline comes first.
func awaitProbeConnEnd(reader *bufio.Reader) string {
	if _, err := reader.Peek(1); err == nil {
		return "the probe's connection received unsolicited bytes"
	} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return "the probe's connection broke"
	}
	return ""
}

// checkProbeAnswer tells why an answer to a probe shows another backend than expected, and whether it
// names the service. Answers that name nothing are accepted: backends need not implement the probe.
func checkProbeAnswer(resp *http.Response, body []byte, order StartProbe) (named bool, reason string) {
	if resp.StatusCode >= 500 {
		return false, "the probe was answered " + resp.Status
	}
	var identity struct {
		Service     string `json:"service"`
		Incarnation string `json:"incarnation"`
	}
	if json.Unmarshal(body, &identity) != nil {
		return false, ""
	}
	if identity.Service != "" && ident.Service(identity.Service) != order.Service {
		return false, "the address now serves " + identity.Service
	}
	if identity.Incarnation != "" && order.Incarnation != identity.Incarnation && !strings.HasPrefix(order.Incarnation, cell.UnnamedPrefix) {
		return false, "another incarnation answers"
	}
	return identity.Service != "", ""
}
