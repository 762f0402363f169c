package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/ledger"
	"sloeturn/wire"
)

const (
	// ReadTimeout is how long a read waits until a majority confirms the leader.
	ReadTimeout = 700 * time.Millisecond
	// forwardTimeout bounds a request that is passed on to the leader.
	forwardTimeout     = 900 * time.Millisecond
	editionBasisHeader = "Sloeturn-Edition-Basis"
)

// Registry serves the backends' announcements and the liveness and readiness checks.
func (n *Node) Registry() http.Handler {
	mux := http.NewServeMux()
	daemon.HandleAnnouncements(mux, n.HandleAnnouncement)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { daemon.WriteJSON(w, 200, map[string]any{"live": true}) })
	mux.HandleFunc("GET /ready", n.ready)
	return mux
}

func (n *Node) ready(w http.ResponseWriter, r *http.Request) {
	v, err := n.Query(func(s *State, now ident.Moment) any {
		switch {
		case s.draining:
			return "draining"
		case !s.Relay.CoreFresh(now):
			return "no leader heard of"
		}
		return ""
	})
	if err != nil || v != "" {
		daemon.WriteJSON(w, 503, map[string]any{"ready": false, "why": v})
		return
	}
	daemon.WriteJSON(w, 200, map[string]any{"ready": true})
}

// Operators serves the operators' interface.
func (n *Node) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /desired", func(w http.ResponseWriter, r *http.Request) { n.setDesired(w, r, false) })
	mux.HandleFunc("PATCH /desired", func(w http.ResponseWriter, r *http.Request) { n.setDesired(w, r, true) })
	mux.HandleFunc("DELETE /desired/trial", func(w http.ResponseWriter, r *http.Request) { n.setDesired(w, r, false) })
	mux.HandleFunc("DELETE /desired/held/{place}", n.withdrawHeld)
	mux.HandleFunc("GET /desired/held", n.getHeld)
	mux.HandleFunc("GET /desired", n.getDesired)
	mux.HandleFunc("GET /desired/history", n.sharedQuery(historyReport))
	mux.HandleFunc("GET /desired/{generation}", n.getDesired)
	mux.HandleFunc("GET /fleet", n.sharedQuery(fleetReport))
	mux.HandleFunc("GET /backends", n.sharedQuery(backendsReport))
	mux.HandleFunc("POST /seats/{seat}/free", n.freeSeat)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		n.Put(Drain{})
		daemon.WriteJSON(w, 202, map[string]any{"draining": true})
	})
	mux.HandleFunc("POST /events", n.postEvents)
	mux.Handle("GET /decisions", n.DecisionStream)
	mux.HandleFunc("GET /metrics", n.Metrics)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { daemon.WriteJSON(w, 200, map[string]any{"live": true}) })
	mux.HandleFunc("GET /ready", n.ready)
	return mux
}

// sharedQuery returns a handler that answers with what f reads from the state.
func (n *Node) sharedQuery(f func(s *State, now ident.Moment) any) http.HandlerFunc {
	return daemon.SharedJSON(func() (any, error) { return n.Query(f) })
}

// setDesired serves changes of the configuration: a whole one, a patch, or the start or end of a trial.
func (n *Node) setDesired(w http.ResponseWriter, r *http.Request, merge bool) {
	body, release, err := daemon.ReadJSONBody(w, r, desired.MaxBytes)
	defer release()
	if daemon.RefuseUnreadBody(w, err) {
		return
	}
	if err != nil {
		daemon.WriteError(w, 413, "desired state too large or broken off", nil)
		return
	}
	set := &wire.SetDesired{Doc: body, Merge: merge, Withdraw: r.Method == "DELETE"}
	if only := r.URL.Query().Get("only"); only != "" {
		set.Only = strings.Split(only, ",")
	}
	for i, m := range set.Only {
		if !desired.ValidName(m) || slices.Contains(set.Only[:i], m) {
			daemon.WriteError(w, 400, "only must name members, each once, by comma", nil)
			return
		}
	}
	n.applyChange(w, r, set)
}

// withdrawHeld serves DELETE /desired/held/{place}.
func (n *Node) withdrawHeld(w http.ResponseWriter, r *http.Request) {
	place, err := strconv.ParseUint(r.PathValue("place"), 10, 64)
	if err != nil || place == 0 {
		daemon.WriteError(w, 400, "not a place of a held change", nil)
		return
	}
	n.applyChange(w, r, &wire.SetDesired{TakeOut: place})
}

