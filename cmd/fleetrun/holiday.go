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

// changeQueue is the answer of /desired/held: the changes that wait for the end of a blackout period
// (change freeze). End is the desired state with all of them applied, and Basis its version.
type changeQueue struct {
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

// regionsInBlackout returns the regions that are in a blackout period now.
func (q *changeQueue) regionsInBlackout() string {
	var regions []string
	for _, region := range q.Calendar {
		if region.State == "still" {
			regions = append(regions, region.Region)
		}
	}
	return strings.Join(regions, " ")
}

func (f *fleet) fetchChangeQueue() (*changeQueue, error) {
	client := http.Client{Timeout: 2 * time.Second}
	err := fmt.Errorf("no control process answers")
	for _, p := range f.controls {
		var resp *http.Response
		if resp, err = client.Get("http://" + p.operatorsAddr + "/desired/held"); err != nil {
			continue
		}
		q := &changeQueue{}
		err = json.NewDecoder(resp.Body).Decode(q)
		resp.Body.Close()
		if err == nil && resp.StatusCode == 200 {
			return q, nil
		}
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil, err
}

// awaitChangeQueue retries fetchChangeQueue for up to 10 s of pauses.
func (f *fleet) awaitChangeQueue(ctx context.Context) (q *changeQueue, err error) {
	for i := 0; i < 50; i++ {
		if q, err = f.fetchChangeQueue(); err == nil || !sleep(ctx, 200*time.Millisecond) {
			break
		}
	}
	return q, err
}

// changeAtAnyControl sends a change to one control process after another, under one change id, until one
// gives a definite answer.
func (f *fleet) changeAtAnyControl(ctx context.Context, method, path, document, base, changeID string) (status int, answer map[string]any) {
	for i := 0; ctx.Err() == nil; i++ {
		req, _ := http.NewRequestWithContext(ctx, method, "http://"+f.controls[i%len(f.controls)].operatorsAddr+path, bytes.NewReader([]byte(document)))
		req.Header.Set("If-Match", base)
		req.Header.Set("Sloeturn-Change-Id", changeID)
		resp, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			answer = map[string]any{}
			if json.Unmarshal(body, &answer) == nil && resp.StatusCode != 504 && resp.StatusCode != 503 {
				return resp.StatusCode, answer
			}
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return 0, nil
}

// watchBlackouts compares the version that each node serves with the leader's. A node may lag behind a
// change by the length of the lease, and must serve the leader's version while nothing changes.
func (f *fleet) watchBlackouts(ctx context.Context, onQueue func(q *changeQueue)) (checks int) {
	client := http.Client{Timeout: time.Second}
	steady, since := uint64(0), time.Now()
	for sleep(ctx, 200*time.Millisecond) {
		q, err := f.fetchChangeQueue()
		if err != nil {
			continue
		}
		if q.Generation != steady {
			steady, since = q.Generation, time.Now()
		}
		if onQueue(q); time.Since(since) < 6*time.Second {
			continue
		}
		for _, p := range f.nodes {
			resp, err := client.Get("http://" + p.operatorsAddr + "/fleet")
			if err != nil {
				continue
			}
			var status struct {
				Generation uint64
				Ready      bool
			}
			err = json.NewDecoder(resp.Body).Decode(&status)
			resp.Body.Close()
			if err != nil || !status.Ready {
				continue
			}
			checks++
			if status.Generation != steady {
				if again, err := f.fetchChangeQueue(); err == nil && again.Generation == steady {
					f.executions.violations.report("routes differ in a blackout period", "%s serves generation %d, the leader is at %d with regions %q in blackout", p.name, status.Generation, steady, q.regionsInBlackout())
				}
			}
		}
	}
	return checks
}

// blackoutPeriods sets blackout days for two regions and sends changes in every period, while the leader
// and a node are killed at each period's start. Held changes must not take effect within a period, must
// take effect after it, and none may be lost.
func (f *fleet) blackoutPeriods(ctx context.Context) (string, error) {
	if f.clockScale == 0 {
		return "", fmt.Errorf("the fault holiday needs --clock-scale; 5760 is one day in 15 s")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	q, err := f.awaitChangeQueue(ctx)
	if err != nil {
		return "", err
	}
	now := time.UnixMilli(f.clockStartMs + f.clockScale*(time.Now().UnixMilli()-f.clockStartMs)).UTC()
	day := func(days int) string { return now.AddDate(0, 0, days).Format("2006-01-02") }
	one, two := f.deployment.services[0].name, f.deployment.services[1].name
	calendar := fmt.Sprintf(`{"regions":{"one":{"cells":["%s"]},"two":{"cells":["%s"]}},"services":{"%s":{"regions":["one"]},"%s":{"regions":["two"]}},
		"blackouts":{"one":{"zone":"UTC","days":["%s","%s"]},"two":{"zone":"UTC","days":["%s","%s"]}}}`, f.deployment.cells[0], f.deployment.cells[1], one, two, day(2), day(3), day(3), day(4))
	status, answer := f.changeAtAnyControl(ctx, "PATCH", "/desired", calendar, q.Basis, "calendar")
	if status != 200 {
		return "", fmt.Errorf("calendar: %d %v", status, answer)
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	blackouts, generations := []string{}, map[string]map[uint64]bool{}
	last := &changeQueue{}
	checks := make(chan int, 1)
	go func() {
		checks <- f.watchBlackouts(watchCtx, func(q *changeQueue) {
			regions := q.regionsInBlackout()
			if len(blackouts) == 0 || blackouts[len(blackouts)-1] != regions {
				blackouts = append(blackouts, regions)
				fmt.Printf("holiday: regions %q in blackout at %s, generation %d, %d changes held\n", regions, q.Clock, q.Generation, len(q.Held))
			}
			if generations[regions] == nil {
				generations[regions] = map[uint64]bool{}
			}
			generations[regions][q.Generation] = true
			last = q
		})
	}()
	lanes := []string{f.deployment.lanes[0].name, f.deployment.lanes[len(f.deployment.lanes)-1].name}
	wantedWeights, held, conflicts := map[string]int{}, 0, 0
	currentBlackout := func() string {
		if q, err := f.fetchChangeQueue(); err == nil {
			return q.regionsInBlackout()
		}
		return "?"
	}
	for ctx.Err() == nil && currentBlackout() == "" {
		sleep(ctx, 200*time.Millisecond)
	}
	current := ""
	for i := 0; ctx.Err() == nil; i++ {
		q, err := f.fetchChangeQueue()
		if err != nil {
			sleep(ctx, 200*time.Millisecond)
			continue
		}
		if regions := q.regionsInBlackout(); regions != current {
			if current = regions; regions == "" {
				break
			}
			if p, err := f.leader(); err == nil {
				p.kill()
				node := f.nodes[i%len(f.nodes)]
				node.kill()
				sleep(ctx, 2*time.Second)
				p.start()
				node.start()
			}
			continue
		}
		lane := lanes[i%2]
		if !strings.Contains(current, []string{"one", "two"}[i%2]) {
			sleep(ctx, 300*time.Millisecond)
			continue
		}
		for k := 0; k < 2; k++ {
			weight := 10 + 2*i + k
			status, answer := f.changeAtAnyControl(ctx, "PATCH", "/desired", fmt.Sprintf(`{"lanes":{"%s":{"weight":%d}}}`, lane, weight), q.Basis, fmt.Sprintf("holiday-%d-%d", i, k))
			switch {
			case status == 202:
				held++
				wantedWeights[lane] = weight
			case status == 200:
				wantedWeights[lane] = weight
			case status == 412:
				conflicts++
			default:
				return "", fmt.Errorf("change %d: %d %v", i, status, answer)
			}
		}
		sleep(ctx, 700*time.Millisecond)
	}
	sleep(ctx, 8*time.Second)
	stopWatch()
	checkCount := <-checks
	q, err = f.awaitChangeQueue(ctx)
	if err != nil {
		return "", err
	}
	var end struct {
		Lanes map[string]struct{ Weight int }
	}
	json.Unmarshal(q.End, &end)
	for lane, weight := range wantedWeights {
		if end.Lanes[lane].Weight != weight {
			f.executions.violations.report("a held change was lost", "lane %s has weight %d, acknowledged %d", lane, end.Lanes[lane].Weight, weight)
		}
	}
	if len(q.Held) > 0 || q.regionsInBlackout() != "" {
		f.executions.violations.report("held changes did not take effect", "%d left, regions %q in blackout", len(q.Held), q.regionsInBlackout())
	}
	for regions, seen := range generations {
		if regions != "" && len(seen) > 2 || strings.Contains(regions, "one two") && len(seen) > 1 {
			f.executions.violations.report("more than one generation in a blackout period", "%q: %v", regions, seen)
		}
	}
	f.generation = q.Generation
	f.load.acknowledgedGeneration.Store(q.Generation)
	return fmt.Sprintf("%d changes held, %d changes refused with 412, %d checks of nodes, periods %q, last generation %d", held, conflicts, checkCount, blackouts, last.Generation), nil
}
