package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	uploadBytes      = 3200 << 10
	uploadPieceBytes = 16 << 10
	// uploadPause paces a client to about 1 MB/s.
	uploadPause  = 16 * time.Millisecond
	uploadRounds = 6
	cutFor       = 4300 * time.Millisecond
)

// upload is one request of a client with a long body.
type upload struct {
	id, sum, text string
	status        int
	sentIn        time.Duration
}

// send sends a chunked body at the pace of its link, and reads the answer once the body is out.
func (u *upload) send(address string, body []byte, timeRemaining int) {
	sum := sha256.Sum256(body)
	u.sum = hex.EncodeToString(sum[:])
	connection, err := net.Dial("tcp", address)
	if err != nil {
		u.text = err.Error()
		return
	}
	defer connection.Close()
	connection.(*net.TCPConn).SetWriteBuffer(32 << 10)
	connection.SetDeadline(time.Now().Add(15 * time.Second))
	remaining := ""
	if timeRemaining > 0 {
		remaining = line("left", fmt.Sprint(timeRemaining))
	}
	start := time.Now()
	if _, err := fmt.Fprintf(connection, "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n%s%sTransfer-Encoding: chunked\r\n\r\n", line("id", u.id), remaining); err != nil {
		u.text = err.Error()
		return
	}
	for rest := body; len(rest) > 0; {
		piece := rest[:min(uploadPieceBytes, len(rest))]
		rest = rest[len(piece):]
		if _, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			u.text = fmt.Sprintf("the connection ended while the body was sent: %v", err)
			break
		}
		time.Sleep(uploadPause)
	}
	if u.text == "" {
		fmt.Fprint(connection, "0\r\n\r\n")
	}
	u.sentIn = time.Since(start)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		u.text += " no answer: " + err.Error()
		return
	}
	response.Body.Close()
	u.status = response.StatusCode
}

// small sends an ordinary request, so that the node keeps a connection to the backend.
func small(address, id string) int {
	request, err := http.NewRequest("POST", "http://"+address+"/pufi791/s", bytes.NewReader([]byte("small "+id)))
	if err != nil {
		return 0
	}
	request.Host = "ficu95.example"
	request.Header.Set(word("id"), id)
	request.Header.Set(word("left"), "2000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// longBody: UNASKED. The link to one backend of six is cut for a while, each round another one, while clients
// send long bodies.
func longBody(f *fleet, trouble bool) (int, error) {
	if status, _ := f.call(word("replace"), "0", fmt.Sprintf(text("upload.json"), 3), 15*time.Second); status != 200 {
		return 0, fmt.Errorf("the configuration got %d", status)
	}
	if err := f.endFirstStart(); err != nil {
		return 0, err
	}
	var backends []*backend
	var links []*link
	for i := range uploadRounds {
		b, err := newBackend(f, fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zones[i%len(zones)], f.subnet+".200:0", 4)
		if err != nil {
			return 0, err
		}
		l, err := newLink(f.subnet+".201:0", b.address)
		if err != nil {
			return 0, err
		}
		b.address = l.address
		go b.beat()
		backends, links = append(backends, b), append(links, l)
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	changed, all := 0, 0
	for round, l := range links {
		var warm sync.WaitGroup
		for i := range 12 * len(f.machines) {
			warm.Go(func() {
				small(f.machines[i%len(f.machines)].front(), fmt.Sprintf("small-%d-%d-%x", round, i, rand.Uint32()))
			})
		}
		warm.Wait()
		time.Sleep(100 * time.Millisecond)
		if trouble {
			l.cut()
			f.note("the link to %s is cut", backends[round].id)
		}
		var uploads []*upload
		var sending sync.WaitGroup
		for i := range 4 * len(f.machines) {
			m := f.machines[i%len(f.machines)]
			told := []int{4000, 0}[i/len(f.machines)%2]
			u := &upload{id: fmt.Sprintf("up-%d-%d-%x", round, i, rand.Uint32())}
			uploads = append(uploads, u)
			body := make([]byte, uploadBytes)
			rand.New(rand.NewSource(rand.Int63())).Read(body)
			sending.Go(func() { u.send(m.front(), body, told) })
			f.note("client sends %s to %s, %d bytes in chunks, time left %s", u.id, m.ip, uploadBytes, map[int]string{4000: "4000", 0: "not told"}[told])
		}
		if trouble {
			time.Sleep(cutFor)
			l.heal()
			f.note("the link to %s is whole again", backends[round].id)
		}
		sending.Wait()
		time.Sleep(1500 * time.Millisecond)
		for _, u := range uploads {
			all++
			f.note("client of %s: answer %d, body out after %.1f s, sha256 %.16s %s", u.id, u.status, u.sentIn.Seconds(), u.sum, u.text)
			for _, b := range backends {
				for _, r := range b.runsOf(u.id) {
					if r.sum != u.sum {
						changed++
						f.note("UNASKED: %s ran with a changed body: %d bytes of %d", u.id, r.length, uploadBytes)
					}
				}
			}
		}
	}
	f.note("%d of %d uploads ran with a changed body", changed, all)
	if changed > 0 {
		return broken, nil
	}
	return held, nil
}
