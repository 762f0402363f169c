package quota

// spareShare is the part of the memory that must stay free beside what is taken for speed alone: one in so
// many.
const spareShare = 2

// GrowSpare adds bytes to a claim that its holder can do without, if much of the memory stays free beside
// them. It neither waits nor revokes other claims, and its failure is no refusal.
func (c *Claim) GrowSpare(bytes int64) bool {
	if c == nil {
		return true
	}
	m := c.memory
	m.lock.Lock()
	defer m.lock.Unlock()
	if c.released || m.used+bytes > m.limit-m.limit/spareShare {
		return false
	}
	c.bytes += bytes
	m.used += bytes
	m.peak = max(m.peak, m.used)
	return true
}
