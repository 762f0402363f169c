package control

import (
	"slices"
	"sort"
	"strings"

	"sloeturn/cell"
	"sloeturn/daemon"
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/relay"
	"sloeturn/wire"
)

// activeCell is the held cell if this process may answer for it now, or nil. It never answers before it
// has recalled what was known of the cell under earlier holders.
func (s *State) activeCell(name ident.Cell, now ident.Moment) *heldCell {
	held := s.heldCells[name]
	if held == nil || !held.recalled || !s.mayAnswer(held, now) {
		return nil
	}
	return held
}

// mayAnswer reports whether no other process can still answer for the cell: a majority was read, the
// old holder's lease is over, this one's is not, and no handover is under way.
func (s *State) mayAnswer(held *heldCell, now ident.Moment) bool {
	return held.successor == nil && held.quorumRead && !now.Before(held.answersFrom) && now.Sub(s.Relay.CoreAsOf) < relay.HolderLease
}

// recallCell takes over what the newest copy here knows of a cell, as soon as its holder may answer.
func (s *State) recallCell(name ident.Cell, hold *wire.Hold, held *heldCell, now ident.Moment) {
	if held.recalled || !s.mayAnswer(held, now) {
		return
	}
	if cellCopy := s.Relay.Cells[name]; cellCopy != nil && cellCopy.Epoch < held.epoch && (cellCopy.Known || uint64(cellCopy.Epoch) >= min(hold.Since, hold.Before)) {
		held.table.RestoreFrom(cellCopy, now)
	}
	held.recalled = true
}

// successorFor picks the control process to hand a cell to: one that runs in the cell itself if there
// is one, and otherwise another only while this process drains or a handover is under way.
func (s *State) successorFor(name ident.Cell, held *heldCell, now ident.Moment) *wire.Card {
	var others []*wire.Card
	for _, record := range s.availableControls() {
		switch {
		case record.Id == string(s.Member) || !s.reachable(record, now):
		case record.Cell == string(name) && (s.draining || s.Cell != name && now.Sub(held.answersFrom) > HomeStableTime && now.Sub(s.liveSince[record.Id].at) > HomeStableTime):
			return record
		default:
			others = append(others, record)
		}
	}
	if len(others) == 0 || !s.draining && held.successor == nil {
		return nil
	}
	return others[(int(ident.Hash(string(name))%uint64(len(others)))+held.successorTurn)%len(others)]
}

// availableControls lists the control processes that are not leaving.
func (s *State) availableControls() []*wire.Card {
	var out []*wire.Card
	for _, c := range s.Members.Ring() {
		if c.Role == member.RoleControl && !c.Leaving {
			out = append(out, c)
		}
	}
	return out
}

// handOverCell hands a cell to another process when this one drains or the cell belongs elsewhere: it
// stops answering, and sends the cell's state until the successor is assigned.
func (s *State) handOverCell(name ident.Cell, held *heldCell, now ident.Moment) {
	if held.successor == nil {
		if s.activeCell(name, now) == nil {
			return
		}
		successor := s.successorFor(name, held, now)
		if successor == nil {
			return
		}
		s.copyCell(name, held, now)
		held.successor, held.handover, held.successorSince = successor, held.table.Handover(now), now
		s.output = append(s.output, LogNote{"Hands cell " + string(name) + " over to " + successor.Id + "."})
	}
	if now.Sub(held.successorSince) > SuccessorTimeout {
		held.successorTurn++
		if next := s.successorFor(name, held, now); next != nil {
			held.successor, held.successorSince = next, now
		}
	}
	if held.handoverSent == 0 || now.Sub(held.handoverSent) >= HandoverInterval {
		held.handoverSent = now
		s.send(held.successor.Addr, &wire.Frame{Body: &wire.Frame_Bequest{Bequest: held.handover}})
	}
}

