package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sloeturn/platform"
)

// envInt reads a whole number from the environment.
func envInt(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// slowReader: a node gets SIGTERM while a client reads an answer that its backend has long ended. The
// client reads a part, pauses, and takes the rest a second before grace is over.
func slowReader(f *fleet, trouble bool) error {
	size, pause := envInt("SIZE", 16<<20), time.Duration(envInt("PAUSE_MS", 5000))*time.Millisecond
	body := strings.Repeat("0123456789abcdef", size/16)
	for i := 0; i < 3; i++ {
		if _, err := f.backend(fmt.Sprintf("i-%d", i), "dagsync", 101+i, i, func(c net.Conn, v visit) bool {
			f.says("backend: runs %s", v.id)
			err := whole(c, v, body)
			f.says("backend: the answer to %s is out, %v", v.id, err)
			return err == nil
		}); err != nil {
			return err
		}
	}
	if err := f.open(4, text("export.json")); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	c, err := net.Dial("tcp", f.front(4))
	if err != nil {
		return err
	}
	defer c.Close()
	id := fmt.Sprintf("slow-%d", os.Getpid())
	fmt.Fprintf(c, "POST /export/a HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 11000\r\nContent-Length: 4\r\n\r\nnext", platform.AttemptIDHeader, id, platform.TimeRemainingHeader)
	sent := time.Now()
	f.says("client: sends %s to node 4, %s 11000", id, platform.TimeRemainingHeader)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 64<<10), nil)
	if err != nil {
		return err
	}
	f.says("client: the answer begins: %d, seal %s, %d bytes", resp.StatusCode, resp.Header.Get(platform.ServerSealHeader), resp.ContentLength)
	if resp.StatusCode != 200 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	got, err := io.CopyN(io.Discard, resp.Body, 256<<10)
	if err != nil {
		return err
	}
	termed := time.Now()
	if trouble {
		f.nodes[3].signal(syscall.SIGTERM)
	}
	time.Sleep(pause)
	more, err := io.CopyN(io.Discard, resp.Body, int64(size)-got)
	got += more
	at := time.Since(termed).Round(time.Millisecond)
	if err != nil {
		f.breaks("LOST: request %s, run once, sent %v ago, has no complete answer: %d of %d bytes, %v; %v after SIGTERM, grace is 6 s", id, time.Since(sent).Round(time.Millisecond), got, size, err, at)
		return nil
	}
	f.says("client: the whole answer, %d bytes, %v after the pause began", got, at)
	return nil
}
