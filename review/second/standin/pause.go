package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// startSmall brings a fleet up with six backends.
func startSmall(f *fleet, configuration string, set func(b *backend)) error {
	if status, _ := f.call(word("replace"), "0", fmt.Sprintf(configuration, 3), 15*time.Second); status != 200 {
		return fmt.Errorf("the configuration got %d", status)
	}
	if err := f.endFirstStart(); err != nil {
		return err
	}
	for i := range 6 {
		b, err := newBackend(f, fmt.Sprintf("i-7f3a91c%d", i), "huvo11a", zones[i%len(zones)], f.subnet+".200:0", 4)
		if err != nil {
			return err
		}
		set(b)
		go b.beat()
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

const (
	importBytes  = 300 << 10
	importsAll   = 30
	importPause  = 3 * time.Second
	importPieces = 16 << 10
)

// pause: LOST. Clients pause once within a long body on a kept connection, for less than a client may stay idle.
func pause(f *fleet, trouble bool) (int, error) {
	if err := startSmall(f, text("long.json"), func(*backend) {}); err != nil {
		return 0, err
	}
	var lock sync.Mutex
	statuses := map[int]int{}
	var clients sync.WaitGroup
	for i := range importsAll {
		time.Sleep(100 * time.Millisecond)
		clients.Go(func() {
			id := fmt.Sprintf("import-%d-%x", i, rand.Uint32())
			m := f.machines[i%len(f.machines)]
			status, text := sendWithPause(f, id, m, i%2 == 0, trouble)
			f.note("client of %s at %s: answer %d %s", id, m.ip, status, text)
			lock.Lock()
			defer lock.Unlock()
			statuses[status]++
		})
	}
	clients.Wait()
	f.note("%d of %d requests were passed on and had their connection closed without an answer; allowed are 3", statuses[0], importsAll)
	if statuses[0] > 3 {
		return broken, nil
	}
	return held, nil
}

// sendWithPause sends a short request and, on the same connection, a long body with one pause in its middle.
// The status is 0 if the connection was closed without an answer to it.
func sendWithPause(f *fleet, id string, m *machine, chunked, trouble bool) (status int, text string) {
	body := make([]byte, importBytes)
	rand.New(rand.NewSource(rand.Int63())).Read(body)
	sum := sha256.Sum256(body)
	connection, err := net.Dial("tcp", m.front())
	if err != nil {
		return 0, err.Error()
	}
	defer connection.Close()
	connection.SetDeadline(time.Now().Add(20 * time.Second))
	reader := bufio.NewReader(connection)
	fmt.Fprintf(connection, "POST /pufi791/s HTTP/1.1\r\nHost: ficu95.example\r\n%s%sContent-Length: 0\r\n\r\n", line("id", "first-"+id), line("left", "20000"))
	first, err := http.ReadResponse(reader, nil)
	if err != nil || first.StatusCode != 200 || first.Close {
		return -1, "no kept connection"
	}
	io.Copy(io.Discard, first.Body)
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	f.note("client sends %s to %s, %d bytes, %s, sha256 %.16s, time left 20000", id, m.ip, len(body), framing, hex.EncodeToString(sum[:]))
	fmt.Fprintf(connection, "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n%s%s%s\r\n\r\n", line("id", id), line("left", "20000"), framing)
	for sent := 0; sent < len(body); sent += importPieces {
		piece := body[sent:min(sent+importPieces, len(body))]
		if trouble && sent >= len(body)/2 && sent < len(body)/2+importPieces {
			time.Sleep(importPause)
		}
		if chunked {
			_, err = fmt.Fprintf(connection, "%x\r\n%s\r\n", len(piece), piece)
		} else {
			_, err = connection.Write(piece)
		}
		if err != nil {
			break
		}
	}
	if chunked && err == nil {
		fmt.Fprint(connection, "0\r\n\r\n")
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode == 200 {
		return 200, ""
	}
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 300))
	return response.StatusCode, strings.TrimSpace(string(answer))
}
