package data

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/quota"
)

// behavior is what a backend does with one attempt.
type behavior struct {
	Read      int    // bytes of the request that are read before the end; -1: all
	Kind      string // kind of answer, see answerText
	Chunked   bool   // the body is chunked and has a trailer
	Before    string // a surplus answer ahead of it
	After     string // surplus bytes right behind it
	Later     string // surplus bytes after the client was answered, or with the next attempt
	Cut       int    // bytes of the answer that are written; -1: all
	Corrupt   int    // byte of the answer's head that is changed; -1: none
	End       string // how the connection ends
	Piecewise bool   // the answer is written in small pieces
	Filler    int    // bytes in each of the three parts of the answer's body, beside what is checked
}

// clientRequest is one request of a client.
type clientRequest struct {
	ID, Method, Path, Body string
	Chunked                bool
	Left                   int
	Sent                   int // bytes that are sent before the client ends; -1: all
	Pieces                 int
	behaviors              []behavior
	bytes                  []byte
}

// clientConn is one client's connection.
type clientConn struct {
	Requests  []*clientRequest
	Pipelined bool
	End       string // after the last request: half, reset, close or wait
}

// executions counts how often backends ran a request, and lists the statuses that tell its client that
// it did not run.
type executions struct {
	count    int
	refusals []string
}

// round is one round of requests, and what the backends saw of them.
type round struct {
	lock       sync.Mutex
	requests   map[string]*clientRequest
	executions map[string]*executions
	later      map[string][]func()
	faults     []string
	lastToken  int
	attempts   map[string]int
	done       chan struct{}
}

func (s *round) fault(f string, a ...any) { s.faults = append(s.faults, fmt.Sprintf(f, a...)) }

// answerText returns an answer of the given kind, and whether the backend ran the request.
func answerText(kind, id, method, token string, coded bool) (string, bool) {
	return filledAnswerText(kind, id, method, token, coded, 0)
}