// acceptHandover takes a cell's state from its holder and asks the leader for the cell.
func (s *State) acceptHandover(bequest *wire.Bequest, now ident.Moment) {
	name := ident.Cell(bequest.Cell)
	if s.draining || s.heldCells[name] != nil {
		return
	}
	s.handovers[name] = bequest
	s.Proposals.SetLeaderHint(s.leaderAddr())
	s.Proposals.Submit(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: bequest.Cell, Holder: string(s.Member), Incarnation: uint64(s.Incarnation), Basis: bequest.Epoch, Addr: string(s.Addr)}}}, now.Add(HandoverInterval), nil, s.controlAddresses(), now)
}

// copyCell updates this process's own copy of a cell that it holds.
func (s *State) copyCell(name ident.Cell, held *heldCell, now ident.Moment) {
	cellCopy := s.Relay.Cells[name]
	if cellCopy == nil {
		cellCopy = cell.NewReplica(name)
		s.Relay.Cells[name] = cellCopy
	}
	if held.copiedVersion == held.sharesVersion && cellCopy.Known && cellCopy.Epoch == held.epoch && cellCopy.Version == held.table.Version() {
		cellCopy.Refresh(held.table.Pulse(), now)
		return
	}
	if cellCopy.Apply(held.table.Update(cellCopy.Have(), now), now) {
		held.copiedVersion = held.sharesVersion
	}
}

// updateNodeShares updates the list of nodes that the cell's backends are shared out to, and how many
// slots each wants of each service. Small differences are ignored, lest the shares change all the time.
func (s *State) updateNodeShares(held *heldCell, now ident.Moment) {
	nodes := s.servingNodes()
	if slices.Equal(nodes, held.table.Nodes) && now.Sub(held.sharesUpdated) < NodeShareInterval {
		return
	}
	held.sharesUpdated = now
	wants := map[string][]uint32{}
	homes := make([]bool, len(nodes))
	for i, node := range nodes {
		homes[i] = ident.Cell(s.Members.Record(ident.Member(node)).GetCell()) == held.table.Cell
		for _, w := range s.Relay.ConfirmOf(node).GetWants() {
			if wants[w.Service] == nil {
				wants[w.Service] = make([]uint32, len(nodes))
			}
			wants[w.Service][i] = w.Slots
		}
	}
	if config := s.Relay.Desired; config != nil {
		for _, service := range config.ServiceNames() {
			if wants[string(service)] == nil && s.hasOverflow(string(service)) {
				wants[string(service)] = make([]uint32, len(nodes))
			}
		}
	}
	roll := cell.Demand{Nodes: nodes}
	for _, service := range ident.SortedKeys(wants) {
		only := s.hasOverflow(service)
		if only {
			wants[service] = homeNodesFirst(homes, wants[service])
		}
		if former, formerOnly := held.table.ForService(service); slices.Equal(nodes, held.table.Nodes) && former != nil && formerOnly == only && similarShares(former, wants[service]) {
			wants[service] = former
		}
		roll.ByService = append(roll.ByService, &wire.Wants{Service: service, ByNode: wants[service], Only: only})
	}
	if roll.Sum() != held.table.Demand.Sum() {
		held.sharesVersion++
		s.recordDecision(daemon.Decision{Decision: "dealt", Cell: string(held.table.Cell), Note: strings.Join(nodes, " ") + " " + roll.Text()})
	}
	held.table.Demand = roll
}

// homeNodesFirst gives the slots of a service to the nodes that run in the cell itself, or to all if
// there are none.
func homeNodesFirst(homes []bool, wants []uint32) []uint32 {
	out := make([]uint32, len(wants))
	all, n := uint32(0), uint32(0)
	for i, w := range wants {
		if homes[i] {
			all += w
			n++
		}
	}
	for i, w := range wants {
		switch {
		case n == 0:
			out[i] = 1 + w
		case homes[i]:
			out[i] = 1 + 2*w + all/n
		}
	}
	return out
}

