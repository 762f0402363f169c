package data

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/forward"
	"sloeturn/ident"
)

// HeaderNames are the names of the headers of routed requests.
type HeaderNames struct {
	RequestID string // the client's ID of the request, repeated in the backend's answer
	TimeLeft  string // milliseconds that the client still waits
	Instance  string // the backend incarnation that a request is meant for
	Seal      string // present in every successful answer
	NotRun    string // set by a backend that did not run the request
}

// NotReadyReason returns why the node is not ready, or "" if it is.
func (n *Node) NotReadyReason() string { return *n.notReady.Load() }

// RoutedHandler serves requests that are routed by host and path.
func (n *Node) RoutedHandler(d HeaderNames) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limitBodyWait(w, r)
		n.serveRouted(w, r, &d)
	})
}

// writeRoutedRefusal answers a routed request that got no backend's answer.
func (n *Node) writeRoutedRefusal(w http.ResponseWriter, a forward.Answer) {
	h := w.Header()
	n.setNodeHeaders(h)
	if a.RetryAfter > 0 && a.Ran == forward.RanNo {
		h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	daemon.WriteJSON(w, a.Status, refusalBody{Ran: string(a.Ran), Reason: a.Reason, RetryAfterMs: a.RetryAfter.Milliseconds(), Known: a.Known})
}

// readTimeouts returns the configured limits on reading a head and on idle time; 0 for the defaults.
func (n *Node) readTimeouts() (head, idle time.Duration) {
	if config := n.config.Load().desired; config != nil && config.Limits != nil {
		return config.Limits.HeaderTimeout, config.Limits.IdleTimeout
	}
	return 0, 0
}

// headBytes returns the configured limit on the size of a head; 0 for none.
func (n *Node) headBytes() int64 {
	if config := n.config.Load().desired; config != nil && config.Limits != nil {
		return config.Limits.HeaderBytes
	}
	return 0
}

// requestHeadSize approximates the size of a request's head.
func requestHeadSize(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}

// hostOf returns the request's host in lower case, without the port.
func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return strings.ToLower(host)
}

// pathOf returns the request's path as the client wrote it.
func pathOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// errHeadWritten ends the writing of a request after its head.
var errHeadWritten = errors.New("head written")

// headWriter keeps what is written to it up to the end of a request's head, and fails after it.
type headWriter struct{ head []byte }

func (w *headWriter) Write(b []byte) (int, error) {
	w.head = append(w.head, b...)
	end := bytes.Index(w.head, []byte("\r\n\r\n"))
	if end < 0 {
		return len(b), nil
	}
	w.head = w.head[:end+len("\r\n\r\n")]
	return len(b), errHeadWritten
}

// encodeHead returns the head of a request to a backend. The request target of a routed one is written as
// the client wrote it, because net/http would normalize it.
func (pending *call) encodeHead(req *http.Request) ([]byte, error) {
	var w headWriter
	if err := req.Write(&w); err != nil && !errors.Is(err, errHeadWritten) {
		return nil, err
	}
	if pending.HeaderNames == nil || !strings.HasPrefix(pending.req.RequestURI, "/") {
		return w.head, nil
	}
	_, rest, _ := bytes.Cut(w.head, []byte("\r\n"))
	return append([]byte(req.Method+" "+pending.req.RequestURI+" HTTP/1.1\r\n"), rest...), nil
}

// encode returns the pieces of a request to a backend, or of its beginning. A short body shares a piece with
// the head.
func (pending *call) encode(req *http.Request) (payload, error) {
	head, err := pending.encodeHead(req)
	if err != nil {
		return payload{}, err
	}
	pieces := pending.body.pieces
	if pending.rest != nil && pending.rest.length < 0 {
		pieces = nil
		for _, piece := range pending.body.pieces {
			pieces = append(pieces, chunkOf(piece, false)...)
		}
		return payload{pieces: append([][]byte{head}, pieces...)}, nil
	}
	if pending.rest == nil && pending.body.size <= maxPieceBytes {
		for _, piece := range pieces {
			head = append(head, piece...)
		}
		pieces = nil
	}
	return payload{pieces: append([][]byte{head}, pieces...)}, nil
}

// remaining returns how long the client still waits, at most limit if it doesn't say; false if the
// header is malformed.
func (d *HeaderNames) remaining(r *http.Request, limit time.Duration) (time.Duration, bool) {
	text := r.Header.Get(d.TimeLeft)
	if text == "" {
		return limit, true
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxExpiryMs)) * time.Millisecond, true
}