// filledAnswerText returns the same with a filler in each part of the body.
func filledAnswerText(kind, id, method, token string, coded bool, filler int) (string, bool) {
	head, good, runs := "", true, true
	name := "Visit-Name: " + id + "\r\n"
	body := strings.Repeat("["+id+"."+token+strings.Repeat("~", filler)+"]", 3)
	switch kind {
	case "sound", "late":
		head = "200 OK\r\nSealed: wax-" + id + "\r\n"
	case "own 500", "own 502", "own 504", "own 404":
		head = kind[4:] + " Own\r\nSealed: wax-" + id + "\r\n"
	case "bare 503", "bare 429", "bare 408", "bare 421":
		head = kind[5:] + " Bare\r\n"
	case "turned 503", "turned 429", "turned 400", "turned 421":
		head, runs = kind[7:]+" Full\r\nTurned-Away: full\r\nRetry-After: 0.01\r\n", false
	case "nameless 503":
		head, name = "503 Full\r\nTurned-Away: full\r\n", ""
	case "nameless 500":
		head, name = "500 Own\r\n", ""
	case "nameless 200":
		head, name = "200 OK\r\nSealed: wax\r\n", ""
	case "no seal":
		head = "200 OK\r\n"
	case "turned 200":
		head = "200 OK\r\nSealed: wax\r\nTurned-Away: full\r\n"
	case "two names":
		head, name = "200 OK\r\nSealed: wax\r\n", name+"Visit-Name: other\r\n"
	case "packed":
		head = "200 OK\r\nSealed: wax\r\nContent-Encoding: gzip\r\n"
	case "odd 099":
		head = "099 Odd\r\nSealed: wax\r\n"
	}
	text := "HTTP/1.1 " + head + name
	if method == "HEAD" {
		return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n", runs && good
	}
	if coded {
		text += "Transfer-Encoding: chunked\r\nTrailer: Visit-Name\r\n\r\n"
		step := max(20, len(body)/20)
		for at := 0; at < len(body); at += step {
			part := body[at:min(len(body), at+step)]
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		return text + "0\r\nVisit-Name: trailer\r\n\r\n", runs
	}
	return text + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body, runs
}

// surplus returns bytes that don't belong to the answer.
func (s *round) surplus(kind, id, token string) string {
	inner, _ := answerText("sound", id, "GET", token, false)
	switch kind {
	case "again":
		return inner
	case "another":
		w, _ := answerText("sound", "other-"+id, "GET", token, false)
		return w
	case "another's failure":
		w, _ := answerText("own 500", "other-"+id, "GET", token, true)
		return w
	case "another, turned":
		w, _ := answerText("turned 503", "other-"+id, "GET", token, false)
		return w
	case "another around":
		w, _ := answerText("sound", id, "GET", "smuggled", false)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nVisit-Name: other-%s\r\nSealed: wax\r\nContent-Length: %d\r\n\r\n%s", id, len(w), w)
	case "nameless":
		return "HTTP/1.1 408 Request Timeout\r\nTurned-Away: idle\r\nContent-Length: 0\r\n\r\n"
	case "nameless 200":
		return "HTTP/1.1 200 OK\r\nSealed: wax\r\nContent-Length: 5\r\n\r\nextra"
	case "noise":
		return "\x00\x01HTTP/1.1 2"
	case "early":
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	case "line":
		return "\r\n"
	}
	return ""
}

// endConn ends a connection in the given way and reports whether it is closed.
func endConn(conn net.Conn, how string) bool {
	switch how {
	case "reset":
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	case "close":
		conn.Close()
	case "half":
		conn.(*net.TCPConn).CloseWrite()
		return false
	default:
		return false
	}
	return true
}

// serve gives each attempt the behavior that its round planned.
func (h *propertyHarness) serve(conn net.Conn) {
	defer conn.Close()
	b := bufio.NewReader(conn)
	var wait func()
	for {
		if _, err := b.Peek(1); err != nil {
			return
		}
		if wait != nil {
			wait()
			wait = nil
		}
		head, err := readHead(b)
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
		if err != nil {
			h.stray.Store(head, true)
			return
		}
		id := r.Header.Get("Visit-Name")
		found, ok := h.rounds.Load(id)
		if !ok {
			h.stray.Store(head, true)
			return
		}
		s := found.(*round)
		s.lock.Lock()
		request := s.requests[id]
		p := behavior{Read: -1, Kind: "sound", Cut: -1, Corrupt: -1}
		if at := s.attempts[id]; at < len(request.behaviors) {
			p = request.behaviors[at]
		}
		s.attempts[id]++
		s.lastToken++
		token := strconv.Itoa(s.lastToken)
		s.lock.Unlock()
		length, _ := strconv.Atoi(r.Header.Get("Content-Length"))
		if p.Read >= 0 && p.Read < len(head)+length {
			io.CopyN(io.Discard, b, int64(max(0, p.Read-len(head))))
			endConn(conn, "reset")
			return
		}
		if p.Kind == "early" {
			answer, _ := answerText("turned 503", id, r.Method, token, false)
			io.WriteString(conn, answer)
		}
		body, err := readRequestBody(b, head, length)
		if err != nil {
			return
		}
		line, _, _ := strings.Cut(head, "\r\n")
		if want := request.Method + " " + request.Path + " HTTP/1.1"; line != want || string(body) != request.Body {
			s.lock.Lock()
			s.fault("%s was changed: %q %q", id, line, body)
			s.lock.Unlock()
		}
		if p.Kind == "early" {
			if endConn(conn, p.End) {
				return
			}
			continue
		}
		answer, runs := "", true
		if p.Kind != "hang" {
			answer, runs = filledAnswerText(p.Kind, id, request.Method, token, p.Chunked, p.Filler)
		}
		s.lock.Lock()
		if runs {
			s.executions[id].count++
		}
		s.lock.Unlock()
		if p.Kind == "hang" || p.Kind == "late" {
			<-s.done
		}
		if p.Kind == "hang" {
			return
		}
		if p.Corrupt >= 0 {
			at := p.Corrupt % strings.Index(answer, "\r\n\r\n")
			answer = answer[:at] + string(answer[at]^0x15) + answer[at+1:]
		}
		whole := s.surplus(p.Before, id, token) + answer + s.surplus(p.After, id, token)
		cut := p.Cut >= 0 && p.Cut < len(whole)
		if cut {
			whole = whole[:p.Cut]
		}
		if p.Piecewise {
			step := max(40, len(whole)/40)
			for at := 0; at < len(whole); at += step {
				io.WriteString(conn, whole[at:min(len(whole), at+step)])
			}
		} else {
			io.WriteString(conn, whole)
		}
		if cut && p.End == "" {
			conn.Close()
			return
		}
		if endConn(conn, p.End) {
			return
		}
		if p.Later != "" {
			text := s.surplus(p.Later, id, token)
			switch p.Later {
			case "close", "reset", "half":
				wait = func() { endConn(conn, p.Later) }
			default:
				wait = func() { io.WriteString(conn, text) }
			}
			if p.Piecewise {
				then := wait
				wait = nil
				s.lock.Lock()
				s.later[id] = append(s.later[id], then)
				s.lock.Unlock()
			}
		}
	}
}

// readRequestBody reads the body of a request, in chunks if its head says so.
func readRequestBody(b *bufio.Reader, head string, length int) ([]byte, error) {
	if !strings.Contains(head, "Transfer-Encoding: chunked\r\n") {
		body := make([]byte, length)
		_, err := io.ReadFull(b, body)
		return body, err
	}
	body, err := io.ReadAll(httputil.NewChunkedReader(b))
	if err != nil {
		return nil, err
	}
	_, err = io.ReadFull(b, make([]byte, len("\r\n")))
	return body, err
}

func readHead(b *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		l, err := b.ReadString('\n')
		if err != nil {
			return "", err
		}
		head.WriteString(l)
		if l == "\r\n" {
			return head.String(), nil
		}
	}
}

