package data

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"sloeturn/admission"
	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const frontDoc = `{"fleet":{"nodes":1},"services":{"s":{"maxConnections":40,"named":true,"furtherShots":100},"u":{"maxConnections":40,"named":true}},"tenants":{"t":{}},
"lanes":{"s":{"tenant":"t","service":"s","slots":4,"waiters":4,"answerBytes":4096,"bodyBytes":4096},"u":{"tenant":"t","service":"u","slots":4,"waiters":4,"answerBytes":33554432}},
"routes":{"a":{"host":"h.example","prefix":"/a/","wholeMs":900,"shots":3,"lanes":{"s":1}},
"ab":{"host":"h.example","prefix":"/a/b/","wholeMs":900,"shots":3,"lanes":{"u":1}},
"r":{"host":"h.example","prefix":"/r/","repeatable":true,"wholeMs":900,"shots":3,"lanes":{"s":1}},
"one":{"host":"h.example","prefix":"/one/","wholeMs":900,"shots":1,"lanes":{"s":1}},
"odd":{"host":"h.example","prefix":"/o|d/","wholeMs":900,"shots":1,"lanes":{"s":1}},
"aim":{"host":"h.example","prefix":"/aim/","wholeMs":900,"aimMs":240,"shots":3,"lanes":{"s":1}}}}`

var testHeaders = HeaderNames{RequestID: "Visit-Name", TimeLeft: "Left-Ms", Instance: "Meant-For", Seal: "Sealed", NotRun: "Turned-Away"}

// backendRequest is a request as a backend received it.
type backendRequest struct {
	line    string
	head    http.Header
	body    string
	backend int
}

// scriptedBackends answer by a script: one answer for each request to a path, the last one for all that
// follow.
type scriptedBackends struct {
	listeners []net.Listener
	lock      sync.Mutex
	script    map[string][]string
	seen      []backendRequest
	ended     chan struct{}
}

func (c *scriptedBackends) serveConn(at int, conn net.Conn) {
	defer conn.Close()
	b := bufio.NewReader(conn)
	for {
		line, err := b.ReadString('\n')
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader("GET / HTTP/1.1\r\n"), headOf(b))))
		if err != nil {
			return
		}
		n, _ := strconv.Atoi(r.Header.Get("Content-Length"))
		body := make([]byte, n)
		io.ReadFull(b, body)
		line = strings.TrimSuffix(line, "\r\n")
		_, path, _ := strings.Cut(line, " ")
		path, _, _ = strings.Cut(path, " ")
		head := r.Header.Clone()
		head.Set("Host", r.Host)
		c.lock.Lock()
		c.seen = append(c.seen, backendRequest{line, head, string(body), at})
		answer := c.validAnswer("200 OK", "whole")
		if l := c.script[path]; len(l) > 0 {
			if answer = l[0]; len(l) > 1 {
				c.script[path] = l[1:]
			}
		}
		c.lock.Unlock()
		if answer == "!hang" {
			<-c.ended
			return
		}
		answer, end := strings.CutSuffix(answer, "!close")
		io.WriteString(conn, strings.ReplaceAll(answer, "{id}", r.Header.Get("Visit-Name")))
		if end {
			return
		}
	}
}

func headOf(b *bufio.Reader) io.Reader {
	var all bytes.Buffer
	for {
		line, err := b.ReadString('\n')
		all.WriteString(line)
		if err != nil || line == "\r\n" {
			return &all
		}
	}
}