// applyChange reads a change's basis and id from the headers, proposes it and answers with its outcome.
func (n *Node) applyChange(w http.ResponseWriter, r *http.Request, set *wire.SetDesired) {
	tag := strings.Trim(r.Header.Get("If-Match"), `"`)
	editions, byEdition := r.Header[http.CanonicalHeaderKey(editionBasisHeader)]
	if tag == "" && !byEdition {
		daemon.WriteError(w, 428, "header If-Match must name the generation this change stands on, or "+editionBasisHeader+" its edition", nil)
		return
	}
	if tag != "" && byEdition || len(editions) > 1 {
		daemon.WriteError(w, 400, "one of If-Match and "+editionBasisHeader+" must be given, once", nil)
		return
	}
	if byEdition {
		tag = editions[0]
	}
	tag, tail, _ := strings.Cut(tag, "+")
	if tail != "" && !byEdition {
		t, err := strconv.ParseUint(tail, 10, 64)
		if err != nil {
			daemon.WriteError(w, 400, "header If-Match must be a generation, and with changes held +TAIL after it", nil)
			return
		}
		set.Tail = t
	} else if tail != "" {
		tag = ""
	}
	basis, err := strconv.ParseUint(tag, 10, 64)
	if byEdition && (err != nil || basis > desired.MaxEdition) {
		daemon.WriteError(w, 400, "header "+editionBasisHeader+" must be an edition, or 0 for none", nil)
		return
	}
	if err != nil {
		daemon.WriteError(w, 400, "header If-Match must be a generation", nil)
		return
	}
	id := r.Header.Get("Sloeturn-Change-Id")
	if id == "" || len(id) > 128 {
		daemon.WriteError(w, 400, "header Sloeturn-Change-Id must name this change, in at most 128 bytes", nil)
		return
	}
	done, stop := context.WithTimeout(r.Context(), ChangeTimeout)
	defer stop()
	set.Basis, set.ByEdition, set.ChangeId, set.Author, set.Sum = basis, byEdition, id, r.Header.Get("Sloeturn-Author"), contentSum(set)
	reply := n.Change(done, &wire.Change{Body: &wire.Change_SetDesired{SetDesired: set}}, ChangeTimeout)
	switch ledger.Code(reply.Code) {
	case ledger.Done:
		w.Header().Set("ETag", entityTag(reply.Generation, reply.Tail))
		if set.TakeOut != 0 {
			daemon.WriteJSON(w, 200, map[string]any{"generation": reply.Generation, "edition": reply.Edition, "withdrawn": set.TakeOut, "basis": strings.Trim(entityTag(reply.Generation, reply.Tail), `"`)})
			return
		}
		if len(set.Only) > 0 || set.Withdraw {
			daemon.WriteJSON(w, 200, map[string]any{"generation": reply.Generation, "edition": reply.Edition, "trial": map[bool]string{true: "withdrawn", false: id}[set.Withdraw]})
			return
		}
		daemon.WriteJSON(w, 200, map[string]any{"generation": reply.Generation, "edition": reply.Edition, "inForce": true})
	case ledger.Held:
		w.Header().Set("ETag", entityTag(reply.Generation, reply.Tail))
		body := map[string]any{"held": true, "place": reply.Place, "generation": reply.Generation, "edition": reply.Edition, "basis": strings.Trim(entityTag(reply.Generation, reply.Tail), `"`)}
		if reply.UntilMs > 0 {
			body["until"], body["regions"] = formatTime(reply.UntilMs), reply.Regions
		}
		daemon.WriteJSON(w, 202, body)
	case ledger.Stale:
		w.Header().Set("ETag", entityTag(reply.Generation, reply.Tail))
		conflict := map[string]any{"error": "another change came first", "generation": reply.Generation, "edition": reply.Edition}
		if reply.Tail > 0 {
			conflict["error"], conflict["basis"] = "another change came first; changes are held, see /desired/held", strings.Trim(entityTag(reply.Generation, reply.Tail), `"`)
		}
		daemon.WriteJSON(w, 412, conflict)
	case ledger.Invalid:
		var faults []desired.Fault
		for _, f := range reply.Faults {
			faults = append(faults, desired.Fault{Path: f.Path, Text: f.Text})
		}
		daemon.WriteError(w, 422, "desired state is not sound; nothing of it was taken", faults)
	case ledger.NoLogSpace:
		daemon.WriteError(w, 507, "nothing of it was taken: the disks of the control machines have no room for it; see ring_free_bytes", nil)
	default:
		daemon.WriteError(w, 504, "outcome unknown; ask again with the same change id", nil)
	}
}