// tickCells starts, ends and updates the cells that this process holds by the replicated state.
func (s *State) tickCells(now ident.Moment) {
	mine := map[ident.Cell]*wire.Hold{}
	for _, h := range s.Relay.Core.GetHolds() {
		if h.Holder == string(s.Member) && h.Incarnation == uint64(s.Incarnation) {
			mine[ident.Cell(h.Cell)] = h
		}
	}
	for _, c := range ident.SortedKeys(s.heldCells) {
		h := s.heldCells[c]
		if m := mine[c]; m == nil || m.Epoch != uint64(h.epoch) {
			delete(s.heldCells, c)
			s.output = append(s.output, LogNote{"No longer holds cell " + string(c) + "."})
		}
	}
	for _, name := range ident.SortedKeys(mine) {
		hold, held := mine[name], s.heldCells[name]
		if held == nil {
			held = &heldCell{sharesVersion: 1, epoch: ident.Epoch(hold.Epoch), answersFrom: now.Add(relay.HolderLease), table: cell.New(name, ident.Epoch(hold.Epoch))}
			held.coreVersion, held.readVoters = s.Relay.Core.Version, map[string]bool{}
			if q := s.handovers[name]; q != nil && q.Epoch == hold.Before {
				held.quorumRead, held.answersFrom, held.table = true, now, cell.FromHandover(q, held.epoch, now)
			}
			held.table.SkipUnchanged = s.namedByCaller
			delete(s.handovers, name)
			s.heldCells[name] = held
			s.output = append(s.output, LogNote{"Holds cell " + string(name) + " soon."})
		}
		if !held.quorumRead && s.followsItself(hold) && s.isMajority(s.answeredVoters) {
			held.quorumRead, held.answersFrom = true, now
		}
		held.quorumRead = held.quorumRead || s.isMajority(held.readVoters)
		if !held.quorumRead && !held.waitLogged && now.Sub(held.answersFrom) > relay.HolderLease {
			held.waitLogged = true
			s.output = append(s.output, LogNote{"Cell " + string(name) + " waits for " + s.holderWaitReason(held, now) + "."})
		}
		s.handOverCell(name, held, now)
		s.recallCell(name, hold, held, now)
		if s.activeCell(name, now) == nil {
			continue
		}
		held.table.Tick(now)
		s.answerDrains(held, now)
		s.recordMoves(held)
		s.updateNodeShares(held, now)
		s.copyCell(name, held, now)
	}
}

// trackMembers notes since when each member's incarnation is live, and since when it is leaving.
func (s *State) trackMembers(now ident.Moment) {
	for _, c := range s.Members.Ring() {
		if s.liveSince[c.Id].incarnation != c.Incarnation {
			s.liveSince[c.Id] = memberSeen{c.Incarnation, now}
			delete(s.leavingSince, c.Id)
		}
		if _, ok := s.leavingSince[c.Id]; c.Leaving && !ok {
			s.leavingSince[c.Id] = now
		}
	}
	for id := range s.liveSince {
		if !s.Members.Live(ident.Member(id)) {
			delete(s.liveSince, id)
			delete(s.leavingSince, id)
		}
	}
}

