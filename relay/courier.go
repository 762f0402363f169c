package relay

import (
	"time"

	"sloeturn/ident"
	"sloeturn/wire"
)

// redirectsMost is how many times a change follows who its receivers name as the leader before it is
// sent to the next control process: two may name each other.
const redirectsMost = 2

type post struct {
	change    *wire.Change
	to        string
	sent      ident.Moment
	until     ident.Moment
	tag       any
	turn      int
	redirects int
}

type Courier struct {
	ResendEvery time.Duration
	posts       map[uint64]*post
	order       []uint64
	tokens      ident.Tokens
	out         []wire.Send
	hint        string
}

type Expired struct{ Tag any }

// NewCourier makes the courier of one life of a process.
func NewCourier(life ident.Incarnation) *Courier {
	return &Courier{ResendEvery: 100 * time.Millisecond, posts: map[uint64]*post{}, tokens: ident.NewTokens(life)}
}

func (c *Courier) Len() int { return len(c.posts) }

func (c *Courier) Post(ch *wire.Change, until ident.Moment, tag any, heads []string, now ident.Moment) uint64 {
	token := c.tokens.Next()
	p := &post{change: ch, until: until, tag: tag}
	c.posts[token] = p
	c.order = append(c.order, token)
	c.push(token, p, heads, now)
	return token
}

func (c *Courier) Hint(addr string) {
	if addr != "" {
		c.hint = addr
	}
}

// push sends a change to the one that is thought to lead, later to each control process in turn.
func (c *Courier) push(t uint64, p *post, heads []string, now ident.Moment) {
	to := c.hint
	if p.turn > 1 || to == "" {
		if len(heads) == 0 {
			p.sent = now
			return
		}
		to = heads[(t+uint64(p.turn))%uint64(len(heads))]
	}
	p.turn++
	p.redirects = 0
	c.send(t, p, to, now)
}

func (c *Courier) send(t uint64, p *post, to string, now ident.Moment) {
	p.to, p.sent = to, now
	c.out = append(c.out, wire.Send{To: to, Frame: &wire.Frame{Body: &wire.Frame_Propose{Propose: &wire.Propose{Token: t, Change: p.change}}}})
}

func (c *Courier) Reply(r *wire.ProposeReply, now ident.Moment) (any, bool) {
	p := c.posts[r.Token]
	if p == nil {
		return nil, false
	}
	if r.Code == 1 {
		if r.LeaderAddr != "" && r.LeaderAddr != p.to && p.redirects < redirectsMost {
			p.redirects++
			c.hint = r.LeaderAddr
			c.send(r.Token, p, r.LeaderAddr, now)
		}
		return nil, false
	}
	delete(c.posts, r.Token)
	return p.tag, true
}

func (c *Courier) Drop(t uint64) { delete(c.posts, t) }

func (c *Courier) Tick(heads []string, now ident.Moment) []any {
	var gone []any
	keep := c.order[:0]
	for _, t := range c.order {
		p := c.posts[t]
		if p == nil {
			continue
		}
		if now.After(p.until) {
			delete(c.posts, t)
			gone = append(gone, p.tag)
			continue
		}
		keep = append(keep, t)
		if now.Sub(p.sent) >= c.ResendEvery {
			c.push(t, p, heads, now)
		}
	}
	c.order = keep
	return gone
}

func (c *Courier) Flush() []wire.Send {
	out := c.out
	c.out = nil
	return out
}