// entityTag is a generation as an ETag, with the end of the queue while changes are held.
func entityTag(gen, tail uint64) string {
	if tail > 0 {
		return fmt.Sprintf(`"%d+%d"`, gen, tail)
	}
	return fmt.Sprintf(`"%d"`, gen)
}

// ReadResult is a configuration and its generation, or the leader to ask, or that a majority has not
// yet confirmed this leader.
type ReadResult struct {
	Document    []byte
	Generation  ident.Generation
	LeaderHTTP  string
	OK          bool
	Unconfirmed bool
}

// Read answers from the state of a leader that a majority has confirmed after the request came.
// A generation by number never changes and may be read anywhere.
func (s *State) Read(want uint64, end bool, asked, now ident.Moment) ReadResult {
	if want != 0 {
		if line := s.Ledger.HistoryEntry(ident.Generation(want)); line != nil {
			return ReadResult{Document: line.Doc, Generation: ident.Generation(want), OK: true}
		}
	}
	asOf, leading := s.leaderAsOf()
	switch {
	case leading && asOf.Before(asked):
		return ReadResult{Unconfirmed: true}
	case want != 0:
		return ReadResult{OK: leading}
	case !leading && now.Sub(s.Relay.CoreAsOf) >= IsolatedAfter:
		return ReadResult{}
	case !leading:
		for _, record := range s.Members.Records() {
			if record.Addr == s.leaderAddr() && record.Id != string(s.Member) {
				return ReadResult{LeaderHTTP: record.Http}
			}
		}
		return ReadResult{}
	case end && len(s.Ledger.HeldChanges) > 0:
		return ReadResult{Document: desired.Write(s.queueEndTree()), Generation: s.Ledger.Generation, OK: true}
	}
	if line := s.Ledger.HistoryEntry(s.Ledger.Generation); line != nil {
		return ReadResult{Document: line.Doc, Generation: ident.Generation(line.Generation), OK: true}
	}
	return ReadResult{Document: []byte("{}"), OK: true}
}

// readDesired reads a generation, the newest one for 0, or the end of the queue.
func (n *Node) readDesired(want uint64, end bool) (ReadResult, error) {
	asked := ident.Now()
	read := func(s *State, now ident.Moment) any { return s.Read(want, end, asked, now) }
	result, err := n.Query(read)
	for err == nil && result.(ReadResult).Unconfirmed && ident.Now().Sub(asked) < ReadTimeout {
		time.Sleep(5 * time.Millisecond)
		result, err = n.Query(read)
	}
	if err != nil {
		return ReadResult{}, err
	}
	return result.(ReadResult), nil
}

// Newest is the newest configuration, as a leader that a majority confirms knows it.
func (n *Node) Newest(done context.Context) (doc []byte, ok bool) {
	return n.readFromLeader(done, false)
}

// readFromLeader reads the configuration here, or over HTTP from the leader.
func (n *Node) readFromLeader(done context.Context, end bool) (doc []byte, ok bool) {
	found, err := n.readDesired(0, end)
	if err != nil {
		return nil, false
	}
	if found.LeaderHTTP == "" {
		return found.Document, found.OK
	}
	resp, err := n.requestLeader(done, found.LeaderHTTP, "/desired"+map[bool]string{true: "?end=1"}[end])
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()
	doc, err = io.ReadAll(io.LimitReader(resp.Body, desired.MaxBytes+1))
	return doc, err == nil && resp.StatusCode == 200
}

