package daemon

import (
	"math"
	"syscall"
	"time"

	"sloeturn/boot"
	"sloeturn/quota"
)

const (
	// clientDescriptorShare and serviceDescriptorShare are the parts of the descriptors that the
	// connections of all clients, and those of one address for operators or monitoring, may take: one in
	// so many.
	clientDescriptorShare  = 2
	serviceDescriptorShare = 16
	// operatorMemoryShare and monitoringMemoryShare are the parts of the clients' memory that are set apart
	// for the operators' address, and for each address that monitoring asks: one in so many.
	operatorMemoryShare   = 8
	monitoringMemoryShare = 16
	monitoringAddresses   = 2
	// connectionMemoryShare is the part of the memory of an address, or of all clients, that is set apart
	// for connections: one in so many.
	connectionMemoryShare = 2
	// backlogMemoryShare is the part of the clients' memory that connections may take before they are
	// accepted: one in so many.
	backlogMemoryShare = 16
	minBacklog         = 16
	maxBacklog         = 128
)

// ProcessLimits bound what the callers of a process make it hold, summed over all of them.
type ProcessLimits struct {
	descriptors  int
	writeTimeout time.Duration
	// backlog is how many connections wait to be accepted at most; 0: as many as the system lets them.
	backlog int
	// clients are shared by all addresses that clients and backends call.
	clients ClientLimits
	// operatorMemory and monitoringMemory are the sizes in bytes of the memories of such addresses; 0 for no
	// limit. Each address has its own, so that it answers while others are full.
	operatorMemory   int64
	monitoringMemory int64
}

// NewProcessLimits returns the limits that follow from the settings.
func NewProcessLimits(settings *boot.Settings) *ProcessLimits {
	l := &ProcessLimits{descriptors: descriptorLimit(settings.Descriptors), writeTimeout: settings.ClientWriteTimeout()}
	connections := l.descriptors / clientDescriptorShare
	if settings.ClientConnections > 0 {
		connections = settings.ClientConnections
	}
	memory := int64(0)
	if total := settings.ClientMemoryBytes(); total > 0 {
		l.operatorMemory, l.monitoringMemory = total/operatorMemoryShare, total/monitoringMemoryShare
		l.backlog = int(min(max(minBacklog, total/backlogMemoryShare/initialWindowBytes), maxBacklog))
		memory = total - l.operatorMemory - monitoringAddresses*l.monitoringMemory - total/backlogMemoryShare
	}
	l.clients = l.limitsOf(memory, connections)
	return l
}

// limitsOf divides a memory, 0 for one without a limit, between connections and what they bring. A
// connection that is admitted has its memory, whatever others take.
func (l *ProcessLimits) limitsOf(memory int64, connections int) ClientLimits {
	limits := ClientLimits{WriteTimeout: l.writeTimeout}
	if memory > 0 {
		connections = min(connections, int(memory/connectionMemoryShare/connectionBytes))
		limits.Memory = quota.NewMemory(memory - int64(connections)*connectionBytes)
	}
	limits.Connections = quota.NewConnections(max(1, connections))
	return limits
}

// descriptorLimit returns the smaller of the setting and the process's own limit; a setting of 0 is none.
func descriptorLimit(setting int) int {
	limit := math.MaxInt32
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err == nil {
		limit = int(min(own.Cur, math.MaxInt32))
	}
	if setting > 0 {
		limit = min(limit, setting)
	}
	return limit
}

// Clients returns the options of a listener for clients or backends.
func (l *ProcessLimits) Clients() ListenerOptions {
	return ListenerOptions{ClientLimits: l.clients, Backlog: l.backlog}
}

// Operators returns the options of a listener for operators.
func (l *ProcessLimits) Operators() ListenerOptions { return l.service(l.operatorMemory) }

// Monitoring returns the options of a listener for monitoring: metrics, or readiness.
func (l *ProcessLimits) Monitoring() ListenerOptions { return l.service(l.monitoringMemory) }

func (l *ProcessLimits) service(memory int64) ListenerOptions {
	return ListenerOptions{ClientLimits: l.limitsOf(memory, l.descriptors/serviceDescriptorShare), Backlog: l.backlog}
}

// ClientMemory returns the memory that all clients share.
func (l *ProcessLimits) ClientMemory() *quota.Memory { return l.clients.Memory }
