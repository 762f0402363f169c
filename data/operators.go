package data

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sloeturn/daemon"
	"sloeturn/ident"
)

// OperatorHandler serves the operators' interface.
func (n *Node) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /decisions", n.DecisionStream)
	mux.HandleFunc("GET /fleet", n.sharedQuery(n.fleet))
	mux.HandleFunc("GET /pools", n.sharedQuery(n.pools))
	mux.HandleFunc("GET /metrics", n.Metrics)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, r *http.Request) {
		n.Put(Drain{})
		daemon.WriteJSON(w, 202, map[string]any{"draining": true})
	})
	return mux
}

// Metrics serves this process's metrics in the Prometheus text format.
func (n *Node) Metrics(w http.ResponseWriter, r *http.Request) { n.metricsHandler(w, r) }

// readMetrics returns the text of the metrics.
func (n *Node) readMetrics() ([]byte, error) {
	v := n.query(n.metrics)
	if v == nil {
		return nil, errBusy
	}
	var text bytes.Buffer
	text.WriteString(v.(string))
	n.ProcessMetrics.Write(&text)
	return text.Bytes(), nil
}

// errBusy is returned if the event loop is too busy to be asked.
var errBusy = errors.New("busy")

// query runs a function in the event loop and returns its result; nil if the loop is too busy.
func (n *Node) query(f func(s *State, now ident.Moment) any) any {
	result := make(chan any, 1)
	if !n.Offer(Query{func(s *State, now ident.Moment) { result <- f(s, now) }}) {
		return nil
	}
	select {
	case v := <-result:
		return v
	case <-time.After(2 * time.Second):
		return nil
	}
}

// sharedQuery returns a handler that answers with the result of a query as JSON.
func (n *Node) sharedQuery(f func(s *State, now ident.Moment) any) http.HandlerFunc {
	return daemon.SharedJSON(func() (any, error) {
		if v := n.query(f); v != nil {
			return v, nil
		}
		return nil, errBusy
	})
}

func (n *Node) fleet(s *State, now ident.Moment) any {
	type cellLine struct {
		Cell     string   `json:"cell"`
		Epoch    uint64   `json:"epoch"`
		AgeMs    int64    `json:"ageMs"`
		Fresh    bool     `json:"fresh"`
		Nodes    []string `json:"nodes"`
		Backends int      `json:"backends"`
	}
	var cells []cellLine
	for cellName, replica := range s.Relay.Cells {
		cells = append(cells, cellLine{string(cellName), uint64(replica.Epoch), now.Sub(replica.AsOf).Milliseconds(), s.Relay.CellFresh(cellName, now), replica.Nodes, len(replica.Backends)})
	}
	return map[string]any{
		"member": s.Member, "cell": s.Cell, "incarnation": strconv.FormatUint(uint64(s.Incarnation), 10), "build": s.Build,
		"ready": s.Ready(), "why": s.NotReadyReason(now), "draining": s.draining, "seat": s.Seat(), "generation": s.Relay.DocumentGeneration, "trial": s.Trial(),
		"coreAgeMs": now.Sub(s.Relay.CoreAsOf).Milliseconds(), "leaseAgeMs": now.Sub(s.Relay.LeaseRenewedAt).Milliseconds(), "leaseRevoked": s.Relay.Revoked() != nil, "coreVersion": s.Relay.Core.GetVersion(), "leader": s.Relay.Core.GetLeader(),
		"parent": s.Relay.Parent(), "openVisits": s.Open(), "held": s.Pass.Held(), "canceled": s.Canceled(), "cells": cells,
	}
}

func (n *Node) pools(s *State, now ident.Moment) any {
	return map[string]any{"member": s.Member, "generation": s.Relay.DocumentGeneration, "seat": s.Seat(), "lanes": s.Pass.LaneStatuses(), "pools": s.Pass.PoolStatuses()}
}

func (n *Node) metrics(s *State, now ident.Moment) any {
	var out strings.Builder
	metric := func(name string, v any) { fmt.Fprintf(&out, "sloeturn_%s %v\n", name, v) }
	metric("admitted_total", s.Pass.Admitted)
	metric("refused_total", s.Pass.Refused)
	metric("open_visits", s.Open())
	metric("connections_held", s.Pass.Held())
	metric("canceled_open", s.Canceled())
	metric("generation", uint64(s.Relay.DocumentGeneration))
	metric("core_age_seconds", now.Sub(s.Relay.CoreAsOf).Seconds())
	metric("lease_age_seconds", now.Sub(s.Relay.LeaseRenewedAt).Seconds())
	for _, c := range ident.SortedKeys(s.Relay.Cells) {
		metric(fmt.Sprintf("cell_age_seconds{cell=%q}", c), now.Sub(s.Relay.Cells[c].AsOf).Seconds())
	}
	metric("stray_answers_total{to=\"announcement\"}", s.StrayAnswers)
	metric("stray_answers_total{to=\"ask\"}", s.Relay.StrayAnswers)
	metric("answers_dropped_total", droppedAnswers.Load())
	metric("wire_sent_total", n.Hub.SentFrames.Load())
	metric("wire_bytes_total", n.Hub.SentBytes.Load())
	metric("wire_lost_total", n.Hub.LostFrames.Load())
	metric("ring_dropped_total", n.Dropped.Load())
	metric("slowest_batch_seconds", time.Duration(n.SlowestBatch.Load()).Seconds())
	for _, k := range []string{"refused", "further", "ended whole", "ended garbled", "ended broken", "ended late", "ended canceled", "ended unread", "ended unfinished", "revoked slow", "client left"} {
		metric("visits_total{kind=\""+k+"\"}", s.Counters[k])
	}
	for _, pool := range s.Pass.PoolStatuses() {
		fmt.Fprintf(&out, "sloeturn_pool_connections{lane=%q,backend=%q} %d\n", pool.Lane, pool.Addr, pool.Busy+pool.Idle)
	}
	return out.String()
}
