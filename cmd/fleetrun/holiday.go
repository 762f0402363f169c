package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

type queue struct {
	Generation uint64
	Basis      string
	Clock      string
	Calendar   []struct{ Region, State, From, Until string }
	Held       []struct {
		Place    uint64
		ChangeID string
		InForce  bool
	}
	End json.RawMessage
}

func (q *queue) still() string {
	var out []string
	for _, c := range q.Calendar {
		if c.State == "still" {
			out = append(out, c.Region)
		}
	}
	return strings.Join(out, " ")
}

func (f *fleet) queue() (*queue, error) {
	c := http.Client{Timeout: 2 * time.Second}
	err := fmt.Errorf("no control process answers")
	for _, p := range f.control {
		var resp *http.Response
		if resp, err = c.Get("http://" + p.ops + "/desired/held"); err != nil {
			continue
		}
		q := &queue{}
		err = json.NewDecoder(resp.Body).Decode(q)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return q, nil
		}
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil, err
}

func (f *fleet) queueSoon(done context.Context) (q *queue, err error) {
	for i := 0; i < 50; i++ {
		if q, err = f.queue(); err == nil || !pause(done, 200*time.Millisecond) {
			break
		}
	}
	return q, err
}

// ask makes one change through whichever control process answers, under one change id.
func (f *fleet) ask(done context.Context, method, path, doc, basis, id string) (code int, out map[string]any) {
	for i := 0; done.Err() == nil; i++ {
		req, _ := http.NewRequestWithContext(done, method, "http://"+f.control[i%len(f.control)].ops+path, bytes.NewReader([]byte(doc)))
		req.Header.Set("If-Match", basis)
		req.Header.Set("Sloeturn-Change-Id", id)
		resp, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			out = map[string]any{}
			if json.Unmarshal(b, &out) == nil && resp.StatusCode != 504 && resp.StatusCode != 503 {
				return resp.StatusCode, out
			}
		}
		pause(done, 100*time.Millisecond)
	}
	return 0, nil
}

// watchHoliday holds each node's generation against the leader's; a node may lag a landing by the lease, and never serves another within a period.
func (f *fleet) watchHoliday(done context.Context, seen func(q *queue)) (looks int) {
	c := http.Client{Timeout: time.Second}
	steady, since := uint64(0), time.Now()
	for pause(done, 200*time.Millisecond) {
		q, err := f.queue()
		if err != nil {
			continue
		}
		if q.Generation != steady {
			steady, since = q.Generation, time.Now()
		}
		if seen(q); time.Since(since) < 6*time.Second {
			continue
		}
		for _, p := range f.data {
			resp, err := c.Get("http://" + p.ops + "/fleet")
			if err != nil {
				continue
			}
			var v struct {
				Generation uint64
				Ready      bool
			}
			err = json.NewDecoder(resp.Body).Decode(&v)
			resp.Body.Close()
			if err != nil || !v.Ready {
				continue
			}
			looks++
			if v.Generation != steady {
				if again, err := f.queue(); err == nil && again.Generation == steady {
					f.led.broken.say("routes differ in a holiday", "%s serves generation %d, the fleet stands at %d with %q still", p.name, v.Generation, steady, q.still())
				}
			}
		}
	}
	return looks
}

