package control

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"

	"sloeturn/agreement"
	"sloeturn/ident"
)

// Metrics serves this process's metrics in the text exposition format of Prometheus.
func (n *Node) Metrics(w http.ResponseWriter, r *http.Request) { n.metricsHandler(w, r) }

// readMetrics returns the text of the metrics.
func (n *Node) readMetrics() ([]byte, error) {
	result, err := n.Query(func(s *State, now ident.Moment) any {
		var text strings.Builder
		write := func(name string, v any) { fmt.Fprintf(&text, "sloeturn_%s %v\n", name, v) }
		write("generation", uint64(s.Ledger.Generation))
		write("in_force", uint64(s.Ledger.EffectiveGeneration))
		write("grown", uint64(s.Ledger.ExpandedGeneration))
		write("seats_taken", len(s.Ledger.Seats))
		fenced := 0
		for _, r := range s.Ledger.RevokedLeases {
			if r.Fenced {
				fenced++
			}
		}
		write("leases_revoked", len(s.Ledger.RevokedLeases))
		write("seats_fenced", fenced)
		write("claims_kept", len(s.Ledger.Claims))
		write("cells_held", len(s.heldCells))
		write("stray_answers_total{to=\"announcement\"}", s.StrayAnswers)
		write("stray_answers_total{to=\"ask\"}", s.Relay.StrayAnswers)
		write("blackout_periods_open", len(s.Ledger.RegionsInBlackout()))
		write("changes_held", len(s.Ledger.HeldChanges))
		write("changes_held_bytes", s.Ledger.HeldBytes())
		if s.watching {
			write("calendar_clock_seconds", s.clock.UnixMs/1000)
			clocks, _ := s.Agreement.VoterClocks(now)
			write("calendar_clocks_told", len(clocks))
		}
		write("core_age_seconds", now.Sub(s.Relay.CoreAsOf).Seconds())
		for _, c := range ident.SortedKeys(s.Relay.Cells) {
			write(fmt.Sprintf("cell_age_seconds{cell=%q}", c), now.Sub(s.Relay.Cells[c].AsOf).Seconds())
		}
		for _, c := range ident.SortedKeys(s.heldCells) {
			write(fmt.Sprintf("announcements_passed_over_total{cell=%q}", c), s.heldCells[c].table.IgnoredAnnounces)
			write(fmt.Sprintf("drains_unanswered{cell=%q}", c), len(s.heldCells[c].drains))
		}
		if s.Agreement != nil {
			write("agreement_commit", uint64(s.Agreement.Commit()))
			write("agreement_term", uint64(s.Agreement.Term()))
			write("agreement_leading", map[bool]int{true: 1}[s.isLeader()])
			write("agreement_last", uint64(s.Agreement.Last()))
			write("agreement_applied", uint64(s.Ledger.Index))
			write("agreement_voters", len(agreement.Voters(s.Agreement.Roster())))
			write("agreement_learners", len(s.Agreement.Roster().GetVoters())-len(agreement.Voters(s.Agreement.Roster())))
			write("agreement_no_quorum_seconds", s.quorumLostFor(now).Seconds())
			for _, v := range s.Agreement.Report(now) {
				write(fmt.Sprintf("agreement_lag_entries{member=%q}", v.Member), v.Lag)
				write(fmt.Sprintf("agreement_silent_seconds{member=%q}", v.Member), v.Silent.Seconds())
			}
			write("disk_ailing", map[bool]int{true: 1}[s.Agreement.DiskFailing()])
			write("ring_used_ratio", s.ringUsed)
			free, next, capacity := s.Agreement.RingUsage()
			write("ring_free_bytes", free)
			write("ring_next_snapshot_bytes", next)
			write("ring_capacity_bytes", capacity)
			write("ring_full", map[bool]int{true: 1}[s.Agreement.WaitsForRing()])
		}
		return text.String()
	})
	if err != nil {
		return nil, err
	}
	w := &bytes.Buffer{}
	w.WriteString(result.(string))
	fmt.Fprintf(w, "sloeturn_disk_syncs_total %d\nsloeturn_disk_slowest_seconds %v\n", n.SyncCount.Load(), time.Duration(n.SlowestSync.Load()).Seconds())
	fmt.Fprintf(w, "sloeturn_wire_sent_total %d\nsloeturn_wire_bytes_total %d\nsloeturn_wire_lost_total %d\nsloeturn_ring_dropped_total %d\nsloeturn_slowest_batch_seconds %v\n",
		n.Hub.SentFrames.Load(), n.Hub.SentBytes.Load(), n.Hub.LostFrames.Load(), n.Dropped.Load(), time.Duration(n.SlowestBatch.Load()).Seconds())
	n.ProcessMetrics.Write(w)
	return w.Bytes(), nil
}
