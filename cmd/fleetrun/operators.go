package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloeturn/register"
)

const operatorsAtOnce = 5

// desk writes down what operators ask and hear; a version is a generation here.
type desk struct {
	f     *fleet
	start time.Time
	lock  sync.Mutex
	calls []*register.Call
	known uint64
	value uint64
}

func (d *desk) document(c *register.Call) (method, doc string) {
	if c.Kind == register.Modify {
		return "PATCH", fmt.Sprintf(`{"limits":{"headBytes":%d}}`, c.Value.One)
	}
	limits := fmt.Sprintf(`{"limits": {"headBytes": %d, "bodyBytes": %d},`, c.Value.One, c.Value.Two)
	return "PUT", limits + strings.TrimPrefix(d.f.plan.desired, "{")
}

// once sends a call to one control process; an answer may be given up early or thrown away.
func (d *desk) once(done context.Context, c *register.Call, door string) register.Outcome {
	method, doc := "GET", ""
	if c.Kind != register.Read {
		method, doc = d.document(c)
	}
	patience := time.Second
	if rand.Intn(10) == 0 {
		patience = time.Duration(1+rand.Intn(30)) * time.Millisecond
	}
	wait, stop := context.WithTimeout(done, patience)
	defer stop()
	req, _ := http.NewRequestWithContext(wait, method, "http://"+door+"/desired", strings.NewReader(doc))
	if c.Kind != register.Read {
		req.Header.Set("If-Match", fmt.Sprint(c.Basis))
		req.Header.Set("Sloeturn-Change-Id", c.ID)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return register.Unclear
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || rand.Intn(8) == 0 {
		return register.Unclear
	}
	gen, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	d.lock.Lock()
	d.known = max(d.known, gen)
	d.lock.Unlock()
	switch {
	case resp.StatusCode == 412 || resp.StatusCode == 422:
		return register.Refused
	case resp.StatusCode != 200:
		return register.Unclear
	case c.Kind != register.Read:
		c.Got.Version = gen
		return register.Done
	}
	c.Got = settings(gen, body)
	return register.Done
}

func settings(gen uint64, doc []byte) register.Value {
	var m struct {
		Limits struct{ HeadBytes, BodyBytes uint64 }
	}
	json.Unmarshal(doc, &m)
	return register.Value{Version: gen, One: m.Limits.HeadBytes, Two: m.Limits.BodyBytes}
}

func (d *desk) make(done context.Context, c *register.Call, most time.Duration) {
	d.lock.Lock()
	d.calls = append(d.calls, c)
	c.From = time.Since(d.start)
	d.lock.Unlock()
	n := &register.Call{Kind: c.Kind, ID: c.ID, Basis: c.Basis, Value: c.Value}
	out, wait := register.Unclear, 50*time.Millisecond
	for out == register.Unclear && time.Since(d.start)-c.From < most && done.Err() == nil {
		p := d.f.control[rand.Intn(len(d.f.control))]
		if out = d.once(done, n, p.ops); out == register.Unclear {
			pause(done, wait)
			wait = min(2*wait, 500*time.Millisecond)
		}
	}
	d.lock.Lock()
	c.Outcome, c.Got, c.To = out, n.Got, time.Since(d.start)
	d.lock.Unlock()
}

func (d *desk) next(who int) *register.Call {
	d.lock.Lock()
	defer d.lock.Unlock()
	switch k := rand.Intn(10); {
	case k < 2:
		if o := d.calls[rand.Intn(len(d.calls))]; o.Kind != register.Read && o.ID != "start" {
			return &register.Call{Operator: who, Kind: o.Kind, ID: o.ID, Basis: o.Basis, Value: o.Value}
		}
	case k < 6:
		d.value++
		c := &register.Call{Operator: who, Kind: register.Replace, Basis: d.known, Value: register.Value{Version: d.known + 1, One: d.value, Two: d.value}}
		if k == 5 {
			c.Kind, c.Value.Two = register.Modify, 0
		}
		c.ID = fmt.Sprintf("operator-%d-%d-%d", who, d.value, d.start.UnixNano())
		return c
	}
	return &register.Call{Operator: who}
}

// operators has several operators at work while processes are killed and frozen, and has their history judged.
func (f *fleet) operators(done context.Context) (string, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	d := &desk{f: f, start: time.Now(), known: f.gen, value: 1}
	first := &register.Call{}
	for i := 0; first.Outcome != register.Done && i < 100; i++ {
		first.Outcome = d.once(done, first, f.control[i%len(f.control)].ops)
	}
	if first.Outcome != register.Done {
		return "", fmt.Errorf("nothing to begin from")
	}
	d.calls = []*register.Call{{Kind: register.Replace, ID: "start", Value: first.Got, From: -2, To: -1, Outcome: register.Done}}
	work, stop := context.WithTimeout(done, 24*time.Second)
	defer stop()
	var wait sync.WaitGroup
	for i := 0; i < operatorsAtOnce; i++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for pause(work, time.Duration(20+rand.Intn(400))*time.Millisecond) {
				d.make(done, d.next(i), 5*time.Second)
			}
		}()
	}
	trouble := []func() error{
		func() error { return f.struck(work, func(p *proc) { p.kill() }, (*proc).start) },
		func() error { f.data[0].kill(); return f.data[0].start() },
		func() error {
			thaw := func(p *proc) error { p.signal(syscall.SIGCONT); return nil }
			return f.struck(work, func(p *proc) { p.signal(syscall.SIGSTOP) }, thaw)
		},
		func() error { return f.struck(work, func(p *proc) { p.kill() }, (*proc).start) },
	}
	for _, cause := range trouble {
		if pause(work, 2500*time.Millisecond) {
			if err := cause(); err != nil {
				return "", err
			}
		}
	}
	wait.Wait()
	said := map[string]bool{}
	unclear := 0
	for _, c := range append([]*register.Call(nil), d.calls...) {
		if c.Kind == register.Read || c.ID == "start" || said[c.ID] {
			continue
		}
		said[c.ID] = true
		again := &register.Call{Operator: operatorsAtOnce, Kind: c.Kind, ID: c.ID, Basis: c.Basis, Value: c.Value}
		if d.make(done, again, 15*time.Second); again.Outcome == register.Unclear {
			unclear++
		}
	}
	last := &register.Call{Operator: operatorsAtOnce}
	d.make(done, last, 15*time.Second)
	var list []register.Call
	count := map[string]int{}
	for _, c := range d.calls {
		list = append(list, *c)
		count[[...]string{"unclear", "done", "refused"}[c.Outcome]]++
	}
	if unclear > 0 || last.Outcome != register.Done {
		f.led.broken.say("an operator had no clear answer after the trouble", "%d orders", unclear)
	}
	verdict, text := register.Judge(list, 30*time.Second)
	if verdict != register.Linear {
		f.led.broken.say("orders are not linear", "%s%s", map[bool]string{true: "not judged: "}[verdict == register.Undecided], text)
	}
	f.gen = last.Got.Version
	f.req.acked.Store(f.gen)
	return fmt.Sprintf("%d operators' calls judged: %s", len(list), pairs(count)), nil
}

// struck strikes the leader and mends it 3 s later.
func (f *fleet) struck(done context.Context, strike func(p *proc), mend func(p *proc) error) error {
	p, err := f.leader()
	if err != nil {
		return nil
	}
	strike(p)
	pause(done, 3*time.Second)
	return mend(p)
}
