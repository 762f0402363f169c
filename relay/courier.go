package relay

import (
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// maxRedirects is how many times a proposal follows the leader named by the process that received it
// before it is sent to the next control process: two processes may name each other.
const maxRedirects = 2

// proposal is a proposed change whose outcome is not known yet. attempts counts how often it was sent
// without a redirect, redirects those since the last attempt.
type proposal struct {
	change    *wire.Change
	sentTo    string
	sentAt    ident.Moment
	deadline  ident.Moment
	tag       any
	attempts  int
	redirects int
}

// Proposer sends proposed changes to the leader of the control plane, and again until they are answered
// or their deadline passes.
type Proposer struct {
	// ResendInterval is the time after which an unanswered proposal is sent again.
	ResendInterval time.Duration
	proposals      map[uint64]*proposal
	order          []uint64
	tokens         ident.Tokens
	out            []wire.Send
	leaderHint     string
}

// Expired carries the tag of a proposal whose deadline has passed.
type Expired struct{ Tag any }

// NewProposer returns the proposer of one incarnation of a process; its tokens differ from those of other
// incarnations.
func NewProposer(incarnation ident.Incarnation) *Proposer {
	return &Proposer{ResendInterval: 100 * time.Millisecond, proposals: map[uint64]*proposal{}, tokens: ident.NewTokens(incarnation)}
}

// Len returns the number of proposals under way.
func (c *Proposer) Len() int { return len(c.proposals) }

// Submit proposes a change until the deadline. The tag is returned with its outcome.
func (c *Proposer) Submit(change *wire.Change, deadline ident.Moment, tag any, controls []string, now ident.Moment) uint64 {
	token := c.tokens.Next()
	p := &proposal{change: change, deadline: deadline, tag: tag}
	c.proposals[token] = p
	c.order = append(c.order, token)
	c.sendNext(token, p, controls, now)
	return token
}

// SetLeaderHint sets the address at which the leader is expected.
func (c *Proposer) SetLeaderHint(addr string) {
	if addr != "" {
		c.leaderHint = addr
	}
}

// sendNext sends a proposal to the expected leader, and from the third attempt on to each control process
// in turn.
func (c *Proposer) sendNext(token uint64, p *proposal, controls []string, now ident.Moment) {
	to := c.leaderHint
	if p.attempts > 1 || to == "" {
		if len(controls) == 0 {
			p.sentAt = now
			return
		}
		to = controls[(token+uint64(p.attempts))%uint64(len(controls))]
	}
	p.attempts++
	p.redirects = 0
	c.send(token, p, to, now)
}

func (c *Proposer) send(token uint64, p *proposal, to string, now ident.Moment) {
	p.sentTo, p.sentAt = to, now
	c.out = append(c.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Propose{Propose: &wire.Propose{Token: token, Change: p.change}}}})
}

// HandleReply returns the tag of an answered proposal; false if it is not under way, or if the answer is 1
// (ledger.NotLeader). The proposal then goes on to the leader that the answer names, if any.
func (c *Proposer) HandleReply(reply *wire.ProposeReply, now ident.Moment) (any, bool) {
	p := c.proposals[reply.Token]
	if p == nil {
		return nil, false
	}
	if reply.Code == 1 {
		if reply.LeaderAddr != "" && reply.LeaderAddr != p.sentTo && p.redirects < maxRedirects {
			p.redirects++
			c.leaderHint = reply.LeaderAddr
			c.send(reply.Token, p, reply.LeaderAddr, now)
		}
		return nil, false
	}
	delete(c.proposals, reply.Token)
	return p.tag, true
}

// Cancel stops sending a proposal.
func (c *Proposer) Cancel(token uint64) { delete(c.proposals, token) }

// Tick sends unanswered proposals again and returns the tags of those whose deadline has passed.
func (c *Proposer) Tick(controls []string, now ident.Moment) []any {
	var expired []any
	remaining := c.order[:0]
	for _, token := range c.order {
		p := c.proposals[token]
		if p == nil {
			continue
		}
		if now.After(p.deadline) {
			delete(c.proposals, token)
			expired = append(expired, p.tag)
			continue
		}
		remaining = append(remaining, token)
		if now.Sub(p.sentAt) >= c.ResendInterval {
			c.sendNext(token, p, controls, now)
		}
	}
	c.order = remaining
	return expired
}

// Flush returns the messages to send since the last call.
func (c *Proposer) Flush() []wire.Send {
	out := c.out
	c.out = nil
	return out
}
