package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"sloeturn/platform"
)

// visit is a request as a backend got it.
type visit struct {
	id     string
	method string
	path   string
	body   []byte
	life   string
}

// backend stands in for a sound backend: it beats, answers its health path, turns away what is meant
// for another life, and answers each request by its own function.
type backend struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	addr    string
	slots   int
	answer  func(c net.Conn, v visit) (keep bool)
	lock    sync.Mutex
	turn    int
	beatTo  int
	state   string
	ran     map[string]int
	over    bool
	quiet   bool
}

func (f *fleet) backend(id, service string, host, zone int, answer func(c net.Conn, v visit) bool) (*backend, error) {
	ear, err := f.listen(host)
	if err != nil {
		return nil, err
	}
	b := &backend{fleet: f, id: id, service: service, zone: zones[zone%len(zones)], addr: ear.Addr().String(), slots: 4, answer: answer, beatTo: 1 + zone%cores, state: "available", ran: map[string]int{}}
	go func() {
		for {
			c, err := ear.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	go func() {
		for !b.ended() {
			if !b.silent() {
				b.beat()
			}
			time.Sleep(1300 * time.Millisecond)
		}
	}()
	f.ends = append(f.ends, b.end)
	return b, nil
}

func (b *backend) end() {
	b.lock.Lock()
	b.over = true
	b.lock.Unlock()
}

func (b *backend) ended() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.over
}

// signsOff ends the beats of a backend that signs off; it serves on.
func (b *backend) signsOff() {
	b.lock.Lock()
	b.quiet = true
	b.lock.Unlock()
}

func (b *backend) silent() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.quiet
}

// beat tells the system of the backend, and goes on to the next control process after a failure.
func (b *backend) beat() bool {
	b.lock.Lock()
	b.turn++
	body := fmt.Sprintf(text("beat.json"), b.service, b.addr, b.zone, b.slots, b.state, b.turn)
	to := b.beatTo
	b.lock.Unlock()
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+b.fleet.control(to)+word("beat")+b.id, "application/json", strings.NewReader(body))
	if err == nil {
		resp.Body.Close()
		if resp.StatusCode/100 == 2 {
			return true
		}
	}
	b.lock.Lock()
	b.beatTo = to%cores + 1
	b.lock.Unlock()
	return false
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for !b.ended() {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get(platform.TargetInstanceHeader); want != "" && want != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", word("instance"), b.id, platform.NotExecutedHeader, platform.AttemptIDHeader, r.Header.Get(platform.AttemptIDHeader))
			continue
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", word("instance"), b.id)
			continue
		}
		v := visit{r.Header.Get(platform.AttemptIDHeader), r.Method, r.URL.RequestURI(), body, r.Header.Get(platform.TargetInstanceHeader)}
		b.lock.Lock()
		b.ran[v.id]++
		b.lock.Unlock()
		if !b.answer(c, v) {
			return
		}
	}
}

// whole writes a good answer with a body.
func whole(c net.Conn, v visit, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", platform.AttemptIDHeader, v.id, platform.ServerSealHeader, v.id, len(body), body)
	return err
}
