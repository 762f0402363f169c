// Package nginximport converts an nginx configuration into a configuration of this gateway. Upstreams become
// services and locations become lanes; everything else is listed as skipped.
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

// ErrInvalid reports that the file cannot be parsed or that the resulting configuration is invalid.
var ErrInvalid = merry.Sentinel("nginximport: invalid file")

// defaultMaxConnections is the connection limit of a backend whose upstream sets no max_conns.
const defaultMaxConnections = 100

// Result is the outcome of an import.
type Result struct {
	// Document is the configuration in the format of the desired package.
	Document []byte
	// Skipped lists, sorted, the directives that were not taken over and what to set by hand.
	Skipped []string
	// LaneCount is the number of lanes in the configuration.
	LaneCount int
}

// lane is a lane made from a location block. A maxRequestBody of 0 leaves the limit at its default.
type lane struct {
	name            string
	service         string
	responseTimeout time.Duration
	maxRequestBody  int64
}

// importer collects services, lanes and skipped directives while it walks the parsed file.
type importer struct {
	// maxConnections is the connection limit of each service's backends.
	maxConnections map[string]int
	lanes          []lane
	skipped        []string
}

// Import converts an nginx configuration into one for the tenant on the given number of nodes. Lanes whose upstream
// is not in the file are skipped.
func Import(text, tenant string, nodes int) (*Result, error) {
	parsed, err := parser.NewStringParser(text, parser.WithSkipValidDirectivesErr(), parser.WithSkipIncludeParsingErr()).Parse()
	if err != nil {
		return nil, merry.Wrap(ErrInvalid, merry.WithCause(err))
	}
	r := &importer{maxConnections: map[string]int{}}
	r.importBlock(parsed.Block)
	known := r.lanes[:0]
	for _, l := range r.lanes {
		if _, ok := r.maxConnections[l.service]; !ok {
			r.skipped = append(r.skipped, fmt.Sprintf("location for lane %s: upstream %q is not in the file", l.name, l.service))
			continue
		}
		known = append(known, l)
	}
	r.lanes = known
	doc := r.document(tenant, nodes)
	if _, faults := desired.Read(doc); len(faults) > 0 {
		return nil, merry.Wrap(ErrInvalid, merry.AppendMessagef("the result is not sound: %s %s", faults[0].Path, faults[0].Text))
	}
	sort.Strings(r.skipped)
	return &Result{doc, r.skipped, len(r.lanes)}, nil
}

// skipDirective lists a directive with its line, parameters and reason as skipped.
func (r *importer) skipDirective(d config.IDirective, reason string) {
	var words []string
	for _, p := range d.GetParameters() {
		words = append(words, p.GetValue())
	}
	r.skipped = append(r.skipped, strings.TrimSpace(fmt.Sprintf("line %d: %s %s", d.GetLine(), d.GetName(), strings.Join(words, " ")))+reason)
}

// importBlock imports the upstreams and locations of a block and of the http and server blocks in it.
func (r *importer) importBlock(b config.IBlock) {
	if b == nil {
		return
	}
	for _, d := range b.GetDirectives() {
		switch d.GetName() {
		case "http", "server":
			r.importBlock(d.GetBlock())
		case "upstream":
			r.importUpstream(d)
		case "location":
			r.importLocation(d)
		default:
			r.skipDirective(d, "")
		}
	}
}

