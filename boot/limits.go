package boot

import "time"

const (
	// clientMemoryShare is the part of a process's memory that its clients may take unless it is set: one
	// in so many.
	clientMemoryShare = 3
	minDescriptors    = 64
	minClientWriteMs  = 1000
	// defaultClientWriteMs is far beyond the time that a client waits for an answer.
	defaultClientWriteMs = 30000
)

// Limits bound what clients may make a process hold, summed over all of them. A zero value leaves the
// setting as it is, or lets it follow from the others.
type Limits struct {
	Descriptors       int `json:"descriptors,omitempty" arg:"--descriptors" help:"descriptors that this process may open; 0: as many as the system lets it"`
	ClientMemoryMB    int `json:"clientMemoryMB,omitempty" arg:"--client-memory-mb" help:"memory in megabytes that all clients together may make this process hold; 0: a third of its memory"`
	ClientConnections int `json:"clientConnections,omitempty" arg:"--client-connections" help:"open connections of all clients together; 0: as many as half of the descriptors and half of the clients' memory allow"`
	ClientWriteMs     int `json:"clientWriteMs,omitempty" arg:"--client-write-ms" help:"how long, in milliseconds, a client may take no byte of its answer before its connection is closed; 0: 30000"`
}

// override takes over the limits that are set in flags.
func (l *Limits) override(flags Limits) {
	for _, limit := range []struct {
		target *int
		value  int
	}{{&l.Descriptors, flags.Descriptors}, {&l.ClientMemoryMB, flags.ClientMemoryMB}, {&l.ClientConnections, flags.ClientConnections}, {&l.ClientWriteMs, flags.ClientWriteMs}} {
		if limit.value != 0 {
			*limit.target = limit.value
		}
	}
}

func (l *Limits) validate(memoryMB int, addFault func(path, format string, args ...any)) {
	if l.Descriptors != 0 && l.Descriptors < minDescriptors {
		addFault("descriptors", "must be 0, or at least %d; is %d", minDescriptors, l.Descriptors)
	}
	if l.ClientMemoryMB < 0 || memoryMB > 0 && l.ClientMemoryMB >= memoryMB {
		addFault("clientMemoryMB", "must be 0, or less than memoryMB, %d; is %d", memoryMB, l.ClientMemoryMB)
	}
	if l.ClientConnections < 0 {
		addFault("clientConnections", "must be 0 or more; is %d", l.ClientConnections)
	}
	if l.ClientWriteMs != 0 && l.ClientWriteMs < minClientWriteMs {
		addFault("clientWriteMs", "must be 0, or at least %d; is %d", minClientWriteMs, l.ClientWriteMs)
	}
}

// ClientMemoryBytes returns the memory that all clients together may make the process hold; 0: no limit.
func (s *Settings) ClientMemoryBytes() int64 {
	if s.ClientMemoryMB > 0 {
		return int64(s.ClientMemoryMB) << 20
	}
	return int64(s.MemoryMB) << 20 / clientMemoryShare
}

// ClientWriteTimeout returns how long a client may take no byte of its answer.
func (s *Settings) ClientWriteTimeout() time.Duration {
	if s.ClientWriteMs == 0 {
		return defaultClientWriteMs * time.Millisecond
	}
	return time.Duration(s.ClientWriteMs) * time.Millisecond
}
