package relay

import (
	"sloeturn/ident"
	"sloeturn/member"
	"sloeturn/wire"
)

// Parent returns the address that this node polls at present, empty at first.
func (s *State) Parent() string { return s.parent }

// PollPath lists whom a node may poll, nearest first: its ancestors in the tree of its cell's nodes, then
// the control processes of its cell, then the others. Nodes that list the members in the same order derive
// the same tree.
func PollPath(members []*wire.Card, self ident.Member) []string {
	home := ""
	for _, card := range members {
		if card.Id == string(self) {
			home = card.Cell
		}
	}
	var nodes, localControls, remoteControls []string
	position := -1
	for _, card := range members {
		switch {
		case card.Role == member.RoleControl && card.Cell == home:
			localControls = append(localControls, card.Addr)
		case card.Role == member.RoleControl:
			remoteControls = append(remoteControls, card.Addr)
		case card.Cell == home:
			if card.Id == string(self) {
				position = len(nodes)
			}
			nodes = append(nodes, card.Addr)
		}
	}
	var path []string
	for i := position; i >= RootsPerCell; {
		i = (i - RootsPerCell) / FanOut
		path = append(path, nodes[i])
	}
	return append(append(path, rotatedBy(localControls, self)...), rotatedBy(remoteControls, self)...)
}

// rotatedBy rotates a list by a hash of the own name, so that nodes spread over the control processes.
func rotatedBy(addresses []string, self ident.Member) []string {
	if len(addresses) == 0 {
		return nil
	}
	offset := int(ident.Hash(string(self)) % uint64(len(addresses)))
	return append(append([]string(nil), addresses[offset:]...), addresses[:offset]...)
}

// Tick polls for newer data where it is due.
func (s *State) Tick(members []*wire.Card, revision uint64, targets []string, now ident.Moment) {
	s.expirePolls(now)
	s.forgetSources(now)
	if !s.Starting && len(targets) > 0 && s.needsFallback(now) {
		s.pollDirectly(targets, now)
		if s.coreIsLate(now) {
			return
		}
	}
	interval := PollInterval
	if s.Starting {
		interval = StartPollInterval
	}
	if now.Sub(s.lastPollAt) < interval {
		return
	}
	s.lastPollAt = now
	if s.Control {
		names := map[string]ident.Member{}
		for _, card := range members {
			names[card.Addr] = ident.Member(card.Id)
		}
		for _, target := range targets {
			if s.pollsUnderWay(target) < s.maxPolls() {
				s.Poll(target, names[target], now)
			}
		}
		return
	}
	if s.Starting && len(targets) > 0 {
		s.pollAtStart(targets, now)
		return
	}
	s.pollParent(members, revision, targets, now)
}

// pollParent polls the next process up the tree, and moves on to the one above it if its data is old or it
// is late.
func (s *State) pollParent(members []*wire.Card, revision uint64, targets []string, now ident.Moment) {
	path := PollPath(members, s.Self)
	if revision != s.memberRevision || now.Sub(s.pathOffsetAt) > PathOffsetDuration {
		s.memberRevision = revision
		s.pathOffsetAt = now
		s.pathOffset = 0
	}
	if s.parentStale {
		s.pathOffset++
		s.pathOffsetAt = now
		s.parentStale = false
	}
	if len(path) == 0 {
		path = targets
	}
	if len(path) == 0 {
		return
	}
	if s.parent = path[s.pathOffset%len(path)]; s.pollsUnderWay(s.parent) < s.maxPolls() {
		s.Poll(s.parent, "", now)
	}
}
