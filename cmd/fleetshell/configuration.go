package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"sloeturn/calendar"
	"sloeturn/desired"
	"sloeturn/nginximport"
	"sloeturn/replay"
)

func (s *shell) state(gen string) ([]byte, string, error) {
	path := "/desired"
	if gen != "" {
		path += "/" + gen
	}
	last := error(ErrDoors)
	end := time.Now().Add(leaderWait)
	for i := 0; time.Now().Before(end); i++ {
		if i > 0 && i%len(s.doors) == 0 {
			time.Sleep(200 * time.Millisecond)
		}
		d := s.doors[i%len(s.doors)]
		resp, err := web.Get("http://" + d + path)
		if err != nil {
			last = merry.Wrap(ErrAsk, merry.WithCause(err))
			continue
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return b, strings.Trim(resp.Header.Get("ETag"), `"`), nil
		}
		last = merry.Wrap(ErrAsk, merry.AppendMessagef("%s answered %d", d, resp.StatusCode))
		if resp.StatusCode != 503 {
			break
		}
	}
	return nil, "", last
}

func show(s *shell, w []string) (int, error) {
	gen := ""
	if len(w) > 0 {
		gen = w[0]
	}
	b, g, err := s.state(gen)
	if err != nil {
		return failed, err
	}
	var out bytes.Buffer
	json.Indent(&out, b, "", " ")
	fmt.Fprintln(s.out, out.String())
	s.note("generation %s", g)
	return good, nil
}

func (s *shell) faults(list []desired.Fault) {
	for _, f := range list {
		fmt.Fprintf(s.out, "%s %s\n", f.Path, f.Text)
	}
}

func (s *shell) desired() (*desired.State, string, error) {
	b, gen, err := s.state("")
	if err != nil {
		return nil, "", err
	}
	if gen == "0" {
		return nil, "", merry.Errorf("no desired state is set")
	}
	d, faults := desired.Read(b)
	if len(faults) > 0 {
		return nil, "", merry.Errorf("generation %s does not read here", gen)
	}
	return d, gen, nil
}

func told(d *desired.State, gen string) string {
	if d.Edition > 0 {
		return fmt.Sprintf("generation %s, edition %d", gen, d.Edition)
	}
	return "generation " + gen
}

func routes(s *shell, w []string) (int, error) {
	if len(w) > 0 {
		return wrong, merry.Errorf("routes takes no words; --filter TEXT picks rows")
	}
	d, gen, err := s.desired()
	if err != nil {
		return failed, err
	}
	var out []map[string]any
	for _, n := range d.RouteNames() {
		r := d.Routes[n]
		var lanes []string
		for _, t := range r.Targets {
			lanes = append(lanes, fmt.Sprintf("%s:%d", t.Rule.Name, t.Weight))
		}
		var aim any
		if r.Aim > 0 {
			aim = float64(r.Aim.Milliseconds())
		}
		out = append(out, map[string]any{"route": n, "host": r.Host, "prefix": r.Prefix, "lanes": strings.Join(lanes, " "), "repeatable": r.Repeatable, "shots": float64(r.Attempts), "wholeMs": float64(r.Whole.Milliseconds()), "aimMs": aim, "rank": float64(r.Rank)})
	}
	s.table(out, "route", "host", "prefix", "lanes", "repeatable", "shots", "wholeMs", "aimMs", "rank")
	s.note("%d routes; %s", len(out), told(d, gen))
	return good, nil
}

func route(s *shell, w []string) (int, error) {
	if len(w) != 2 || !strings.HasPrefix(w[1], "/") {
		return wrong, merry.Errorf("name a host and a path that starts with '/'")
	}
	host := strings.ToLower(w[0])
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(w[1], "?")
	d, gen, err := s.desired()
	if err != nil {
		return failed, err
	}
	r := d.Find(host, path)
	if r == nil {
		s.note("no route takes %s %s; %s", host, path, told(d, gen))
		return failed, nil
	}
	var out []map[string]any
	for _, t := range r.Targets {
		l := t.Rule
		out = append(out, map[string]any{"route": r.Name, "prefix": r.Prefix, "lane": string(l.Name), "service": string(l.Service), "tenant": l.Tenant, "share": fmt.Sprintf("%.4g%%", 100*float64(t.Weight)/float64(r.Sum)), "waitMs": float64(l.Wait.Milliseconds()), "connectMs": float64(l.Connect.Milliseconds()), "wholeMs": float64(l.Whole.Milliseconds()), "shots": float64(l.Attempts), "repeatable": l.Repeatable})
	}
	s.table(out, "route", "prefix", "lane", "service", "tenant", "share", "waitMs", "connectMs", "wholeMs", "shots", "repeatable")
	s.note("%s", told(d, gen))
	return good, nil
}