// preferVoters keeps the members that are voters or learners, or all if none is.
func (s *State) preferVoters(list []*wire.Card) []*wire.Card {
	inRoster := map[string]bool{}
	for _, v := range s.Agreement.Roster().GetVoters() {
		inRoster[v.Member] = true
	}
	var out []*wire.Card
	for _, c := range list {
		if inRoster[c.Id] {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// assignHolders assigns a holder to each cell that has none, or whose holder has gone, leaves or
// publishes nothing.
func (s *State) assignHolders(now ident.Moment) {
	homes := map[string][]*wire.Card{}
	all := s.availableControls()
	want := map[string]bool{}
	for _, c := range s.Members.Ring() {
		want[c.Cell] = true
	}
	for _, c := range all {
		homes[c.Cell] = append(homes[c.Cell], c)
	}
	for c := range s.Ledger.CellHolders {
		want[string(c)] = true
	}
	names := make([]string, 0, len(want))
	for c := range want {
		names = append(names, c)
	}
	sort.Strings(names)
	for _, name := range names {
		cellID := ident.Cell(name)
		if len(all) == 0 || s.assignedAt[cellID] != 0 && now.Sub(s.assignedAt[cellID]) < HolderAssignInterval {
			continue
		}
		hold := s.Ledger.CellHolders[cellID]
		if hold != nil {
			holder := s.Members.Record(ident.Member(hold.Holder))
			lastHeard := max(s.assignedAt[cellID], s.Agreement.LedSince())
			if holder == nil && now.Sub(s.Agreement.LedSince()) < UnseenMemberGrace {
				continue
			}
			if cellCopy := s.Relay.Cells[cellID]; cellCopy != nil {
				lastHeard = max(lastHeard, cellCopy.AsOf)
			}
			if holder != nil && now.Sub(lastHeard) < HolderSilenceLimit && holder.State == member.StateLive && holder.Incarnation == hold.Incarnation && (!holder.Leaving || now.Sub(s.leavingSince[holder.Id]) < HandoverGrace) {
				continue
			}
		}
		pick := s.nextHolder(name, homes[name], all, now)
		basis := uint64(0)
		if hold != nil {
			basis = hold.Epoch
		}
		s.assignedAt[cellID] = now
		s.Agreement.Propose(&wire.Change{Body: &wire.Change_CellHold{CellHold: &wire.CellHold{Cell: name, Holder: pick.Id, Incarnation: pick.Incarnation, Basis: basis, Addr: pick.Addr}}}, now)
	}
}

// nextHolder picks the holder of a cell: one that runs in the cell itself before others, but before all
// one that this process reaches.
func (s *State) nextHolder(cell string, home, all []*wire.Card, now ident.Moment) *wire.Card {
	unreachable := func(c *wire.Card) bool { return !s.reachable(c, now) }
	home, all = s.preferVoters(home), s.preferVoters(all)
	if reachableHome := slices.DeleteFunc(slices.Clone(home), unreachable); len(reachableHome) > 0 {
		return reachableHome[0]
	}
	if others := slices.DeleteFunc(slices.Clone(all), unreachable); len(others) > 0 {
		return others[int(ident.Hash(cell)%uint64(len(others)))]
	}
	if len(home) > 0 {
		return home[0]
	}
	return all[int(ident.Hash(cell)%uint64(len(all)))]
}

// servingNodes lists the nodes that backends are shared out to: the ready ones, and the draining ones,
// because requests come to them until they have left.
func (s *State) servingNodes() []string {
	var out []string
	seated := map[string]bool{}
	for _, v := range s.Relay.Core.GetSeats() {
		seated[v.Member] = true
	}
	for _, c := range s.Members.Ring() {
		if c.Role == member.RoleData && (c.Ready || c.Leaving) && seated[c.Id] {
			out = append(out, c.Id)
		}
	}
	sort.Strings(out)
	return out
}

// namedByCaller reports whether the service's health checks hold no connection of their own (setting
// named).
func (s *State) namedByCaller(service ident.Service) bool {
	config := s.Relay.Desired
	return config != nil && config.Services[service] != nil && config.Services[service].Named
}

// hasOverflow reports whether the service allows connections beyond its backends' slots (setting line).
func (s *State) hasOverflow(service string) bool {
	config := s.Relay.Desired
	return config != nil && config.Services[ident.Service(service)] != nil && config.Services[ident.Service(service)].OverflowFactor > 0
}

// recordMoves records and logs each change of a backend's state.
func (s *State) recordMoves(held *heldCell) {
	for _, move := range held.table.TakeTransitions() {
		s.recordDecision(daemon.Decision{Decision: "soundness", Cell: string(held.table.Cell), Backend: string(move.Addr), Service: string(move.Service), From: move.From, To: move.To, Note: move.Cause})
		if move.IsDeparture() {
			s.output = append(s.output, LogNote{"Backend " + string(move.Addr) + " (" + move.Incarnation + ", " + string(move.Service) + ") of cell " + string(held.table.Cell) + " is " + move.To + ": " + move.Cause + "."})
		}
	}
}

// similarShares reports that no node's slots differ by both more than 3 and more than a quarter.
func similarShares(a, b []uint32) bool {
	for i := range a {
		if d := max(a[i], b[i]) - min(a[i], b[i]); d > 3 && 4*d > a[i] {
			return false
		}
	}
	return true
}