// requestLeader sends a GET request to another process's operators' interface; addresses are its
// backends' and its operators' address, separated by a comma.
func (n *Node) requestLeader(done context.Context, addresses, path string) (*http.Response, error) {
	_, operators, _ := strings.Cut(addresses, ",")
	req, err := http.NewRequestWithContext(done, "GET", "http://"+operators+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Sloeturn-Hop", "1")
	client := http.Client{Timeout: forwardTimeout}
	return client.Do(req)
}

// Set changes the configuration.
func (n *Node) Set(done context.Context, set *wire.SetDesired) *wire.ProposeReply {
	return n.Change(done, &wire.Change{Body: &wire.Change_SetDesired{SetDesired: set}}, ChangeTimeout)
}

// getDesired serves GET /desired and GET /desired/{generation}.
func (n *Node) getDesired(w http.ResponseWriter, r *http.Request) {
	want := uint64(0)
	if v := r.PathValue("generation"); v != "" {
		generation, err := strconv.ParseUint(v, 10, 64)
		if err != nil || generation == 0 {
			daemon.WriteError(w, 400, "not a generation", nil)
			return
		}
		want = generation
	}
	found, err := n.readDesired(want, r.URL.Query().Get("end") == "1")
	if err != nil {
		daemon.WriteError(w, 503, err.Error(), nil)
		return
	}
	if found.LeaderHTTP != "" && r.Header.Get("Sloeturn-Hop") == "" {
		n.proxyToLeader(w, r, found.LeaderHTTP)
		return
	}
	if !found.OK {
		w.Header().Set("Retry-After", "1")
		daemon.WriteError(w, 503, "no leader to read from just now", nil)
		return
	}
	if found.Document == nil {
		daemon.WriteError(w, 404, "that generation is not kept", nil)
		return
	}
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, found.Generation))
	w.Header().Set("Content-Type", "application/json")
	w.Write(found.Document)
}

// proxyToLeader answers with the leader's answer.
func (n *Node) proxyToLeader(w http.ResponseWriter, r *http.Request, addresses string) {
	resp, err := n.requestLeader(r.Context(), addresses, r.URL.RequestURI())
	if err != nil {
		w.Header().Set("Retry-After", "1")
		daemon.WriteError(w, 503, "the leader does not answer just now", nil)
		return
	}
	defer resp.Body.Close()
	daemon.CopyHeaders(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	io.Copy(w, io.LimitReader(resp.Body, desired.MaxBytes))
}

// freeSeat serves POST /seats/{seat}/free: an operator vouches that the seat's node has no open
// connections any more. A seat is a node's numbered share of each backend's capacity.
func (n *Node) freeSeat(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Member      string `json:"member"`
		Incarnation string `json:"incarnation"`
		Proof       string `json:"proof"`
	}
	seat, err := strconv.ParseUint(r.PathValue("seat"), 10, 32)
	if err != nil || json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&request) != nil || request.Member == "" || request.Proof != "its sockets are gone" {
		daemon.WriteError(w, 422, `name the member, the incarnation, and "proof":"its sockets are gone"`, nil)
		return
	}
	incarnation, _ := strconv.ParseUint(request.Incarnation, 10, 64)
	reply := n.Change(r.Context(), &wire.Change{Body: &wire.Change_SeatFree{SeatFree: &wire.SeatFree{Seat: uint32(seat), Member: request.Member, Incarnation: incarnation, Reason: "operator"}}}, 3*time.Second)
	switch ledger.Code(reply.Code) {
	case ledger.Done:
		daemon.WriteJSON(w, 200, map[string]any{"freed": seat})
	case ledger.Stale:
		daemon.WriteError(w, 412, "that seat is not held by that incarnation", nil)
	default:
		daemon.WriteError(w, 504, "outcome unknown", nil)
	}
}

// historyReport lists the generations that are kept.
func historyReport(s *State, now ident.Moment) any {
	type line struct {
		Generation uint64 `json:"generation"`
		ChangeID   string `json:"changeId"`
		Author     string `json:"author,omitempty"`
		Bytes      int    `json:"bytes"`

		Changes []string `json:"changes,omitempty"`
	}
	out := []line{}
	for _, l := range s.Ledger.History {
		out = append(out, line{l.Generation, l.ChangeId, l.Author, len(l.Doc), l.Changes})
	}
	return map[string]any{"member": s.Member, "leader": s.isLeader(), "history": out}
}