func (f *fleet) holiday(done context.Context) (string, error) {
	if f.clockScale == 0 {
		return "", fmt.Errorf("name --clock-scale, say 5760: a day in 15 s")
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	q, err := f.queueSoon(done)
	if err != nil {
		return "", err
	}
	now := time.UnixMilli(f.clockFrom + f.clockScale*(time.Now().UnixMilli()-f.clockFrom)).UTC()
	day := func(n int) string { return now.AddDate(0, 0, n).Format("2006-01-02") }
	one, two := f.plan.services[0].name, f.plan.services[1].name
	calendar := fmt.Sprintf(`{"regions":{"one":{"cells":["%s"]},"two":{"cells":["%s"]}},"services":{"%s":{"regions":["one"]},"%s":{"regions":["two"]}},
		"blackouts":{"one":{"zone":"UTC","days":["%s","%s"]},"two":{"zone":"UTC","days":["%s","%s"]}}}`, f.plan.cells[0], f.plan.cells[1], one, two, day(2), day(3), day(3), day(4))
	code, out := f.ask(done, "PATCH", "/desired", calendar, q.Basis, "calendar")
	if code != 200 {
		return "", fmt.Errorf("calendar: %d %v", code, out)
	}
	watch, stop := context.WithCancel(done)
	defer stop()
	stills, gens := []string{}, map[string]map[uint64]bool{}
	last := &queue{}
	looks := make(chan int, 1)
	go func() {
		looks <- f.watchHoliday(watch, func(q *queue) {
			s := q.still()
			if len(stills) == 0 || stills[len(stills)-1] != s {
				stills = append(stills, s)
				fmt.Printf("holiday: %q stands still at %s, generation %d, %d held\n", s, q.Clock, q.Generation, len(q.Held))
			}
			if gens[s] == nil {
				gens[s] = map[uint64]bool{}
			}
			gens[s][q.Generation] = true
			last = q
		})
	}()
	lanes := []string{f.plan.lanes[0].name, f.plan.lanes[len(f.plan.lanes)-1].name}
	want, held, late := map[string]int{}, 0, 0
	open := func() string {
		if q, err := f.queue(); err == nil {
			return q.still()
		}
		return "?"
	}
	for done.Err() == nil && open() == "" {
		pause(done, 200*time.Millisecond)
	}
	boundary := ""
	for i := 0; done.Err() == nil; i++ {
		q, err := f.queue()
		if err != nil {
			pause(done, 200*time.Millisecond)
			continue
		}
		if s := q.still(); s != boundary {
			if boundary = s; s == "" {
				break
			}
			if p, err := f.leader(); err == nil {
				p.kill()
				n := f.data[i%len(f.data)]
				n.kill()
				pause(done, 2*time.Second)
				p.start()
				n.start()
			}
			continue
		}
		lane := lanes[i%2]
		if !strings.Contains(boundary, []string{"one", "two"}[i%2]) {
			pause(done, 300*time.Millisecond)
			continue
		}
		for k := 0; k < 2; k++ {
			weight := 10 + 2*i + k
			code, out := f.ask(done, "PATCH", "/desired", fmt.Sprintf(`{"lanes":{"%s":{"weight":%d}}}`, lane, weight), q.Basis, fmt.Sprintf("holiday-%d-%d", i, k))
			switch {
			case code == 202:
				held++
				want[lane] = weight
			case code == 200:
				want[lane] = weight
			case code == 412:
				late++
			default:
				return "", fmt.Errorf("change %d: %d %v", i, code, out)
			}
		}
		pause(done, 700*time.Millisecond)
	}
	pause(done, 8*time.Second)
	stop()
	n := <-looks
	q, err = f.queueSoon(done)
	if err != nil {
		return "", err
	}
	var end struct {
		Lanes map[string]struct{ Weight int }
	}
	json.Unmarshal(q.End, &end)
	for l, w := range want {
		if end.Lanes[l].Weight != w {
			f.led.broken.say("a held change was lost", "lane %s has weight %d, acknowledged %d", l, end.Lanes[l].Weight, w)
		}
	}
	if len(q.Held) > 0 || q.still() != "" {
		f.led.broken.say("held changes did not land", "%d left, %q still", len(q.Held), q.still())
	}
	for s, g := range gens {
		if s != "" && len(g) > 2 || strings.Contains(s, "one two") && len(g) > 1 {
			f.led.broken.say("more than one generation in a holiday", "%q: %v", s, g)
		}
	}
	f.gen = q.Generation
	f.req.acked.Store(q.Generation)
	return fmt.Sprintf("%d changes held, %d racers heard 412, %d looks at nodes, periods %q, generation %d at last", held, late, n, stills, last.Generation), nil
}