// sanitizeName turns a text into a valid name: lower-case letters, digits and dashes, a letter first, at most 64
// characters.
func sanitizeName(s string) string {
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

// importUpstream makes a service with the smallest max_conns of the servers of an upstream. The servers themselves
// are skipped because backends register by heartbeat.
func (r *importer) importUpstream(d config.IDirective) {
	u, ok := d.(*config.Upstream)
	if !ok {
		r.skipDirective(d, " (unsupported form of upstream)")
		return
	}
	limit := 0
	for _, s := range u.UpstreamServers {
		if n, err := strconv.Atoi(s.Parameters["max_conns"]); err == nil && n > 0 && (limit == 0 || n < limit) {
			limit = n
		}
		r.skipped = append(r.skipped, fmt.Sprintf("line %d: server %s (backends register by heartbeat)", s.GetLine(), s.Address))
	}
	if limit == 0 {
		limit = defaultMaxConnections
	}
	r.maxConnections[sanitizeName(u.UpstreamName)] = limit
	for _, o := range u.Directives {
		r.skipDirective(o, "")
	}
}

// importLocation makes a lane of a location that proxies to an http upstream. The response timeout is
// proxy_read_timeout, or a second; a client_max_body_size above 16 MiB is skipped.
func (r *importer) importLocation(d config.IDirective) {
	if d.GetBlock() == nil || len(d.GetParameters()) == 0 {
		r.skipDirective(d, "")
		return
	}
	parameters := d.GetParameters()
	l := lane{name: sanitizeName(parameters[len(parameters)-1].GetValue()), responseTimeout: time.Second}
	if len(parameters) > 1 {
		r.skipDirective(d, " (match by "+parameters[0].GetValue()+" becomes a separate lane)")
	}
	for _, o := range d.GetBlock().GetDirectives() {
		value := ""
		if p := o.GetParameters(); len(p) == 1 {
			value = p[0].GetValue()
		}
		switch o.GetName() {
		case "proxy_pass":
			if u, err := url.Parse(value); err == nil && u.Scheme == "http" {
				l.service = sanitizeName(u.Host)
				continue
			}
		case "proxy_read_timeout":
			if t := parseDuration(value); t > 0 {
				l.responseTimeout = t
				continue
			}
		case "client_max_body_size":
			if n := parseSize(value); n > 0 && n <= 16<<20 {
				l.maxRequestBody = n
				continue
			}
		}
		r.skipDirective(o, "")
	}
	if l.service == "" {
		r.skipDirective(d, " (no proxy_pass to an http upstream)")
		return
	}
	for _, o := range r.lanes {
		if o.name == l.name {
			r.skipDirective(d, " (duplicate lane name)")
			return
		}
	}
	r.lanes = append(r.lanes, l)
}

// parseDuration parses a duration, in seconds unless it has a unit. It returns 0 for invalid ones and those over an
// hour.
func parseDuration(s string) time.Duration {
	if _, err := strconv.Atoi(s); err == nil {
		s += "s"
	}
	t, err := time.ParseDuration(s)
	if err != nil || t > time.Hour {
		return 0
	}
	return t
}

// parseSize parses a number of bytes with an optional suffix k or m. It returns 0 for invalid ones.
func parseSize(s string) int64 {
	unit := int64(1)
	switch {
	case strings.HasSuffix(strings.ToLower(s), "k"):
		unit, s = 1<<10, s[:len(s)-1]
	case strings.HasSuffix(strings.ToLower(s), "m"):
		unit, s = 1<<20, s[:len(s)-1]
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n * unit
}

// document builds the configuration. Each service's limit is raised to at least (nodes+1) * (lanes+1) connections,
// and a node's part of it, less one connection, is divided evenly among the lanes of the service.
func (r *importer) document(tenant string, nodes int) []byte {
	laneCounts := map[string]int{}
	for _, l := range r.lanes {
		laneCounts[l.service]++
	}
	services, lanes := map[string]any{}, map[string]any{}
	for service, limit := range r.maxConnections {
		services[service] = map[string]any{"maxConnections": max(limit, (nodes+1)*(laneCounts[service]+1))}
		if limit < (nodes+1)*(laneCounts[service]+1) {
			r.skipped = append(r.skipped, fmt.Sprintf("max_conns %d of %s is too few for %d nodes and is raised; set it by hand", limit, service, nodes))
		}
	}
	for _, l := range r.lanes {
		limit := max(r.maxConnections[l.service], (nodes+1)*(laneCounts[l.service]+1))
		laneDocument := map[string]any{"tenant": tenant, "service": l.service, "slots": max(1, (limit/(nodes+1)-1)/laneCounts[l.service]), "workMs": l.responseTimeout.Milliseconds()}
		if l.maxRequestBody > 0 {
			laneDocument["bodyBytes"] = l.maxRequestBody
		}
		lanes[l.name] = laneDocument
	}
	return desired.Write(map[string]any{"fleet": map[string]any{"nodes": nodes, "surge": 1}, "services": services, "tenants": map[string]any{tenant: map[string]any{}}, "lanes": lanes})
}