// propertyHarness runs rounds of clients against one gateway and checks each answer.
type propertyHarness struct {
	server *http.Server
	*gateway
	rounds   sync.Map
	stray    sync.Map
	addr     string
	round    int
	tally    sync.Map
	stallFor atomic.Int64
}

func (h *propertyHarness) count(what string) {
	n, _ := h.tally.LoadOrStore(what, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// propertyMemoryBytes is what all clients together may make the node hold.
const propertyMemoryBytes = 64 << 20

func newPropertyHarness(t *testing.T) *propertyHarness {
	g := newGatewayWith(t, longDoc, "s", "s", "s")
	h := &propertyHarness{gateway: g}
	for _, listener := range g.listeners {
		listener.Close()
	}
	g.listeners = nil
	for range g.services {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		g.listeners = append(g.listeners, listener)
		go acceptAll(listener, h.serve)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.Node.Memory = quota.NewMemory(propertyMemoryBytes)
	server := &http.Server{Handler: g.RoutedHandler(testHeaders)}
	daemon.TrackClients(server)
	go server.Serve(daemon.LimitClients(listener, daemon.ListenerOptions{ReadTimeouts: g.readTimeouts, ClientLimits: daemon.ClientLimits{Memory: g.Node.Memory}}))
	t.Cleanup(func() { server.Close() })
	h.server = server
	h.addr = listener.Addr().String()
	g.waitReady()
	h.installStalls()
	return h
}

func drawClientConn(t *rapid.T, name func() string) *clientConn {
	client := &clientConn{Pipelined: rapid.Bool().Draw(t, "pipelined"), End: rapid.SampledFrom([]string{"wait", "wait", "wait", "half", "reset", "close"}).Draw(t, "end")}
	for i := rapid.IntRange(1, 3).Draw(t, "requests"); i > 0; i-- {
		request := &clientRequest{ID: name(), Left: rapid.IntRange(30, 250).Draw(t, "left"), Sent: -1, Pieces: rapid.IntRange(1, 4).Draw(t, "pieces")}
		request.Method = rapid.SampledFrom([]string{"GET", "POST", "POST", "HEAD", "PUT"}).Draw(t, "method")
		request.Path = rapid.SampledFrom([]string{"/a/", "/a/", "/one/", "/r/", "/aim/"}).Draw(t, "route") + request.ID + "?q=%zz"
		if request.Method == "POST" || request.Method == "PUT" {
			request.Body = strings.Repeat(rapid.SampledFrom([]string{"x", "GET /a/smuggled HTTP/1.1\r\nHost: h.example\r\nVisit-Name: smuggled\r\n\r\n", "content-length: 3\r\n"}).Draw(t, "body"), rapid.IntRange(0, 50).Draw(t, "times"))
			request.Chunked = rapid.Bool().Draw(t, "coded")
			if rapid.IntRange(0, 5).Draw(t, "long body") == 0 {
				request.Body += strings.Repeat("x", rapid.IntRange(50000, 300000).Draw(t, "length"))
			}
		}
		for range 3 {
			request.behaviors = append(request.behaviors, drawBehavior(t))
		}
		request.bytes = request.encode()
		client.Requests = append(client.Requests, request)
	}
	if client.End != "wait" && rapid.Bool().Draw(t, "cut off") {
		last := client.Requests[len(client.Requests)-1]
		last.Sent = rapid.IntRange(0, len(last.bytes)).Draw(t, "sent")
	}
	return client
}

func drawBehavior(t *rapid.T) behavior {
	p := behavior{Read: -1, Kind: "sound", Cut: -1, Corrupt: -1}
	if rapid.IntRange(0, 2).Draw(t, "good") == 0 {
		return p
	}
	p.Kind = rapid.SampledFrom([]string{"sound", "sound", "sound", "own 500", "own 502", "own 504", "own 404", "bare 503", "bare 429", "bare 408", "bare 421", "turned 503", "turned 503", "turned 429", "turned 400", "turned 421", "nameless 503", "nameless 500", "nameless 200", "no seal", "turned 200", "two names", "packed", "odd 099", "hang", "late", "early"}).Draw(t, "kind")
	p.Chunked, p.Piecewise = rapid.Bool().Draw(t, "chunks"), rapid.Bool().Draw(t, "halting")
	if rapid.IntRange(0, 4).Draw(t, "long answer") == 0 {
		p.Filler = rapid.IntRange(15000, 100000).Draw(t, "filler")
	}
	more := []string{"", "", "", "", "again", "another", "another's failure", "another, turned", "another around", "nameless", "nameless 200", "noise", "early", "line"}
	p.Before = rapid.SampledFrom([]string{"", "", "", "", "another", "another's failure", "another, turned", "another around", "early"}).Draw(t, "before")
	p.After = rapid.SampledFrom(more).Draw(t, "after")
	p.Later = rapid.SampledFrom(append(more, "close", "reset", "half")).Draw(t, "later")
	p.End = rapid.SampledFrom([]string{"", "", "", "close", "reset", "half"}).Draw(t, "ends")
	switch rapid.IntRange(0, 7).Draw(t, "harm") {
	case 0:
		p.Cut = rapid.IntRange(0, 400+3*p.Filler).Draw(t, "cut")
	case 1:
		p.Corrupt = rapid.IntRange(0, 200).Draw(t, "spoil")
	case 2:
		p.Read = rapid.IntRange(0, 300).Draw(t, "read")
	}
	return p
}

func (request *clientRequest) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nVisit-Name: %s\r\nLeft-Ms: %d\r\n", request.Method, request.Path, request.ID, request.Left)
	switch {
	case request.Method != "POST" && request.Method != "PUT":
		b.WriteString("\r\n")
	case request.Chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if request.Body != "" {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(request.Body), request.Body)
		}
		b.WriteString("0\r\n\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(request.Body), request.Body)
	}
	return b.Bytes()
}

func (h *propertyHarness) runClient(client *clientConn, s *round) {
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		s.lock.Lock()
		s.fault("the gateway refused the connection: %v", err)
		s.lock.Unlock()
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(4 * time.Second))
	b := bufio.NewReader(c)
	send := func(request *clientRequest) bool {
		w := request.bytes
		if request.Sent >= 0 {
			w = w[:request.Sent]
		}
		step := max(1, len(w)/request.Pieces)
		for at := 0; at < len(w); at += step {
			if _, err := c.Write(w[at:min(len(w), at+step)]); err != nil {
				return false
			}
		}
		return true
	}
	last := client.Requests[len(client.Requests)-1]
	if client.Pipelined {
		for _, request := range client.Requests {
			if !send(request) {
				break
			}
		}
	}
	for _, request := range client.Requests {
		if !client.Pipelined && !send(request) {
			return
		}
		if request == last && endConn(c, client.End) {
			h.count("client " + client.End)
			return
		}
		if !h.checkAnswer(b, request, s, client) {
			return
		}
	}
	if client.End == "wait" {
		c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if x, err := b.Peek(1); err == nil {
			s.lock.Lock()
			s.fault("bytes after the last answer to %s: %q", last.ID, x)
			s.lock.Unlock()
		}
	}
}

// checkAnswer reads and checks the answer to one request; false: nothing more can come on this
// connection.
func (h *propertyHarness) checkAnswer(b *bufio.Reader, request *clientRequest, s *round, client *clientConn) bool {
	resp, err := http.ReadResponse(b, &http.Request{Method: request.Method})
	if err != nil {
		h.count("no answer")
		if e, ok := err.(net.Error); ok && e.Timeout() {
			s.lock.Lock()
			s.fault("%s was never answered", request.ID)
			s.lock.Unlock()
		}
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.count("broken answer")
		return false
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	h.count(fmt.Sprint("answer ", resp.StatusCode))
	ownPrefix := "[" + request.ID + "."
	for id := range s.requests {
		if id != request.ID && strings.Contains(string(body)+fmt.Sprint(resp.Header), id+".") {
			s.fault("%s received bytes of %s: %v %q", request.ID, id, resp.Header, body)
		}
	}
	if strings.Contains(string(body), "other-") || strings.Contains(string(body), "smuggled") || strings.Contains(string(body), "extra") {
		s.fault("%s received surplus bytes: %q", request.ID, body)
	}
	if name := resp.Header.Get("Visit-Name"); name != "" && name != request.ID {
		s.fault("%s received the answer to %s", request.ID, name)
	}
	if resp.StatusCode < 300 {
		if resp.Header.Get("Sealed") != "wax-"+request.ID && !h.corrupted(request) {
			s.fault("%s received a success with the seal %q", request.ID, resp.Header.Get("Sealed"))
		}
		if resp.Header.Get("Sealed") == "" || resp.Header.Get("Visit-Name") != request.ID {
			s.fault("%s received a success without request ID or seal", request.ID)
		}
		if request.Method != "HEAD" && !h.corrupted(request) {
			parts := strings.Split(string(body), "]")
			if len(parts) != 4 || parts[0] != parts[1] || parts[1] != parts[2] || !strings.HasPrefix(parts[0], ownPrefix) {
				s.fault("%s received an incomplete body: %q", request.ID, body)
			}
		}
	}
	switch resp.StatusCode {
	case 408, 421, 429, 503:
		s.executions[request.ID].refusals = append(s.executions[request.ID].refusals, strconv.Itoa(resp.StatusCode))
	}
	if resp.StatusCode < 200 {
		s.fault("%s received status %d", request.ID, resp.StatusCode)
	}
	return !resp.Close
}

func (h *propertyHarness) corrupted(request *clientRequest) bool {
	for _, p := range request.behaviors {
		if p.Corrupt >= 0 {
			return true
		}
	}
	return false
}

// installStalls blocks the event loop once a round, just before it handles a Connected event: handlers
// then refuse on their own, and writes come late.
func (h *propertyHarness) installStalls() {
	h.query(func(*State, ident.Moment) any {
		step := h.Step
		h.Step = func(now ident.Moment, e any) {
			if _, ok := e.(Connected); ok {
				if d := time.Duration(h.stallFor.Swap(0)); d > 0 {
					h.count("stall")
					<-time.After(d)
				}
			}
			step(now, e)
		}
		return nil
	})
}

func (h *propertyHarness) runRound(clients []*clientConn, stall time.Duration) []string {
	s := &round{requests: map[string]*clientRequest{}, executions: map[string]*executions{}, attempts: map[string]int{}, later: map[string][]func(){}, done: make(chan struct{})}
	for _, client := range clients {
		for _, request := range client.Requests {
			s.requests[request.ID], s.executions[request.ID] = request, &executions{}
			h.rounds.Store(request.ID, s)
		}
	}
	h.clearEjections()
	h.query(func(st *State, now ident.Moment) any { st.CreditRetries("s", 100); return nil })
	h.stallFor.Store(int64(stall))
	var clientsDone sync.WaitGroup
	for _, client := range clients {
		clientsDone.Add(1)
		go func() {
			defer clientsDone.Done()
			h.runClient(client, s)
			for _, request := range client.Requests {
				s.lock.Lock()
				list := s.later[request.ID]
				delete(s.later, request.ID)
				s.lock.Unlock()
				for _, f := range list {
					f()
				}
			}
		}()
	}
	clientsDone.Wait()
	close(s.done)
	for end := ident.Now().Add(4 * time.Second); ident.Now().Before(end); {
		if h.query(func(st *State, now ident.Moment) any { return st.Open() == 0 }).(bool) {
			break
		}
	}
	return h.check(s, true)
}

// check returns what is wrong with a round. Requests of clients that left may still arrive after it.
func (h *propertyHarness) check(s *round, first bool) []string {
	s.lock.Lock()
	defer s.lock.Unlock()
	h.stray.Range(func(k, _ any) bool { s.fault("a backend received what no client sent: %q", k); return true })
	for id, r := range s.executions {
		again := strings.HasPrefix(s.requests[id].Path, "/r/")
		if r.count > 1 && !again {
			s.fault("%s must not be repeated and ran %d times", id, r.count)
		}
		if r.count > 0 && len(r.refusals) > 0 {
			s.fault("%s ran %d times and received %v", id, r.count, r.refusals)
		}
		if n := s.attempts[id]; n > 3 {
			s.fault("%s was sent %d times", id, n)
		} else if n > 1 && first {
			h.count("sent again")
		}
		if first {
			h.count(fmt.Sprint("ran ", min(r.count, 2)))
		}
	}
	return s.faults
}

func TestWhateverPeersDoEachRequesterHearsItsOwnAnswerOnce(t *testing.T) {
	h := newPropertyHarness(t)
	rapid.Check(t, func(r *rapid.T) {
		n := 0
		h.round++
		name := func() string { n++; return fmt.Sprintf("v%dx%dx", h.round, n) }
		var clients []*clientConn
		stall := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 90, 230}).Draw(r, "stall")) * time.Millisecond
		for i := rapid.IntRange(1, 6).Draw(r, "lines"); i > 0; i-- {
			clients = append(clients, drawClientConn(r, name))
		}
		if faults := h.runRound(clients, stall); len(faults) > 0 {
			r.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
	h.rounds.Range(func(_, s any) bool {
		require.Empty(t, h.check(s.(*round), false))
		return true
	})
	h.server.Close()
	require.Eventually(t, func() bool { return h.Node.Memory.Usage().Used == 0 }, 10*time.Second, 10*time.Millisecond, "memory stays claimed")
	h.tally.Range(func(k, v any) bool { t.Logf("%v: %d", k, v.(*atomic.Int64).Load()); return true })
}