func (c *scriptedBackends) validAnswer(status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nVisit-Name: {id}\r\nSealed: wax\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func (c *scriptedBackends) setAnswers(path string, list ...string) {
	c.lock.Lock()
	c.script[path] = list
	c.lock.Unlock()
}

func (c *scriptedBackends) requestsTo(path string) []backendRequest {
	c.lock.Lock()
	defer c.lock.Unlock()
	var out []backendRequest
	for _, a := range c.seen {
		if strings.Contains(a.line, " "+path) {
			out = append(out, a)
		}
	}
	return out
}

// gateway is a node in front of scripted backends that serves routed requests.
type gateway struct {
	*Node
	*scriptedBackends
	t        *testing.T
	core     *wire.Core
	table    *cell.BackendTable
	web      *httptest.Server
	at       string
	services []string
	doc      string
}

// longDoc is frontDoc with room for long bodies and answers.
var longDoc = strings.NewReplacer(`"answerBytes":4096`, `"answerBytes":33554432`, `"bodyBytes":4096`, `"bodyBytes":16777216`, `"answerBytes":33554432}}`, `"answerBytes":33554432,"bodyBytes":16777216}}`).Replace(frontDoc)

func newGateway(t *testing.T, serve ...string) *gateway { return newGatewayWith(t, frontDoc, serve...) }

func newGatewayWith(t *testing.T, doc string, serve ...string) *gateway {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	listener.Close()
	g := &gateway{t: t, doc: doc, services: serve, table: cell.New("a", 1), scriptedBackends: &scriptedBackends{script: map[string][]string{}, ended: make(chan struct{})}}
	for i := range serve {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g.listeners = append(g.listeners, listener)
		t.Cleanup(func() { listener.Close() })
		go acceptAll(listener, func(c net.Conn) { g.serveConn(i, c) })
	}
	t.Cleanup(func() { close(g.scriptedBackends.ended) })
	g.Node = NewNode(Config{Member: "n", Addr: ident.Addr(addr), Cell: "a", Incarnation: 7, Seeds: []ident.Addr{"127.0.0.1:9"}}, log.NewNopLogger())
	require.NoError(t, g.Open())
	t.Cleanup(g.Close)
	d, faults := desired.Read([]byte(doc))
	require.Empty(t, faults)
	g.core = &wire.Core{Version: 1, Generation: 1, InForce: 1, Grown: 1, SeatCount: 1, LeaderAddr: "127.0.0.1:9", Seats: []*wire.Seat{{Member: "n", Addr: addr, Incarnation: 7}}}
	for k, n := range ledger.LaneSlots(d) {
		g.core.Floors = append(g.core.Floors, &wire.Floor{Lane: string(k.Lane), Service: string(k.Service), Slots: uint32(n)})
	}
	g.table.Nodes = []string{"n"}
	g.web = httptest.NewServer(g.RoutedHandler(testHeaders))
	g.at = strings.TrimPrefix(g.web.URL, "http://")
	t.Cleanup(g.web.Close)
	return g
}

func (g *gateway) announceBackends() {
	g.query(func(s *State, now ident.Moment) any {
		for i, n := range g.services {
			g.table.HandleAnnounce(&wire.Announce{Addr: g.listeners[i].Addr().String(), Service: n, Incarnation: fmt.Sprint("life-", i), Slots: 2, Epoch: 1, Stands: true}, now)
		}
		g.table.Tick(now)
		if s.Relay.Cells["a"] == nil {
			s.Relay.Cells["a"] = cell.NewReplica("a")
		}
		cellCopy := s.Relay.Cells["a"]
		s.Relay.ApplyCore(g.core, []byte(g.doc), 1, now)
		cellCopy.Apply(g.table.Update(cellCopy.Have(), now), now)
		s.refresh(now)
		return nil
	})
}

func (g *gateway) waitReady() *gateway {
	for i := 0; i < 500; i++ {
		g.announceBackends()
		if g.NotReadyReason() == "" && g.query(func(s *State, now ident.Moment) any { s.CreditRetries("s", 100); return s.Open() == 0 }).(bool) {
			return g
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(g.t, "never ready")
	return g
}

func (g *gateway) raw(text string) (*http.Response, string) {
	c, err := net.Dial("tcp", g.at)
	require.NoError(g.t, err)
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(c, text)
	method, _, _ := strings.Cut(text, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	require.NoError(g.t, err, text)
	body, err := io.ReadAll(resp.Body)
	require.NoError(g.t, err)
	return resp, string(body)
}

func (g *gateway) post(path string, more ...string) (*http.Response, string) {
	g.announceBackends()
	return g.raw("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nVisit-Name: v" + path + "\r\nLeft-Ms: 800\r\n" + strings.Join(more, "") + "Content-Length: 2\r\n\r\nhi")
}

func TestARoutedVisitGoesWhereItsLongestPrefixSays(t *testing.T) {
	g := newGateway(t, "s", "u").waitReady()
	for path, by := range map[string]int{"/a/x": 0, "/a/": 0, "/a/b/x": 1, "/a/b/": 1, "/a/b": 0, "/a/%62/x": 0, "/a/../a/b/x": 0, "/a//b/x": 0, "/r/a/b/x": 0, "/o|d/x": 0} {
		resp, body := g.post(path)
		require.Equal(t, 200, resp.StatusCode, path)
		require.Equal(t, "whole", body)
		got := g.requestsTo(path + " ")
		require.Len(t, got, 1, path)
		require.Equal(t, by, got[0].backend, path)
	}
	for _, host := range []string{"H.Example", "h.example:80", "h.example:99"} {
		resp, _ := g.raw("GET /a/host HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
		require.Equal(t, 200, resp.StatusCode, host)
		got := g.requestsTo("/a/host")
		require.Equal(t, host, got[len(got)-1].head.Get("Host"))
		left, err := strconv.Atoi(got[len(got)-1].head.Get("Left-Ms"))
		require.NoError(t, err)
		require.LessOrEqual(t, left, 900)
		require.Greater(t, left, 600)
	}
	before := len(g.requestsTo("/"))
	for _, text := range []string{"/b/x HTTP/1.1\r\nHost: h.example", "/a HTTP/1.1\r\nHost: h.example", "/A/x HTTP/1.1\r\nHost: h.example", "/a/x HTTP/1.1\r\nHost: g.example", "/a/x HTTP/1.1\r\nHost: h.example."} {
		resp, _ := g.raw("OPTIONS " + text + "\r\n\r\n")
		require.Equal(t, 404, resp.StatusCode, text)
	}
	require.Len(t, g.requestsTo("/"), before)
}

func TestARoutedVisitArrivesAsItWasSent(t *testing.T) {
	g := newGateway(t, "s").waitReady()
	for _, at := range []string{"/a/x", "/a/?", "/a/x?", "/a/x??", "/a/x?a=1&a=2;c", "/a/%2f%2F%7e~", "/a/%zz"[:4] + "41", "/a/a|b", "/a/\"<>^`{}", "/a/#frag", "/a/x?#", "/a/%25%00", "/a/\xc3\xa9", "/a/[];:@!$&'()*+,=", "/a/./../x", "/a//", "/a/x?q=%zz|\"", "/a/%41"} {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "BREW"} {
			g.announceBackends()
			resp, _ := g.raw(method + " " + at + " HTTP/1.1\r\nHost: h.example\r\nVisit-Name: n\r\n\r\n")
			require.Equal(t, 200, resp.StatusCode, at)
			g.locked(func() { require.Equal(t, method+" "+at+" HTTP/1.1", g.seen[len(g.seen)-1].line) })
		}
	}
	long := strings.Repeat("bytes\x00\r\n\xff", 400)
	for _, body := range []string{"", "0", "hi", "GET / HTTP/1.1\r\n\r\n", long} {
		for _, method := range []string{"POST", "GET", "DELETE", "PATCH"} {
			var chunks bytes.Buffer
			w := httputil.NewChunkedWriter(&chunks)
			for i := 0; i < len(body); i += 700 {
				io.WriteString(w, body[i:min(len(body), i+700)])
			}
			w.Close()
			for _, text := range []string{fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "\r\n"} {
				g.announceBackends()
				resp, _ := g.raw(method + " /a/body HTTP/1.1\r\nHost: h.example\r\n" + text)
				require.Equal(t, 200, resp.StatusCode)
				g.locked(func() {
					last := g.seen[len(g.seen)-1]
					require.Equal(t, body, last.body)
					require.Equal(t, method+" /a/body HTTP/1.1", last.line)
					require.Empty(t, last.head.Get("Transfer-Encoding"))
				})
			}
		}
	}
}

func (c *scriptedBackends) locked(do func()) {
	c.lock.Lock()
	defer c.lock.Unlock()
	do()
}

func TestHeadersGoOutAndComeBackAsTheyAre(t *testing.T) {
	g := newGateway(t, "s").waitReady()
	g.setAnswers("/a/heads", "HTTP/1.1 203 Odd\r\nVisit-Name: {id}\r\nSealed: a.b/c=\r\nX-Two: 1\r\nX-Two: 2\r\nRetry-After: 0.25\r\nConnection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=3\r\nSloeturn-Ran: no\r\nContent-Length: 2\r\n\r\nhi")
	resp, body := g.post("/a/heads", "X-One: 1\r\nX-One: 2\r\nConnection: X-Gone\r\nX-Gone: 1\r\nUser-Agent: me\r\nAccept-Encoding: gzip\r\nMeant-For: nobody\r\nSloeturn-Lane: l\r\n")
	require.Equal(t, 203, resp.StatusCode)
	require.Equal(t, "hi", body)
	require.Equal(t, []string{"v/a/heads"}, resp.Header["Visit-Name"])
	require.Equal(t, []string{"a.b/c="}, resp.Header["Sealed"])
	require.Equal(t, []string{"1", "2"}, resp.Header["X-Two"])
	require.Equal(t, []string{"0.25"}, resp.Header["Retry-After"])
	for _, k := range []string{"X-Hop", "Keep-Alive", "Sloeturn-Ran", "Sloeturn-Visit", "Sloeturn-Generation"} {
		require.Empty(t, resp.Header[k], k)
	}
	got := g.requestsTo("/a/heads")[0].head
	require.Equal(t, []string{"1", "2"}, got["X-One"])
	require.Equal(t, []string{"v/a/heads"}, got["Visit-Name"])
	require.Equal(t, []string{"life-0"}, got["Meant-For"])
	require.Equal(t, []string{"me"}, got["User-Agent"])
	left, err := strconv.Atoi(got.Get("Left-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 800)
	require.Greater(t, left, 600)
	for _, k := range []string{"X-Gone", "Accept-Encoding", "Sloeturn-Visit", "Sloeturn-Lane"} {
		require.Empty(t, got[k], k)
	}
	g.setAnswers("/a/short", "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nSealed: w\r\nContent-Length: 5\r\n\r\n")
	g.announceBackends()
	resp, _ = g.raw("HEAD /a/short HTTP/1.1\r\nHost: h.example\r\nVisit-Name: n\r\n\r\n")
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, "5", resp.Header.Get("Content-Length"))
	for left, status := range map[string]int{"0": 504, "-1": 400, "soon": 400, "1e3": 400, "99999999999999999999": 400} {
		resp, _ = g.raw("GET /a/left HTTP/1.1\r\nHost: h.example\r\nLeft-Ms: " + left + "\r\n\r\n")
		require.Equal(t, status, resp.StatusCode, left)
	}
	require.Empty(t, g.requestsTo("/a/left"))
}

func TestWhichAnswersOfARoutedVisitArePassedOn(t *testing.T) {
	g := newGateway(t, "s", "s", "s").waitReady()
	good := g.validAnswer("200 OK", "whole")
	other := strings.ReplaceAll(g.validAnswer("200 OK", "another's"), "{id}", "somebody")
	bad := map[string]string{
		"no-seal":   "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nContent-Length: 2\r\n\r\nno",
		"no-name":   "HTTP/1.1 200 OK\r\nSealed: w\r\nContent-Length: 2\r\n\r\nno",
		"other":     other,
		"many":      other + other + other + other + other + good,
		"cut":       "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nSealed: w\r\nContent-Length: 9\r\n\r\nno!close",
		"cut-chunk": "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nSealed: w\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n!close",
		"open":      "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nSealed: w\r\n\r\nno!close",
		"packed":    "HTTP/1.1 200 OK\r\nVisit-Name: {id}\r\nSealed: w\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
		"huge":      g.validAnswer("200 OK", strings.Repeat("n", 4097)),
		"words":     "SSH-2.0-x\r\n\r\n!close",
		"silent":    "!close",
		"half":      "HTTP/1.1 200 O!close",
		"101":       "HTTP/1.1 101 Other\r\nVisit-Name: {id}\r\nSealed: w\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n!close",
		"503":       g.validAnswer("503 No", "no"),
		"429":       g.validAnswer("429 No", "no"),
		"408":       g.validAnswer("408 No", "no"),
	}
	for _, name := range ident.SortedKeys(bad) {
		for _, path := range []string{"/a/", "/one/", "/r/"} {
			answer := bad[name]
			if name == "other" {
				answer += "!close"
			}
			g.setAnswers(path+name, answer)
			resp, body := g.post(path + name)
			require.Equal(t, 502, resp.StatusCode, path+name)
			require.Empty(t, resp.Header.Get("Retry-After"), name)
			require.NotContains(t, body, "no\"", name)
			limit := 1
			if path == "/r/" && name != "429" && name != "408" {
				limit = 3
			}
			require.Len(t, g.requestsTo(path+name+" "), limit, path+name)
			if path == "/r/" && limit == 3 {
				g.setAnswers(path+name+"2", answer, good)
				resp, body = g.post(path + name + "2")
				require.Equal(t, 200, resp.StatusCode, name)
				require.Equal(t, "whole", body)
				require.Len(t, g.requestsTo(path+name+"2 "), 2)
			}
		}
	}
	for name, answer := range map[string]string{
		"before": other + good, "before-2": other + other + good, "after": good + other, "early": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good,
		"surplus-failure": strings.ReplaceAll(g.validAnswer("500 No", "no"), "{id}", "somebody") + good, "surplus-turned": "HTTP/1.1 503 No\r\nVisit-Name: x\r\nTurned-Away: full\r\nContent-Length: 0\r\n\r\n" + good,
	} {
		for i := 0; i < 3; i++ {
			at := fmt.Sprint("/one/", name, i)
			g.setAnswers(at, answer)
			resp, body := g.post(at)
			require.Equal(t, 200, resp.StatusCode, at)
			require.Equal(t, "whole", body, at)
			require.Equal(t, "v"+at, resp.Header.Get("Visit-Name"))
			resp, body = g.post(fmt.Sprint("/one/next", name, i))
			require.Equal(t, 200, resp.StatusCode, at)
			require.Equal(t, "whole", body, at)
		}
	}
	for _, status := range []string{"500 Own", "502 Own", "504 Own", "404 Own", "400 Own", "301 Own"} {
		at := "/one/" + status[:3]
		g.setAnswers(at, g.validAnswer(status, "its own"))
		resp, body := g.post(at)
		require.Equal(t, status[:3], strconv.Itoa(resp.StatusCode))
		require.Equal(t, "its own", body)
	}
}

func TestAKeptFailureIsTheAnswerWhenNoShotDoesBetter(t *testing.T) {
	g := newGateway(t, "s", "s", "s").waitReady()
	notRun := "HTTP/1.1 503 Full\r\nVisit-Name: {id}\r\nTurned-Away: full\r\nContent-Length: 4\r\n\r\nfull"
	for name, rest := range map[string][]string{"turned": {notRun}, "moved": {"HTTP/1.1 421 Moved\r\nVisit-Name: {id}\r\nTurned-Away: moved\r\nContent-Length: 0\r\n\r\n"}, "cut": {"!close"}, "plain": {g.validAnswer("503 No", "no")}} {
		g.setAnswers("/r/"+name, append([]string{g.validAnswer("500 Own", "its own")}, rest...)...)
		resp, body := g.post("/r/" + name)
		require.Equal(t, 500, resp.StatusCode, name)
		require.Equal(t, "its own", body, name)
		require.Len(t, g.requestsTo("/r/"+name), 3)
		time.Sleep(20 * time.Millisecond)
		g.clearEjections()
	}
}

func (g *gateway) clearEjections() {
	g.query(func(s *State, now ident.Moment) any { clear(s.ejections); s.appliedRevision = 0; return nil })
	g.announceBackends()
}

func TestATurnedVisitGoesElsewhereAndElseIsPassedOnUnchanged(t *testing.T) {
	g := newGateway(t, "s", "s").waitReady()
	for _, status := range []string{"503 Full", "429 Many", "400 Odd", "408 Late"} {
		answer := "HTTP/1.1 " + status + "\r\nVisit-Name: {id}\r\nTurned-Away: why\r\nRetry-After: 0.125\r\nX-More: 1\r\nContent-Length: 4\r\n\r\nfull"
		at := status[:3]
		g.setAnswers("/one/"+at, answer)
		resp, body := g.post("/one/" + at)
		require.Equal(t, status[:3], fmt.Sprint(resp.StatusCode))
		require.Equal(t, "full", body)
		require.Equal(t, "why", resp.Header.Get("Turned-Away"))
		require.Equal(t, "0.125", resp.Header.Get("Retry-After"))
		require.Equal(t, "1", resp.Header.Get("X-More"))
		require.Len(t, g.requestsTo("/one/"+at), 1)
		g.setAnswers("/a/"+at, answer, g.validAnswer("200 OK", "whole"))
		resp, body = g.post("/a/" + at)
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, "whole", body)
		got := g.requestsTo("/a/" + at)
		require.Len(t, got, 2)
		require.NotEqual(t, got[0].backend, got[1].backend)
		require.NotEqual(t, got[0].head.Get("Meant-For"), got[1].head.Get("Meant-For"))
		g.setAnswers("/a/all"+at, answer)
		resp, _ = g.post("/a/all" + at)
		require.Equal(t, status[:3], fmt.Sprint(resp.StatusCode))
		require.Len(t, g.requestsTo("/a/all"+at), 2)
	}
}

func TestAMovedBackendIsBarredAndItsAnswerNeverPassedOn(t *testing.T) {
	g := newGateway(t, "s", "s").waitReady()
	moved := "HTTP/1.1 421 Moved\r\nVisit-Name: {id}\r\nTurned-Away: another\r\nContent-Length: 0\r\n\r\n"
	g.setAnswers("/one/x", moved)
	resp, _ := g.post("/one/x")
	require.Equal(t, 503, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	movedBackend := g.requestsTo("/one/x")[0].backend
	for i := 0; i < 6; i++ {
		at := fmt.Sprint("/a/after", i)
		resp, _ = g.raw("GET " + at + " HTTP/1.1\r\nHost: h.example\r\nVisit-Name: n\r\n\r\n")
		require.Equal(t, 200, resp.StatusCode)
		require.Equal(t, 1-movedBackend, g.requestsTo(at)[0].backend)
	}
	ejected := g.query(func(s *State, now ident.Moment) any {
		a := ident.Addr(g.listeners[movedBackend].Addr().String())
		s.ConnectionFreed(s.keyOf(a), false, true, now)
		s.collectEffects(now)
		return s.Pass.Backend(a).Ejected
	}).(bool)
	require.True(t, ejected)
}

func (s *State) keyOf(a ident.Addr) (k admission.Key) {
	k.Lane, k.Addr = "s", a
	return k
}

// Guards against a node past its lease that denies a route which a newer configuration has.
func TestANodePastItsLeaseDeniesNothing(t *testing.T) {
	g := newGateway(t, "s").waitReady()
	denied := map[string]int{"GET /none/x HTTP/1.1\r\nHost: h.example\r\n\r\n": 404, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nVisit-Name: v\r\nContent-Length: 5000\r\n\r\n": 413}
	for text, status := range denied {
		g.announceBackends()
		resp, _ := g.raw(text)
		require.Equal(t, status, resp.StatusCode, text)
	}
	g.query(func(s *State, now ident.Moment) any {
		s.Relay.LeaseRenewedAt = now.Add(-s.Relay.LeaseDuration)
		return nil
	})
	for text := range denied {
		resp, body := g.raw(text)
		require.Equal(t, 503, resp.StatusCode, text)
		require.NotEmpty(t, resp.Header.Get("Retry-After"), text)
		require.Contains(t, body, "out of touch")
	}
}

func TestKeptConnectionsAreClosedWhileNotReady(t *testing.T) {
	g := newGateway(t, "s")
	resp, _ := g.raw("GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n")
	require.Equal(t, 503, resp.StatusCode)
	require.True(t, resp.Close)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	g.waitReady()
	resp, _ = g.post("/a/x")
	require.Equal(t, 200, resp.StatusCode)
	require.False(t, resp.Close)
	resp, _ = g.post("/none/x")
	require.Equal(t, 404, resp.StatusCode)
	require.False(t, resp.Close)
	g.Put(Drain{})
	for g.NotReadyReason() == "" {
		time.Sleep(time.Millisecond)
	}
	resp, _ = g.post("/a/x")
	require.Equal(t, 200, resp.StatusCode)
	require.True(t, resp.Close)
	resp, _ = g.post("/none/x")
	require.Equal(t, 404, resp.StatusCode)
	require.True(t, resp.Close)
}

func TestARoutedVisitIsRefusedInItsTimeAndToldWhenToComeBack(t *testing.T) {
	g := newGateway(t, "s").waitReady()
	var wait sync.WaitGroup
	defer wait.Wait()
	for i := 0; i < 2; i++ {
		at := fmt.Sprint("/one/hang", i)
		g.setAnswers(at, "!hang")
		wait.Add(1)
		go func() {
			defer wait.Done()
			resp, _ := g.post(at)
			require.Equal(t, 504, resp.StatusCode)
		}()
	}
	for len(g.requestsTo("/one/hang")) < 2 {
		time.Sleep(time.Millisecond)
	}
	refused := func(path string, limit time.Duration) {
		at := ident.Now()
		resp, _ := g.raw("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nLeft-Ms: 700\r\n\r\n")
		elapsed := ident.Now().Sub(at)
		require.Equal(t, 503, resp.StatusCode)
		retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, retryAfter, 0.0)
		require.Less(t, elapsed, limit+20*time.Millisecond, path)
		require.Greater(t, elapsed, limit/2, path)
	}
	refused("/aim/full", 60*time.Millisecond)
	refused("/a/full", 200*time.Millisecond)
	stall, stalled := make(chan struct{}), make(chan struct{})
	g.Put(Query{func(*State, ident.Moment) { close(stalled); <-stall }})
	<-stalled
	refused("/aim/stalled", 60*time.Millisecond)
	refused("/a/stalled", 200*time.Millisecond)
	close(stall)
	require.Empty(t, append(g.requestsTo("/aim/"), g.requestsTo("/a/")...))
}

func TestBytesBeyondTheLimitsReachNobody(t *testing.T) {
	g := newGateway(t, "s").waitReady()
	big := strings.Repeat("x", 4097)
	resp, _ := g.raw("POST /a/big HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4097\r\n\r\n" + big)
	require.Equal(t, 413, resp.StatusCode)
	resp, _ = g.raw("POST /a/big HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1001\r\n" + big + "\r\n0\r\n\r\n")
	require.Equal(t, 413, resp.StatusCode)
	resp, _ = g.raw("POST /a/big HTTP/1.1\r\nHost: h.example\r\nLeft-Ms: 100\r\nContent-Length: 40\r\n\r\n" + "few")
	require.Equal(t, 408, resp.StatusCode)
	require.Empty(t, g.requestsTo("/a/big"))
	resp, _ = g.raw("POST /a/fits HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4096\r\n\r\n" + big[1:])
	require.Equal(t, 200, resp.StatusCode)
	require.Len(t, g.requestsTo("/a/fits"), 1)
}
