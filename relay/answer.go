package relay

import (
	"slices"
	"time"

	"sloeturn/cell"
	"sloeturn/desired"
	"sloeturn/ident"
	"sloeturn/wire"
)

// Coverage tells what the answer to a poll covers: CoreVersion is the version of the newest core that the
// other process knew. If Partial is set, only Cells were requested.
type Coverage struct {
	CoreVersion uint64
	Partial     bool
	Cells       []*wire.CellHave
}

// Covers tells whether the poll requested a cell.
func (c *Coverage) Covers(name ident.Cell) bool {
	return !c.Partial || slices.ContainsFunc(c.Cells, func(requested *wire.CellHave) bool { return requested.Cell == string(name) })
}

// ApplyCore takes over a core that was current at asOf, with the configuration document if it is newer
// than the one known here. It returns false for an older core, or for one whose document is missing.
func (s *State) ApplyCore(core *wire.Core, doc []byte, docGeneration ident.Generation, asOf ident.Moment) bool {
	if core == nil {
		return false
	}
	if s.CoreKnown && core.Version < s.Core.Version {
		return false
	}
	if core.Generation > uint64(s.DocumentGeneration) {
		if uint64(docGeneration) != core.Generation {
			return false
		}
		s.Document, s.DocumentGeneration = doc, docGeneration
		state, faults := desired.Read(doc)
		s.Desired, s.DocumentFaults = state, faults
		s.revision++
	}
	if !s.CoreKnown || core.Version > s.Core.Version {
		for _, member := range s.coreChanges.record(s.Core, core) {
			if s.confirms[member] != nil {
				s.confirmSequence++
				s.confirmChangedAt[member] = s.confirmSequence
			}
		}
		s.Core = core
		s.revision++
	} else if core.LeaderAddr != s.Core.LeaderAddr || core.Term > s.Core.Term {
		s.Core = core
	}
	if !s.CoreKnown || asOf.After(s.CoreAsOf) {
		s.CoreAsOf = asOf
	}
	if s.Revoked() == nil && (!s.CoreKnown || asOf.After(s.LeaseRenewedAt)) {
		s.LeaseRenewedAt = asOf
	}
	s.CoreKnown = true
	return true
}

// HandleUpdate takes over the answer to a poll of this process and returns what it covers; nil for an
// answer to no poll under way.
func (s *State) HandleUpdate(update *wire.News, from string, now ident.Moment) *Coverage {
	sent, ok := s.polls[update.Token]
	if !ok || sent.to != from {
		s.StrayAnswers++
		return nil
	}
	delete(s.polls, update.Token)
	coverage := &Coverage{Partial: sent.partial, Cells: sent.cells}
	if sent.probe && !update.HasCore {
		s.recordProbe(update, from, sent.sentAt)
		return coverage
	}
	s.responseTime += (now.Sub(sent.sentAt) - s.responseTime) / 4
	if peer := s.peers[from]; peer != nil {
		if peer.confirmsUpTo >= sent.confirmsFrom {
			peer.confirmsUpTo = max(peer.confirmsUpTo, sent.confirmsUpTo)
		}
		if int(update.Heard) < sent.confirmCount {
			peer.confirmsUpTo = 0
		}
	}
	coreAsOf := asOfMoment(sent.sentAt, update.CoreAgeNs)
	if from == s.parent {
		s.parentStale = !update.HasCore || now.Sub(coreAsOf) > StaleParentAge
	}
	if update.HasCore {
		if coverage.CoreVersion = sent.coreVersion; update.Core != nil {
			coverage.CoreVersion = update.Core.Version
		}
		core := s.mergeCore(update.Core)
		if update.Core == nil && s.CoreKnown {
			core = s.Core
		}
		s.ApplyCore(core, update.Doc, ident.Generation(update.DocGeneration), coreAsOf)
	}
	for _, cellUpdate := range update.Cells {
		table := s.Cells[ident.Cell(cellUpdate.Cell)]
		if table == nil {
			table = cell.NewReplica(ident.Cell(cellUpdate.Cell))
			s.Cells[table.Cell] = table
		}
		if cellUpdate.Old {
			table.RestoreSaved(cellUpdate)
			continue
		}
		table.Apply(cellUpdate, asOfMoment(sent.sentAt, cellUpdate.AgeNs))
	}
	return coverage
}

// asOfMoment is the moment as of which data of a given age was current. The age counts from the sending of
// the poll, so the moment is never too late.
func asOfMoment(asked ident.Moment, ageNs int64) ident.Moment {
	return asked.Add(-time.Duration(max(0, ageNs)))
}

// AnswerPoll answers the poll of another process with what it lacks.
func (s *State) AnswerPoll(ask *wire.Ask, now ident.Moment) *wire.News {
	update := &wire.News{Token: ask.Token, Heard: uint32(len(s.confirms)), Newest: s.Core.GetVersion()}
	if ask.Sounding {
		if s.CoreKnown {
			update.Freshness = s.freshness(now)
		}
		return update
	}
	if s.CoreKnown {
		update.HasCore = true
		update.CoreAgeNs = int64(now.Sub(s.CoreAsOf))
		if ask.Core != s.Core.Version || ask.Core == 0 {
			update.Core = s.coreSince(ask)
		}
		if ask.Have < uint64(s.DocumentGeneration) {
			update.Doc, update.DocGeneration = s.Document, uint64(s.DocumentGeneration)
		}
	}
	known := map[string]*wire.CellHave{}
	for _, their := range ask.Cells {
		known[their.Cell] = their
	}
	for _, name := range s.cellNames() {
		table := s.Cells[name]
		if !table.Known || ask.Only && known[string(name)] == nil {
			continue
		}
		if their := known[string(name)]; their != nil && (their.Epoch > uint64(table.Epoch) || their.Epoch == uint64(table.Epoch) && their.Upto > table.Version) {
			continue
		}
		update.Cells = append(update.Cells, table.Update(known[string(name)], now.Sub(table.AsOf)))
	}
	return update
}
