package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type platform struct {
	plan  *plan
	lock  sync.Mutex
	ready []string
	all   func() []string
	lines []*line
	skew  float64
	stood sync.Map
}

func (p *platform) stands(node string, since time.Time) bool {
	until, ok := p.stood.Load(node)
	return ok && since.Before(until.(time.Time))
}

func newPlatform(p *plan, skew float64, all func() []string) *platform {
	out := &platform{plan: p, all: all, skew: skew}
	for i := 0; i < lines; i++ {
		out.lines = append(out.lines, &line{http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 16, IdleConnTimeout: 3 * time.Second, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}})
	}
	return out
}

func (p *platform) watch(done context.Context) {
	c := http.Client{Timeout: 800 * time.Millisecond}
	for done.Err() == nil {
		var lock sync.Mutex
		var wait sync.WaitGroup
		var ready []string
		for _, a := range p.all() {
			wait.Add(1)
			go func() {
				defer wait.Done()
				resp, err := c.Get("http://" + a + "/ready")
				if err != nil {
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					lock.Lock()
					ready = append(ready, a)
					lock.Unlock()
				}
			}()
		}
		wait.Wait()
		sort.Strings(ready)
		p.lock.Lock()
		p.ready = ready
		p.lock.Unlock()
		select {
		case <-done.Done():
		case <-time.After(time.Second):
		}
	}
}

type line struct {
	lock  sync.Mutex
	node  string
	until time.Time
	http  *http.Client
}

const lines = 48

func (p *platform) pick() (*line, string) {
	k := int(float64(lines) * math.Pow(rand.Float64(), p.skew))
	l := p.lines[min(k, lines-1)]
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.node == "" || time.Now().After(l.until) {
		p.lock.Lock()
		defer p.lock.Unlock()
		l.node = ""
		if len(p.ready) > 0 {
			l.node = p.ready[rand.Intn(len(p.ready))]
			l.until = time.Now().Add(time.Duration(10+rand.Intn(30)) * time.Second)
			l.http.CloseIdleConnections()
		}
	}
	return l, l.node
}

func (l *line) leave() {
	l.lock.Lock()
	l.node = ""
	l.lock.Unlock()
}

func (p *platform) count() int {
	p.lock.Lock()
	defer p.lock.Unlock()
	return len(p.ready)
}

type tally struct {
	lock    sync.Mutex
	counts  map[string]int
	reasons map[string]int
	served  []time.Duration
	onceT   []time.Duration
	refused []time.Duration
	perLane map[string][2]int
	okAt    []time.Time
	flooded string
	took    map[string][]time.Duration
	mark    map[string][2]int
}

func (t *tally) add(lane, kind, reason string, took time.Duration, once bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts[kind]++
	if reason != "" {
		t.reasons[reason]++
	}
	l := t.perLane[lane]
	l[0]++
	if kind == "served" {
		l[1]++
		t.served = append(t.served, took)
		if t.took == nil {
			t.took = map[string][]time.Duration{}
		}
		t.took[lane] = append(t.took[lane], took)
		if once {
			t.onceT = append(t.onceT, took)
		}
		t.okAt = append(t.okAt, time.Now())
	}
	if kind == "refused" {
		t.refused = append(t.refused, took)
	}
	t.perLane[lane] = l
}

func quant(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := append([]time.Duration(nil), list...)
	sort.Slice(s, func(i, j int) bool { return s[i] < s[j] })
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(100 * time.Microsecond)
}

type requesters struct {
	plan    *plan
	plat    *platform
	led     *ledger
	tally   *tally
	scale   float64
	acked   atomic.Uint64
	serial  atomic.Uint64
	trouble atomic.Int32
	refuseB time.Duration
}

func (q *requesters) run(done context.Context) {
	var wait sync.WaitGroup
	for _, l := range q.plan.lanes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			r := rand.New(rand.NewSource(int64(len(l.name)) + time.Now().UnixNano()))
			next := time.Now()
			for done.Err() == nil {
				next = next.Add(time.Duration(r.ExpFloat64() / (l.rate * q.scale) * float64(time.Second)))
				if d := time.Until(next); d > 0 {
					select {
					case <-done.Done():
						return
					case <-time.After(d):
					}
				}
				wait.Add(1)
				retry := r.Intn(4) == 0
				leave := r.Intn(200) == 0
				go func() {
					defer wait.Done()
					q.visit(l, retry, leave)
				}()
			}
		}()
	}
	wait.Wait()
}

func (t *tally) share() float64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	n, ok := 0, 0
	for l, v := range t.perLane {
		if l != t.flooded {
			n, ok = n+v[0]-t.mark[l][0], ok+v[1]-t.mark[l][1]
		}
	}
	t.mark = map[string][2]int{}
	for l, v := range t.perLane {
		t.mark[l] = v
	}
	return float64(ok) / float64(max(1, n))
}

