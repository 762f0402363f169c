// Package nginximport turns an nginx configuration into one of this gateway's.
package nginximport

import (
	"fmt"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/tufanbarisyildirim/gonginx/config"
	"github.com/tufanbarisyildirim/gonginx/parser"

	"sloeturn/desired"
)

var ErrRead = merry.Sentinel("nginximport: file does not read")

const usualMost = 100

type Result struct {
	Doc   []byte
	Left  []string
	Lanes int
}

type lane struct {
	name    string
	service string
	work    time.Duration
	body    int64
}

type reader struct {
	most  map[string]int
	lanes []lane
	left  []string
}

func Import(text, tenant string, nodes int) (*Result, error) {
	c, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr(), parser.WithSkipIncludeParsingErr()).Parse()
	if err != nil {
		return nil, merry.Wrap(ErrRead, merry.WithCause(err))
	}
	r := &reader{most: map[string]int{}}
	r.block(c.Block)
	keep := r.lanes[:0]
	for _, l := range r.lanes {
		if _, ok := r.most[l.service]; !ok {
			r.left = append(r.left, fmt.Sprintf("location for lane %s: upstream %q is not in the file", l.name, l.service))
			continue
		}
		keep = append(keep, l)
	}
	r.lanes = keep
	doc := r.doc(tenant, nodes)
	if _, faults := desired.Read(doc); len(faults) > 0 {
		return nil, merry.Wrap(ErrRead, merry.AppendMessagef("the result is not sound: %s %s", faults[0].Path, faults[0].Text))
	}
	sort.Strings(r.left)
	return &Result{doc, r.left, len(r.lanes)}, nil
}

func (r *reader) skip(d config.IDirective, why string) {
	var words []string
	for _, p := range d.GetParameters() {
		words = append(words, p.GetValue())
	}
	r.left = append(r.left, strings.TrimSpace(fmt.Sprintf("line %d: %s %s", d.GetLine(), d.GetName(), strings.Join(words, " ")))+why)
}

func (r *reader) block(b config.IBlock) {
	if b == nil {
		return
	}
	for _, d := range b.GetDirectives() {
		switch d.GetName() {
		case "http", "server":
			r.block(d.GetBlock())
		case "upstream":
			r.upstream(d)
		case "location":
			r.location(d)
		default:
			r.skip(d, "")
		}
	}
}

func word(s string) string {
	out := strings.Trim(strings.Map(func(c rune) rune {
		switch {
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
			return c
		case c >= 'A' && c <= 'Z':
			return c + 32
		}
		return '-'
	}, s), "-")
	if out == "" || out[0] < 'a' {
		out = "l" + out
	}
	return out[:min(len(out), 64)]
}

func (r *reader) upstream(d config.IDirective) {
	u, ok := d.(*config.Upstream)
	if !ok {
		r.skip(d, " (not understood)")
		return
	}
	most := 0
	for _, s := range u.UpstreamServers {
		if n, err := strconv.Atoi(s.Parameters["max_conns"]); err == nil && n > 0 && (most == 0 || n < most) {
			most = n
		}
		r.left = append(r.left, fmt.Sprintf("line %d: server %s (backends announce themselves by beats)", s.GetLine(), s.Address))
	}
	if most == 0 {
		most = usualMost
	}
	r.most[word(u.UpstreamName)] = most
	for _, o := range u.Directives {
		r.skip(o, "")
	}
}

func (r *reader) location(d config.IDirective) {
	if d.GetBlock() == nil || len(d.GetParameters()) == 0 {
		r.skip(d, "")
		return
	}
	ps := d.GetParameters()
	l := lane{name: word(ps[len(ps)-1].GetValue()), work: time.Second}
	if len(ps) > 1 {
		r.skip(d, " (match by "+ps[0].GetValue()+" is taken as a lane of its own)")
	}
	for _, o := range d.GetBlock().GetDirectives() {
		v := ""
		if p := o.GetParameters(); len(p) == 1 {
			v = p[0].GetValue()
		}
		switch o.GetName() {
		case "proxy_pass":
			if u, err := url.Parse(v); err == nil && u.Scheme == "http" {
				l.service = word(u.Host)
				continue
			}
		case "proxy_read_timeout":
			if t := span(v); t > 0 {
				l.work = t
				continue
			}
		case "client_max_body_size":
			if n := size(v); n > 0 && n <= 16<<20 {
				l.body = n
				continue
			}
		}
		r.skip(o, "")
	}
	if l.service == "" {
		r.skip(d, " (no proxy_pass to an http upstream)")
		return
	}
	for _, o := range r.lanes {
		if o.name == l.name {
			r.skip(d, " (a second location of that name)")
			return
		}
	}
	r.lanes = append(r.lanes, l)
}

func span(s string) time.Duration {
	if _, err := strconv.Atoi(s); err == nil {
		s += "s"
	}
	t, err := time.ParseDuration(s)
	if err != nil || t > time.Hour {
		return 0
	}
	return t
}

func size(s string) int64 {
	k := int64(1)
	switch {
	case strings.HasSuffix(strings.ToLower(s), "k"):
		k, s = 1<<10, s[:len(s)-1]
	case strings.HasSuffix(strings.ToLower(s), "m"):
		k, s = 1<<20, s[:len(s)-1]
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n * k
}

func (r *reader) doc(tenant string, nodes int) []byte {
	count := map[string]int{}
	for _, l := range r.lanes {
		count[l.service]++
	}
	services, lanes := map[string]any{}, map[string]any{}
	for n, most := range r.most {
		services[n] = map[string]any{"maxConnections": max(most, (nodes+1)*(count[n]+1))}
		if most < (nodes+1)*(count[n]+1) {
			r.left = append(r.left, fmt.Sprintf("max_conns %d of %s is too few for %d nodes and is raised; set it by hand", most, n, nodes))
		}
	}
	for _, l := range r.lanes {
		most := max(r.most[l.service], (nodes+1)*(count[l.service]+1))
		one := map[string]any{"tenant": tenant, "service": l.service, "slots": max(1, (most/(nodes+1)-1)/count[l.service]), "workMs": l.work.Milliseconds()}
		if l.body > 0 {
			one["bodyBytes"] = l.body
		}
		lanes[l.name] = one
	}
	return desired.Write(map[string]any{"fleet": map[string]any{"nodes": nodes, "surge": 1}, "services": services, "tenants": map[string]any{tenant: map[string]any{}}, "lanes": lanes})
}
