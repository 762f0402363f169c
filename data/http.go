package data

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/forward"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	lanePath               = "/lanes/"
	maxExpiryMs            = 3600000 // one hour
	maxIdempotencyKeyBytes = 256
	memoryRetryAfter       = time.Second
	answerSlack            = 10 * time.Millisecond // for the reducer's own refusal to arrive first
	AnswerTimeout          = forward.MaxAdmissionWait + answerSlack
)

// refusalBody is the JSON body of an answer that the node gives itself.
type refusalBody struct {
	Ran          string `json:"ran"`
	Reason       string `json:"reason"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	Generation   uint64 `json:"generation"`
	Visit        string `json:"visit,omitempty"`
	Known        uint32 `json:"knownStatus,omitempty"`
}

// writeLaneRefusal answers a lane request that got no backend's answer.
func (n *Node) writeLaneRefusal(w http.ResponseWriter, generation ident.Generation, id ident.RequestID, a forward.Answer) {
	h := w.Header()
	h.Set("Sloeturn-Ran", string(a.Ran))
	n.setNodeHeaders(h)
	h.Set("Sloeturn-Generation", strconv.FormatUint(uint64(generation), 10))
	if a.RetryAfter > 0 && a.Ran == forward.RanNo {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	daemon.WriteJSON(w, a.Status, refusalBody{string(a.Ran), a.Reason, a.RetryAfter.Milliseconds(), uint64(generation), string(id), a.Known})
}

// setNodeHeaders names the trial that the node takes part in, and closes kept connections while the node
// isn't ready, so that clients move to other nodes.
func (n *Node) setNodeHeaders(h http.Header) {
	if trial := n.config.Load().trial; trial != "" {
		h.Set("Sloeturn-Trial", trial)
	}
	if *n.notReady.Load() != "" {
		h.Set("Connection", "close")
	}
}

// LaneHandler serves lane requests, readiness and announcements of backends.
func (n *Node) LaneHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		reason := *n.notReady.Load()
		if reason == "" {
			daemon.WriteJSON(w, 200, map[string]any{"ready": true})
			return
		}
		daemon.WriteJSON(w, 503, map[string]any{"ready": false, "why": reason})
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { daemon.WriteJSON(w, 200, map[string]any{"live": true}) })
	daemon.HandleAnnouncements(mux, func(ctx context.Context, announcement *wire.Announce, connectionOpen func() bool) (uint32, string) {
		n.query(func(s *State, now ident.Moment) any {
			s.Relay.CompleteAnnouncement(announcement, s.Cell, now)
			return nil
		})
		daemon.SetConnectionOpen(announcement, connectionOpen())
		answer := n.Announce(ctx, announcement)
		return answer.Code, answer.Text
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		n.writeLaneRefusal(w, n.config.Load().generation, "", forward.Answer{Status: 404, Ran: forward.RanNo, Reason: "no such path; visits go to /lanes/{lane}/..."})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, lanePath) {
			limitBodyWait(w, r)
			n.serveLane(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// Announce hands an announcement to the reducer and waits for its answer.
func (n *Node) Announce(ctx context.Context, announcement *wire.Announce) AnnounceAnswered {
	token := n.lastToken.Add(1)
	answered := make(chan AnnounceAnswered, 1)
	n.lock.Lock()
	n.announcements[token] = answered
	n.lock.Unlock()
	defer func() {
		n.lock.Lock()
		delete(n.announcements, token)
		n.lock.Unlock()
	}()
	if !n.Offer(AnnounceReceived{token, announcement}) {
		return AnnounceAnswered{token, 503, "busy"}
	}
	select {
	case r := <-answered:
		return r
	case <-ctx.Done():
		return AnnounceAnswered{token, 503, "the cell's holder did not answer"}
	}
}

// announcementAnswered passes an answer to the goroutine that waits for it, if it still does.
func (n *Node) announcementAnswered(a AnnounceAnswered) {
	n.lock.Lock()
	answered := n.announcements[a.Token]
	n.lock.Unlock()
	if answered != nil {
		select {
		case answered <- a:
		default:
		}
	}
}

// expiryOf returns the time left for a lane request, or why the header can't be read.
func expiryOf(r *http.Request) (time.Duration, string) {
	text := r.Header.Get("Sloeturn-Expiry-Ms")
	if text == "" {
		return 0, "header Sloeturn-Expiry-Ms is missing: milliseconds left for this visit"
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms > maxExpiryMs {
		return 0, "header Sloeturn-Expiry-Ms must be a whole number of milliseconds, at most 3600000"
	}
	return time.Duration(ms) * time.Millisecond, ""
}

// tenantAllowed reports whether a key is one of the tenant's; a tenant without keys is open to all.
func tenantAllowed(config *desired.State, lane *desired.Lane, key string) bool {
	tenant := config.Tenants[lane.Tenant]
	if tenant == nil {
		return false
	}
	if len(tenant.KeyDigests) == 0 {
		return true
	}
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	matches := 0
	for _, allowed := range tenant.KeyDigests {
		matches |= subtle.ConstantTimeCompare([]byte(allowed), []byte(digest))
	}
	return matches == 1
}

// serveLane checks a lane request and submits it.
func (n *Node) serveLane(w http.ResponseWriter, r *http.Request) {
	start := ident.Now()
	config := n.config.Load()
	id := ident.RequestID(fmt.Sprintf("%s-%x-%d", n.State.Member, uint64(n.State.Incarnation)&0xffffffff, n.lastRequest.Add(1)))
	refuse := func(status int, reason string, retryAfter time.Duration) {
		answerEarly(w, r, func() { n.writeLaneRefusal(w, config.generation, id, n.refusal(status, reason, retryAfter)) })
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), lanePath), "/")
	if config.desired == nil {
		refuse(503, "no desired state read yet", n.startupRetryAfter(start))
		return
	}
	lane := config.desired.Lanes[ident.Lane(name)]
	if lane == nil {
		refuse(404, "no such lane", 0)
		return
	}
	if !tenantAllowed(config.desired, lane, r.Header.Get("Sloeturn-Key")) {
		refuse(401, "tenant key wrong", 0)
		return
	}
	timeLeft, reason := expiryOf(r)
	if reason != "" {
		refuse(400, reason, 0)
		return
	}
	if timeLeft <= 0 {
		refuse(504, "expiry passed", 0)
		return
	}
	idempotencyKey := r.Header.Get("Idempotency-Key")
	if lane.AtMostOnce && (idempotencyKey == "" || len(idempotencyKey) > maxIdempotencyKeyBytes) {
		refuse(400, "this lane needs a header Idempotency-Key of at most 256 bytes", 0)
		return
	}
	claim := daemon.TakeClaim(r)
	body, refusal := readBody(w, r, lane, timeLeft, claim)
	if refusal != nil {
		claim.Release()
		refuse(refusal.status, refusal.reason, retryAfterMemory(refusal.status))
		return
	}
	pending := &call{id: id, lane: lane, req: r, body: body.payload, rest: body.rest, claim: claim, path: "/" + rest, clientAnswers: make(chan clientAnswer, 2)}
	now := ident.Now()
	arrival := forward.Arrival{ID: id, Lane: lane.Name, Rule: lane, Arrived: now, Deadline: start.Add(timeLeft), SingleUse: body.rest != nil}
	if lane.AtMostOnce {
		keyHash := sha256.Sum256([]byte(lane.Tenant + "\x00" + string(lane.Service) + "\x00" + idempotencyKey))
		arrival.Key = keyHash[:16]
		requestHash := sha256.New()
		requestHash.Write([]byte(r.Method + "\x00" + pending.path + "\x00" + r.URL.RawQuery + "\x00"))
		body.writeTo(requestHash)
		arrival.BodyDigest = requestHash.Sum(nil)[:8]
	}
	n.submit(w, pending, arrival, config.generation)
}

// submit hands a request to the reducer and waits for its answer. If the event loop is too slow, the
// request is refused here, unless writing it has begun.
func (n *Node) submit(w http.ResponseWriter, pending *call, arrival forward.Arrival, generation ident.Generation) {
	id := pending.id
	refuse := func(reason string, retryAfter time.Duration) {
		n.writeRefusal(w, pending, generation, forward.Answer{Status: 503, Ran: forward.RanNo, Reason: reason, RetryAfter: retryAfter})
	}
	if !pending.claim.Grow(exchangeBytes, maxBodyMemoryWait) {
		pending.claim.Release()
		refuse("no memory for an answer", memoryRetryAfter)
		pending.endBody(w)
		return
	}
	defer pending.endBody(w)
	pending.clientGone, pending.ended = make(chan struct{}, 1), make(chan struct{})
	n.lock.Lock()
	n.calls[id] = pending
	n.lock.Unlock()
	defer func() {
		close(pending.ended)
		n.lock.Lock()
		pending.endedAt = ident.Now()
		delivered := pending.delivered
		n.lock.Unlock()
		for _, d := range delivered {
			n.Put(AnswerWritten{d})
		}
		n.forget(id)
		n.forget(pending.hedge)
	}()
	if !n.Offer(RequestArrived{arrival}) {
		refuse("node busy", time.Second)
		return
	}
	timeout := time.NewTimer(forward.AdmissionWait(pending.lane) + answerSlack)
	defer timeout.Stop()
	for {
		select {
		case answer := <-pending.clientAnswers:
			n.writeAnswer(w, generation, pending, answer)
			return
		case <-pending.req.Context().Done():
			n.abandon(pending)
		case <-pending.clientGone:
			n.abandon(pending)
		case <-timeout.C:
			if pending.dispatch.CompareAndSwap(dispatchUndecided, dispatchRefused) {
				refuse("node too slow", 2*time.Second)
				n.Put(ClientLeft{id})
				return
			}
		}
	}
}

// abandon stops serving a client that has left, and ends its connection.
func (n *Node) abandon(pending *call) {
	n.Put(ClientLeft{pending.id})
	if pending.abandoned = true; pending.rest != nil {
		daemon.ResetClient(pending.req)
		pending.awaitSender()
	}
	panic(http.ErrAbortHandler)
}

func (n *Node) writeRefusal(w http.ResponseWriter, pending *call, generation ident.Generation, a forward.Answer) {
	pending.prepareEarlyAnswer(w)
	if pending.HeaderNames != nil {
		n.writeRoutedRefusal(w, a)
		return
	}
	n.writeLaneRefusal(w, generation, pending.id, a)
}

// writeAnswer writes a backend's answer, or the node's own without one, to the client.
func (n *Node) writeAnswer(w http.ResponseWriter, generation ident.Generation, pending *call, a clientAnswer) {
	if a.resp == nil {
		n.writeRefusal(w, pending, generation, a.Answer)
		return
	}
	h := w.Header()
	if pending.HeaderNames != nil {
		daemon.CopyHeaders(h, a.resp.Header)
		copyBindingHeaders(h, a.resp.Header, pending.RequestID, pending.Seal, pending.NotRun)
		n.setNodeHeaders(h)
	} else {
		daemon.CopyHeaders(h, a.resp.Header, "Retry-After")
		h.Set("Sloeturn-Ran", string(forward.RanYes))
		n.setNodeHeaders(h)
		h.Set("Sloeturn-Generation", strconv.FormatUint(uint64(generation), 10))
		h.Set("Sloeturn-Visit", string(pending.id))
	}
	if a.resp.Request.Method == "HEAD" {
		if v := a.resp.Header.Get("Content-Length"); v != "" {
			h.Set("Content-Length", v)
		}
	} else if length := a.length(); length >= 0 && a.resp.StatusCode != 204 && a.resp.StatusCode != 304 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	pending.prepareEarlyAnswer(w)
	daemon.RaiseSendBuffer(pending.req, a.sendBufferBytes())
	if a.claim != nil {
		a.claim.AllowRevocation(func() { daemon.ResetClient(pending.req) })
		// The claim may outlast the answer, and the connection then belongs to the client's next request.
		defer a.claim.ForbidRevocation()
	}
	w.WriteHeader(a.resp.StatusCode)
	if a.transfer != nil {
		n.writeTransfer(w, pending, a)
		return
	}
	watchClient(pending.req).during(func() int {
		written, _ := a.body.writeTo(w)
		http.NewResponseController(w).Flush()
		return written
	})
}

// writeTransfer writes an answer while it is read. If it breaks off, so does the connection of its client,
// which must not take it for whole.
func (n *Node) writeTransfer(w http.ResponseWriter, pending *call, a clientAnswer) {
	defer a.transfer.drop()
	watch := n.watchSlow(pending, a.Request)
	defer watch.finish()
	if a.transfer.writeTo(w, watch) != nil {
		if !pending.req.ProtoAtLeast(1, 1) {
			// Without chunks the end of the connection would be that of the answer.
			daemon.ResetClient(pending.req)
		}
		n.abandon(pending)
	}
}

// length returns the length of the answer's body, -1 if it isn't known.
func (a *clientAnswer) length() int64 {
	if a.transfer != nil {
		return a.transfer.resp.ContentLength
	}
	return a.body.size
}

// sendBufferBytes returns the size of the kernel's buffer from which the answer is best sent.
func (a *clientAnswer) sendBufferBytes() int64 {
	if a.transfer != nil {
		return longPayloadBytes * longPayloadFactor
	}
	return a.body.size
}

// backendRequest makes the request for a backend, which tells it how long it has until answerBy.
func (pending *call) backendRequest(addr ident.Addr, answerBy ident.Moment) *http.Request {
	if pending.HeaderNames != nil {
		return pending.routedRequest(addr, answerBy)
	}
	u := &url.URL{Scheme: "http", Host: string(addr), Opaque: "", RawQuery: pending.req.URL.RawQuery}
	u.Path, _ = url.PathUnescape(pending.path)
	u.RawPath = pending.path
	req := &http.Request{Method: pending.req.Method, URL: u, Host: string(addr), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	daemon.CopyHeaders(req.Header, pending.req.Header)
	req.Header.Set("Sloeturn-Visit", string(pending.id))
	req.Header.Set("Sloeturn-Service", string(pending.lane.Service))
	req.Header.Set("Sloeturn-Lane", string(pending.lane.Name))
	req.Header.Set("Sloeturn-Expiry-Ms", millisecondsTo(answerBy))
	pending.setBody(req)
	return req
}

// millisecondsTo formats the time until a deadline for a header: at least 1, because 0 may mean none.
func millisecondsTo(deadline ident.Moment) string {
	return strconv.FormatInt(max(1, deadline.Sub(ident.Now()).Milliseconds()), 10)
}

// setBody sets the body. It removes Accept-Encoding, because answers must come uncompressed to be checked,
// and keeps net/http from adding a User-Agent.
func (pending *call) setBody(req *http.Request) {
	req.Header.Del("Accept-Encoding")
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = []string{""}
	}
	if pending.rest != nil {
		pending.setRestLength(req)
		return
	}
	if pending.body.size > 0 || pending.req.Method == "POST" || pending.req.Method == "PUT" || pending.req.Method == "PATCH" {
		req.ContentLength = pending.body.size
		req.Body = io.NopCloser(pending.body.reader())
		if pending.body.size == 0 {
			req.Body = http.NoBody
		}
	}
}
