package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sloeturn/platform"
)

// routes is how many routes a configuration has in the case of the invalid orders.
const routes = 1400

// largeConfiguration is a valid configuration of that many routes; their paths name the version.
func largeConfiguration(version uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, text("routes-head.json"), version)
	for i := 0; i < routes; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, text("route.json"), i, i, version)
	}
	b.WriteString(text("routes-tail.json"))
	return b.String()
}

// sends gives an order until it has a clear answer or the time is up: after a failure, a 5xx or a
// silence it goes on to another control process, with a pause that grows.
func (f *fleet) sends(who string, at int, body string, most time.Duration) (int, time.Duration) {
	begin, pause := time.Now(), 100*time.Millisecond
	for {
		status, _ := f.order(at, word("replace"), 1, body)
		took := time.Since(begin).Round(time.Millisecond)
		if status == 200 || status/100 == 4 {
			f.says("%s: %d after %v", who, status, took)
			return status, took
		}
		if took > most {
			f.says("%s: no clear answer for %v", who, took)
			return 0, took
		}
		at = at%cores + 1
		time.Sleep(pause)
		pause = min(2*pause, 2*time.Second)
	}
}

// badOrders: one operator has eight invalid orders under way; 15 s later another one gives a valid order.
func badOrders(f *fleet, trouble bool) error {
	for zone := 0; zone < 3; zone++ {
		if _, err := f.backend(fmt.Sprintf("i-%d", zone), "agenda", 100+zone, zone, func(c net.Conn, v visit) bool { return whole(c, v, "ok") == nil }); err != nil {
			return err
		}
	}
	if err := f.open(4, largeConfiguration(1)); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	stop := make(chan struct{})
	var wait, clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		f.looksUp(stop)
	}()
	time.Sleep(time.Second)
	for n := 0; trouble && n < 8; n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			order := strings.Replace(largeConfiguration(uint64(2+n)), `:"agenda"`, `:"nobody"`, 1)
			f.sends(fmt.Sprintf("invalid order %d", 2+n), 1+n%cores, order, 40*time.Second)
		}()
	}
	time.Sleep(15 * time.Second)
	bound := 4*time.Second + routes*3*time.Millisecond
	status, took := f.sends("valid order 20", 2, largeConfiguration(20), 45*time.Second)
	if status != 200 || took > bound {
		f.breaks("Acks: valid order 20 has answer %d after %v; its bound is %v, and nothing was in trouble", status, took, bound)
	}
	wait.Wait()
	close(stop)
	clients.Wait()
	return nil
}

// looksUp sends requests to all nodes by turns and tells each second how they were answered.
func (f *fleet) looksUp(stop chan struct{}) {
	c := http.Client{Timeout: 2 * time.Second}
	counts, told := map[string]int{}, time.Now()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/p%d-1/a", f.front(1+n%4), n%routes), nil)
		req.Host = "shop.example"
		req.Header.Set(platform.AttemptIDHeader, fmt.Sprintf("a-%d", n))
		req.Header.Set(platform.TimeRemainingHeader, "1500")
		resp, err := c.Do(req)
		if err != nil {
			counts["no answer"]++
		} else {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			counts[fmt.Sprint(resp.StatusCode)]++
		}
		if time.Since(told) > time.Second {
			f.says("clients: %v", counts)
			counts, told = map[string]int{}, time.Now()
		}
	}
}