func walk(path string, a, b any, say func(string)) {
	x, okA := a.(map[string]any)
	y, okB := b.(map[string]any)
	if !okA || !okB {
		if string(desired.Write(a)) != string(desired.Write(b)) {
			switch {
			case a == nil:
				say("+ " + path + " " + string(desired.Write(b)))
			case b == nil:
				say("- " + path + " " + string(desired.Write(a)))
			default:
				say("~ " + path + " " + string(desired.Write(a)) + " -> " + string(desired.Write(b)))
			}
		}
		return
	}
	all := map[string]bool{}
	for k := range x {
		all[k] = true
	}
	for k := range y {
		all[k] = true
	}
	var names []string
	for k := range all {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		walk(path+"/"+k, x[k], y[k], say)
	}
}

func diff(s *shell, w []string) (int, error) {
	b, err := read(w)
	if err != nil {
		return wrong, err
	}
	now, gen, err := s.end()
	if err != nil {
		return failed, err
	}
	a, _ := desired.ReadTree(now)
	c, faults := desired.ReadTree(b)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	n := 0
	walk("", a, c, func(l string) {
		n++
		fmt.Fprintln(s.out, l)
	})
	s.note("%d changes against generation %s", n, gen)
	return good, nil
}

func checkFile(s *shell, w []string) (int, error) {
	b, err := read(w)
	if err != nil {
		return wrong, err
	}
	d, faults := desired.Read(b)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	cal, faults := calendar.Read(d)
	if len(faults) > 0 {
		s.faults(faults)
		return unsound, nil
	}
	for _, f := range cal.Past(nil, time.Now().UnixMilli()) {
		fmt.Fprintf(s.out, "refused if it is new: %s %s\n", f.Path, f.Text)
	}
	for _, n := range cal.Regions() {
		at := time.Now().UnixMilli()
		for i := 0; i < 3; i++ {
			p, ok := cal.Next(n, at)
			if !ok {
				break
			}
			z := cal.Zone(n)
			fmt.Fprintf(s.out, "region %s: still from %s until %s\n", n, time.UnixMilli(p.From).In(z).Format(time.RFC3339), time.UnixMilli(p.Until).In(z).Format(time.RFC3339))
			at = p.Until
		}
	}
	seats, sums := d.Seats(), d.Slots()
	if d.Fleet.Open {
		fmt.Fprintf(s.out, "open fleet: %d seats, as many as the caps allow\n", seats)
	}
	for _, n := range d.ServiceNames() {
		sum, v := sums[n], d.Services[n]
		fmt.Fprintf(s.out, "service %s: %d seats x %d slots + reserve %d = %d of %d connections\n", n, seats, sum, v.Reserve, seats*sum+v.Reserve, v.MaxConnections)
	}
	return good, nil
}

func importFile(s *shell, w []string) (int, error) {
	if len(w) != 3 {
		return wrong, merry.Errorf("name a file, a tenant and how many nodes")
	}
	b, err := os.ReadFile(w[0])
	if err != nil {
		return wrong, err
	}
	n, err := strconv.Atoi(w[2])
	if err != nil || n < 1 || n > 4096 || !desired.NameOK(w[1]) {
		return wrong, merry.Errorf("%q is not a tenant's name, or %q not a number of nodes", w[1], w[2])
	}
	r, err := nginximport.Import(string(b), w[1], n)
	if err != nil {
		return unsound, err
	}
	fmt.Fprintln(s.out, string(r.Doc))
	for _, l := range r.Left {
		fmt.Fprintln(os.Stderr, "not taken:", l)
	}
	return good, nil
}

func replayFile(s *shell, w []string) (int, error) {
	if len(w) == 0 {
		return wrong, merry.Errorf("name a file")
	}
	f, err := os.Open(w[0])
	if err != nil {
		return wrong, err
	}
	defer f.Close()
	from := uint64(0)
	if len(w) > 1 {
		if from, err = strconv.ParseUint(w[1], 10, 64); err != nil {
			return wrong, merry.Errorf("%q is not a position", w[1])
		}
	}
	if err := replay.New(s.out, from).Play(f); err != nil {
		return failed, err
	}
	return good, nil
}

func read(w []string) ([]byte, error) {
	f, err := one(w, "file")
	if err != nil {
		return nil, err
	}
	return os.ReadFile(f)
}