// fleetReport lists the members, seats, cells and voters as this process knows them.
func fleetReport(s *State, now ident.Moment) any {
	type memberRecord struct {
		ID       string   `json:"id"`
		Cell     string   `json:"cell"`
		Role     string   `json:"role"`
		Addr     string   `json:"address"`
		HTTP     string   `json:"http"`
		State    string   `json:"state"`
		Ready    bool     `json:"ready"`
		Leaving  bool     `json:"leaving"`
		Build    string   `json:"build"`
		Accusers []string `json:"accusers,omitempty"`
	}
	var records []memberRecord
	for _, c := range s.Members.Records() {
		records = append(records, memberRecord{c.Id, c.Cell, [...]string{"", "data", "control"}[c.Role%3], c.Addr, c.Http, [...]string{"live", "silent", "left"}[c.State%3], c.Ready, c.Leaving, c.Build, c.Accusers})
	}
	type seat struct {
		Seat        uint32 `json:"seat"`
		Member      string `json:"member"`
		Incarnation string `json:"incarnation"`
		Staged      uint64 `json:"staged"`
		Shrunk      uint64 `json:"shrunk"`
		Lease       string `json:"lease"`
	}
	revoked := map[uint32]*wire.Revoked{}
	for _, r := range s.Relay.Core.GetRevoked() {
		revoked[r.Seat] = r
	}
	seats := []seat{}
	for _, v := range s.Relay.Core.GetSeats() {
		l := seat{v.Seat, v.Member, strconv.FormatUint(v.Incarnation, 10), 0, 0, leaseStatus(revoked[v.Seat])}
		if c := s.Relay.ConfirmOf(v.Member); c != nil && c.Incarnation == v.Incarnation {
			l.Staged, l.Shrunk = c.Staged, c.Shrunk
		}
		seats = append(seats, l)
	}
	type held struct {
		Cell   string `json:"cell"`
		Holder string `json:"holder"`
		Epoch  uint64 `json:"epoch"`
		Active bool   `json:"activeHere"`
		AgeMs  int64  `json:"ageMs"`
		Waits  string `json:"waitsFor,omitempty"`
	}
	holds := []held{}
	for _, h := range s.Relay.Core.GetHolds() {
		age := int64(-1)
		if k := s.Relay.Cells[ident.Cell(h.Cell)]; k != nil {
			age = now.Sub(k.AsOf).Milliseconds()
		}
		waitsFor := ""
		if k := s.heldCells[ident.Cell(h.Cell)]; k != nil {
			waitsFor = s.holderWaitReason(k, now)
		}
		holds = append(holds, held{h.Cell, h.Holder, h.Epoch, s.activeCell(ident.Cell(h.Cell), now) != nil, age, waitsFor})
	}
	out := map[string]any{
		"member": s.Member, "cell": s.Cell, "cards": records, "seats": seats, "seatCount": s.Relay.Core.GetSeatCount(), "cells": holds,
		"generation": s.Relay.Core.GetGeneration(), "inForce": s.Relay.Core.GetInForce(), "grown": s.Relay.Core.GetGrown(),
		"coreAgeMs": now.Sub(s.Relay.CoreAsOf).Milliseconds(), "leader": s.Relay.Core.GetLeader(), "term": s.Relay.Core.GetTerm(), "claims": len(s.Ledger.Claims),
	}
	if open := s.Ledger.RegionsInBlackout(); len(open) > 0 {
		out["stillRegions"], out["changesHeld"] = open, len(s.Ledger.HeldChanges)
	}
	if t := s.Relay.Core.GetTrial(); t != nil {
		out["trial"] = map[string]any{"changeId": t.ChangeId, "only": t.Only, "desired": json.RawMessage(t.Doc)}
	}
	out["roster"] = s.voterStatuses(now)
	if s.Agreement != nil {
		out["role"], out["commit"], out["diskAiling"], out["ringUsed"] = s.Agreement.Role().String(), s.Agreement.Commit(), s.Agreement.DiskFailing(), s.ringUsed
		out["ownTerm"], out["last"], out["applied"], out["noQuorumMs"] = s.Agreement.Term(), s.Agreement.Last(), s.Ledger.Index, s.quorumLostFor(now).Milliseconds()
	}
	return out
}

// backendsReport lists the backends of all cells as this process knows them.
func backendsReport(s *State, now ident.Moment) any {
	type line struct {
		Cell    string `json:"cell"`
		Addr    string `json:"address"`
		Service string `json:"service"`
		Life    string `json:"incarnation"`
		State   string `json:"state"`
		Slots   uint32 `json:"slotCount"`
		Work    uint32 `json:"work"`
		Beat    uint64 `json:"beat"`
		AgeMs   int64  `json:"ageMs"`
		Fresh   bool   `json:"fresh"`
	}
	out := []line{}
	for c, k := range s.Relay.Cells {
		for _, r := range k.Ranges(nil) {
			for _, b := range r.Backends {
				out = append(out, line{string(c), b.Addr, b.Service, b.Incarnation, [...]string{"ready", "leaving", "gone"}[b.State%3], b.Slots, b.Work, b.Beat, now.Sub(k.AsOf).Milliseconds(), s.Relay.CellFresh(c, now)})
			}
		}
	}
	return map[string]any{"member": s.Member, "backends": out}
}
