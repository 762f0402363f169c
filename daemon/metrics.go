package daemon

import (
	"fmt"
	"io"
)

// MetricsContentType is that of the Prometheus text format.
const MetricsContentType = "text/plain; version=0.0.4"

// ProcessMetrics are the metrics of a process as a whole, beside those of its reducer.
type ProcessMetrics struct {
	// LostLogLines returns how many lines of the log were lost because it was not read.
	LostLogLines func() uint64
	// Limits are those on the process's clients.
	Limits *ProcessLimits
}

// Write writes the metrics in the Prometheus text format.
func (m *ProcessMetrics) Write(w io.Writer) {
	if m.LostLogLines != nil {
		fmt.Fprintf(w, "sloeturn_log_lines_lost_total %d\n", m.LostLogLines())
	}
	fmt.Fprintf(w, "sloeturn_accept_errors_total %d\n", AcceptErrors.Load())
	if m.Limits == nil {
		return
	}
	memory, connections := m.Limits.clients.Memory.Usage(), m.Limits.clients.Connections.Usage()
	for _, metric := range []struct {
		name  string
		value any
	}{
		{"client_memory_limit_bytes", memory.Limit}, {"client_memory_bytes", memory.Used}, {"client_memory_peak_bytes", memory.Peak},
		{"client_memory_refused_total", memory.Refused}, {"client_memory_revoked_total", memory.Revoked},
		{"client_connections_limit", connections.Limit}, {"client_connections", connections.Open}, {"client_connections_peak", connections.Peak},
		{"client_connections_refused_total", connections.Refused}, {"client_connections_closed_idle_total", connections.ClosedIdle},
		{"client_connections_closed_slow_total", connections.ClosedSlow}, {"client_bodies_drained_total", BodiesDrained.Load()},
		{"client_write_stalls_total", WriteStalls.Load()},
	} {
		fmt.Fprintf(w, "sloeturn_%s %v\n", metric.name, metric.value)
	}
}