func (n *Node) serveRouted(w http.ResponseWriter, r *http.Request, d *HeaderNames) {
	start := ident.Now()
	config := n.config.Load()
	refuse := func(status int, reason string, retryAfter time.Duration) {
		answerEarly(w, r, func() { n.writeRoutedRefusal(w, n.refusal(status, reason, retryAfter)) })
	}
	if config.desired == nil {
		refuse(503, "no desired state read yet", n.startupRetryAfter(start))
		return
	}
	if limits := config.desired.Limits; limits != nil && limits.HeaderBytes > 0 && requestHeadSize(r) > limits.HeaderBytes {
		refuse(431, "head too large", 0)
		return
	}
	if len(r.Header.Values(d.RequestID)) > 1 {
		refuse(400, "header "+d.RequestID+" given twice", 0)
		return
	}
	path := pathOf(r)
	route := config.desired.FindRoute(hostOf(r), path)
	if route == nil {
		refuse(404, "no route to this place", 0)
		return
	}
	lane := route.PickLane(n.nextRandom())
	timeLeft, ok := d.remaining(r, lane.RequestTimeout)
	if !ok {
		refuse(400, "header "+d.TimeLeft+" must be milliseconds", 0)
		return
	}
	if timeLeft <= 0 {
		refuse(504, "expiry passed", 0)
		return
	}
	claim := daemon.TakeClaim(r)
	body, refusal := readBody(w, r, lane, timeLeft, claim)
	if refusal != nil {
		claim.Release()
		refuse(refusal.status, refusal.reason, retryAfterMemory(refusal.status))
		return
	}
	id := ident.RequestID(fmt.Sprintf("%s-%x-%d", n.State.Member, uint64(n.State.Incarnation)&0xffffffff, n.lastRequest.Add(1)))
	pending := &call{HeaderNames: d, id: id, lane: lane, req: r, body: body.payload, rest: body.rest, claim: claim, path: path, clientAnswers: make(chan clientAnswer, 2)}
	n.submit(w, pending, forward.Arrival{ID: id, Lane: lane.Name, Rule: lane, Arrived: ident.Now(), Deadline: start.Add(timeLeft), SingleUse: body.rest != nil}, config.generation)
}

// startupRetryAfter is the Retry-After of a refusal because the node has no valid configuration yet.
func (n *Node) startupRetryAfter(now ident.Moment) time.Duration {
	return StartupRetryAfter(strconv.FormatUint(n.nextRandom(), 10), now.Sub(n.State.startedAt))
}

// nextRandom returns a pseudo-random number that depends on the member and a counter only.
func (n *Node) nextRandom() uint64 {
	return ident.Hash(string(n.State.Member), strconv.FormatUint(n.lastRequest.Add(1), 10))
}

// routedRequest makes the request for a backend from a routed one.
func (pending *call) routedRequest(addr ident.Addr, answerBy ident.Moment) *http.Request {
	u := &url.URL{Scheme: "http", Host: string(addr), RawQuery: pending.req.URL.RawQuery, ForceQuery: pending.req.URL.ForceQuery, Path: pending.req.URL.Path, RawPath: pending.req.URL.RawPath}
	req := &http.Request{Method: pending.req.Method, URL: u, Host: pending.req.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	daemon.CopyHeaders(req.Header, pending.req.Header)
	copyBindingHeaders(req.Header, pending.req.Header, pending.RequestID)
	req.Header.Set(pending.TimeLeft, millisecondsTo(answerBy))
	if pending.incarnation != "" {
		req.Header.Set(pending.Instance, pending.incarnation)
	}
	pending.setBody(req)
	return req
}

// carriesRequestID reports whether an answer repeats the request's ID exactly once, or has none if the
// request has none.
func (pending *call) carriesRequestID(resp *http.Response) bool {
	want, got := pending.req.Header.Get(pending.RequestID), resp.Header.Values(pending.RequestID)
	if want == "" && len(got) == 0 {
		return true
	}
	return len(got) == 1 && got[0] == want
}

// copyBindingHeaders copies headers that tie an answer to its request, even if Connection lists them.
func copyBindingHeaders(target, source http.Header, names ...string) {
	for _, name := range names {
		if v := source.Values(name); len(v) > 0 {
			target[http.CanonicalHeaderKey(name)] = v
		}
	}
}

// answersOtherRequest reports whether an answer carries the ID of another request.
func (pending *call) answersOtherRequest(resp *http.Response) bool {
	got := resp.Header.Values(pending.RequestID)
	return len(got) == 1 && got[0] != "" && !pending.carriesRequestID(resp)
}

// notRunEnding classifies an answer by whether the backend says that it did not run the request.
func (pending *call) notRunEnding(resp *http.Response) forward.Ending {
	switch {
	case pending.HeaderNames == nil || resp.Header.Get(pending.NotRun) == "":
		return forward.Complete
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return forward.Misdirected
	}
	return forward.Rejected
}

// verified reports whether an answer proves that it belongs to the request; a success must bear the seal.
func (pending *call) verified(resp *http.Response) bool {
	if !pending.carriesRequestID(resp) || resp.Header.Get("Content-Encoding") != "" {
		return false
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	return !success || resp.Header.Get(pending.Seal) != "" && resp.Header.Get(pending.NotRun) == ""
}
