package quota

import (
	"container/list"
	"sync"
)

// Connections bounds the open connections of a group of clients. A nil Connections has no limit.
type Connections struct {
	limit int

	lock sync.Mutex
	open int
	peak int
	// idle holds the connections on which no request is being read or served, the longest idle first.
	idle *list.List
	// slow holds the connections whose clients hold up what is sent or received, the longest first.
	slow       *list.List
	refused    uint64
	closedIdle uint64
	closedSlow uint64
}

// NewConnections returns a group of at most so many connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, idle: list.New(), slow: list.New()}
}

// Connection is an open connection of a group. A nil Connection belongs to no group.
type Connection struct {
	group *Connections
	close func()
	// list is where the connection may be chosen to be closed for another one, and element its place
	// there; nil while it may not.
	list     *list.List
	element  *list.Element
	released bool
}

// Open admits a connection that close would close. In a full group the longest idle connection is closed
// for it, or else the one that is slow for longest. It returns false if there is neither.
func (g *Connections) Open(close func()) (*Connection, bool) {
	if g == nil {
		return nil, true
	}
	g.lock.Lock()
	var victim *Connection
	if g.open >= g.limit {
		if victim = g.closeForAnother(); victim == nil {
			g.refused++
			g.lock.Unlock()
			return nil, false
		}
	}
	g.open++
	g.peak = max(g.peak, g.open)
	c := &Connection{group: g, close: close}
	g.lock.Unlock()
	if victim != nil {
		victim.close()
	}
	return c, true
}

// closeForAnother returns the connection that makes room for another one, or nil. It needs the lock.
func (g *Connections) closeForAnother() (victim *Connection) {
	switch {
	case g.idle.Len() > 0:
		victim = g.idle.Front().Value.(*Connection)
		g.closedIdle++
	case g.slow.Len() > 0:
		victim = g.slow.Front().Value.(*Connection)
		g.closedSlow++
	default:
		return nil
	}
	g.release(victim)
	return victim
}

// SetIdle records whether the connection is idle.
func (c *Connection) SetIdle(idle bool) {
	if c != nil {
		c.setListed(c.group.idle, idle)
	}
}

// SetSlow records whether the client of a connection that isn't idle holds up what is sent or received.
func (c *Connection) SetSlow(slow bool) {
	if c != nil {
		c.setListed(c.group.slow, slow)
	}
}

// setListed puts the connection on a list, or takes it off.
func (c *Connection) setListed(list *list.List, listed bool) {
	c.group.lock.Lock()
	defer c.group.lock.Unlock()
	if c.released || listed == (c.list == list) {
		return
	}
	if listed {
		c.unlist()
		c.list, c.element = list, list.PushBack(c)
		return
	}
	c.unlist()
}

// unlist needs the lock.
func (c *Connection) unlist() {
	if c.list != nil {
		c.list.Remove(c.element)
		c.list, c.element = nil, nil
	}
}

// Release records that the connection is closed.
func (c *Connection) Release() {
	if c == nil {
		return
	}
	c.group.lock.Lock()
	defer c.group.lock.Unlock()
	c.group.release(c)
}

// release needs the lock.
func (g *Connections) release(c *Connection) {
	if c.released {
		return
	}
	c.released = true
	g.open--
	c.unlist()
}

// ConnectionUsage is the state of a group, and how often a connection was refused, or closed for another
// one while it was idle or slow.
type ConnectionUsage struct {
	Limit, Open, Peak               int
	Refused, ClosedIdle, ClosedSlow uint64
}

// Usage returns the present usage.
func (g *Connections) Usage() ConnectionUsage {
	if g == nil {
		return ConnectionUsage{}
	}
	g.lock.Lock()
	defer g.lock.Unlock()
	return ConnectionUsage{g.limit, g.open, g.peak, g.refused, g.closedIdle, g.closedSlow}
}
