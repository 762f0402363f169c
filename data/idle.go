package data

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"sloeturn/duty"
	"sloeturn/ident"
	"sloeturn/pass"
)

func (n *Node) takeIdle(k pass.Key, life string) *conn {
	lost := 0
	defer func() {
		for ; lost > 0; lost-- {
			n.Put(IdleBroke{k, false})
		}
	}()
	for {
		n.lock.Lock()
		list := n.idle[k]
		if len(list) == 0 {
			n.lock.Unlock()
			lost--
			return nil
		}
		c := list[len(list)-1]
		n.idle[k] = list[:len(list)-1]
		n.lock.Unlock()
		if c.stop() && c.life == life && !c.tired(ident.Now()) && c.quiet() {
			return c
		}
		c.Close()
		lost++
	}
}

func (c *conn) stop() bool {
	c.SetReadDeadline(time.Unix(1, 0))
	err := <-c.watch
	c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// tired tells whether a connection rested too long to be taken up: three quarters of what its
// backend grants, so that it isn't taken up as the backend closes it.
func (c *conn) tired(now ident.Moment) bool {
	most := pass.IdleLife
	if c.rest > 0 {
		most = min(most, c.rest*3/4)
	}
	return now.Sub(c.since) > most
}

func granted(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, n, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.ParseUint(n, 10, 31); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

func (c *conn) quiet() bool { return c.read.Buffered() == 0 && duty.Quiet(c.Conn) }

func (n *Node) putIdle(c *conn) {
	c.SetDeadline(time.Time{})
	c.watch = make(chan error, 1)
	c.since = ident.Now()
	n.lock.Lock()
	n.idle[c.key] = append(n.idle[c.key], c)
	n.lock.Unlock()
	go n.watchIdle(c)
}

func (n *Node) watchIdle(c *conn) {
	_, err := c.read.Peek(1)
	if err == nil {
		err = errors.New("bytes nobody asked for")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.watch <- err
		return
	}
	n.lock.Lock()
	found := false
	list := n.idle[c.key]
	for i, d := range list {
		if d == c {
			n.idle[c.key] = append(append([]*conn(nil), list[:i]...), list[i+1:]...)
			found = true
		}
	}
	n.lock.Unlock()
	c.watch <- err
	if found {
		c.Close()
		n.Put(IdleBroke{c.key, true})
	}
}

func (n *Node) closeIdle(k pass.Key, count int) {
	for i := 0; i < count; i++ {
		n.lock.Lock()
		list := n.idle[k]
		if len(list) == 0 {
			n.lock.Unlock()
			return
		}
		c := list[0]
		n.idle[k] = list[1:]
		n.lock.Unlock()
		c.stop()
		c.Close()
		n.Put(IdleBroke{k, false})
	}
}

func (n *Node) shed(lives map[ident.Addr]string) {
	n.lock.Lock()
	var old []*conn
	for k, list := range n.idle {
		var keep []*conn
		for _, c := range list {
			if lives[k.Addr] == c.life {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		n.idle[k] = keep
	}
	n.lock.Unlock()
	for _, c := range old {
		c.stop()
		c.Close()
		n.Put(IdleBroke{c.key, false})
	}
}

func (n *Node) sweep() {
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for range t.C {
		n.seekLeft()
		now := ident.Now()
		n.lock.Lock()
		var old []*conn
		for k, list := range n.idle {
			var keep []*conn
			for _, c := range list {
				if c.tired(now) {
					old = append(old, c)
				} else {
					keep = append(keep, c)
				}
			}
			if len(keep) == 0 {
				delete(n.idle, k)
			} else {
				n.idle[k] = keep
			}
		}
		n.lock.Unlock()
		for _, c := range old {
			c.stop()
			c.Close()
			if !n.Put(IdleBroke{c.key, false}) {
				return
			}
		}
	}
}