func (q *requesters) flood(done context.Context, l lanePlan, rate float64) {
	q.tally.lock.Lock()
	q.tally.flooded = l.name
	q.tally.lock.Unlock()
	go func() {
		for done.Err() == nil {
			time.Sleep(time.Duration(float64(time.Second) / rate))
			go q.visit(l, false, false)
		}
	}()
}

func (q *requesters) visit(l lanePlan, retry, leave bool) {
	key := ""
	if l.once {
		key = fmt.Sprintf("k-%d-%d", time.Now().UnixNano(), q.serial.Add(1))
	}
	ran := q.shot(l, key, leave)
	if retry && ran != "yes" {
		q.shot(l, key, false)
	}
	if l.once && ran == "yes" && rand.Intn(50) == 0 {
		q.shot(l, key, false)
	}
}

func (q *requesters) shot(l lanePlan, key string, leave bool) string {
	by, node := q.plat.pick()
	if node == "" {
		q.tally.add(l.name, "no node ready", "", 0, false)
		return ""
	}
	nonce := strconv.FormatUint(q.serial.Add(1), 36)
	body := ""
	if l.method == "POST" {
		body = fmt.Sprintf(`{"amount":%s,"note":"%s"}`, strconv.Itoa(rand.Intn(900)+1), nonce)
		if key != "" {
			body = `{"key":"` + key + `"}`
		}
	}
	done, stop := context.WithTimeout(context.Background(), l.expiry+2*time.Second)
	if leave {
		done, stop = context.WithTimeout(context.Background(), 20*time.Millisecond)
	}
	defer stop()
	req, _ := http.NewRequestWithContext(done, l.method, "http://"+node+"/lanes/"+l.name+l.path, bytes.NewReader([]byte(body)))
	req.Header.Set("Sloeturn-Expiry-Ms", strconv.FormatInt(l.expiry.Milliseconds(), 10))
	req.Header.Set("X-Nonce", nonce)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	acked := q.acked.Load()
	start := time.Now()
	resp, err := by.http.Do(req)
	if err != nil {
		by.leave()
		kind := "connection failed"
		if leave {
			kind = "requester left"
		}
		q.tally.add(l.name, kind, "", time.Since(start), false)
		return "?"
	}
	got, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	took := time.Since(start)
	if resp.Close {
		by.leave()
	}
	if err != nil {
		q.tally.add(l.name, "connection failed", "", took, false)
		return "?"
	}
	ran := resp.Header.Get("Sloeturn-Ran")
	gen, _ := strconv.ParseUint(resp.Header.Get("Sloeturn-Generation"), 10, 64)
	if gen < acked {
		q.led.broken.say("older generation served", "node %s answered under %d after %d was acknowledged", node, gen, acked)
	}
	if ran == "yes" && resp.StatusCode < 300 {
		var a struct{ Nonce, Sum string }
		if json.Unmarshal(got, &a) != nil || a.Nonce != nonce || a.Sum != digest(nonce, body) {
			q.led.broken.say("garbled answer passed as whole", "lane %s: %.80q", l.name, got)
		}
		q.tally.add(l.name, "served", "", took, l.once)
		return ran
	}
	var v struct{ Visit, Reason string }
	json.Unmarshal(got, &v)
	switch {
	case resp.StatusCode == 503 && ran == "no":
		if resp.Header.Get("Retry-After") == "" {
			q.led.broken.say("refusal without Retry-After", "%s", v.Reason)
		}
		if q.led.ran(v.Visit) {
			q.led.broken.say("told not run, but it ran", "visit %s: %s", v.Visit, v.Reason)
		}
		if q.plat.stands(node, start) {
			q.tally.add(l.name, "refused by a node that had stood still", v.Reason, took, false)
			return ran
		}
		if took > q.refuseB {
			q.led.broken.say("refusal late", "%v for %s on lane %s", took, v.Reason, l.name)
		}
		q.tally.add(l.name, "refused", v.Reason, took, false)
	case ran == "unknown" && (resp.StatusCode == 502 || resp.StatusCode == 504):
		if resp.Header.Get("Retry-After") != "" {
			q.led.broken.say("unknown with Retry-After", "%s", v.Reason)
		}
		if q.trouble.Load() == 0 {
			q.led.broken.say("answer lost with no fault about", "visit %s: %s", v.Visit, v.Reason)
		}
		q.tally.add(l.name, "unknown", v.Reason, took, false)
	default:
		q.tally.add(l.name, "status "+strconv.Itoa(resp.StatusCode)+" ran "+ran, v.Reason, took, false)
	}
	return ran
}
