package data

import (
	"fmt"

	"sloeturn/ident"
	"sloeturn/relay"
)

// logStaleCells logs when the newest update of a cell passes the age at which it counts as stale, and
// once there is a newer one, how old it had become.
func (s *State) logStaleCells(now ident.Moment) {
	for _, c := range ident.SortedKeys(s.Relay.Cells) {
		replica := s.Relay.Cells[c]
		if !replica.Known {
			continue
		}
		age := now.Sub(replica.AsOf)
		maxAge, wasStale := s.staleCells[c]
		switch {
		case age >= relay.CellFreshFor:
			s.staleCells[c] = max(age, maxAge)
			if !wasStale {
				s.effects = append(s.effects, LogNote{fmt.Sprintf("The newest word of cell %s is %d ms old.", c, age.Milliseconds())})
			}
		case wasStale:
			delete(s.staleCells, c)
			s.effects = append(s.effects, LogNote{fmt.Sprintf("There is a newer word of cell %s; the last was up to %d ms old.", c, maxAge.Milliseconds())})
		}
	}
}
