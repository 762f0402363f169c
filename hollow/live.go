package hollow

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kit/log"

	"sloeturn/data"
	"sloeturn/ident"
	"sloeturn/wire"
)

const (
	slowTick = 20 * time.Millisecond
	jiffy    = 10 * time.Millisecond
)

// Live is a fleet on loopback: real processes beside hollow nodes that share this one.
type Live struct {
	Size
	Real   int
	Bin    string
	Dir    string
	Net    int
	Settle time.Duration
	procs  []*proc
	nodes  []*seat
	doors  []string
	client http.Client
	beats  [2]atomic.Uint64
	probes atomic.Uint64
	stop   context.CancelFunc
	ended  sync.WaitGroup
}

type proc struct {
	name string
	ops  string
	cmd  *exec.Cmd
	used time.Duration
	sent uint64
	size uint64
}

type seat struct {
	state *data.State
	hub   *wire.Hub
	in    chan any
	ready atomic.Bool
	gen   atomic.Uint64
}

func (l *Live) addr(part, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.Net, part+i/200, i%200+1, port)
}

func (l *Live) launch(name, bin, ops string, more ...string) error {
	f, err := os.Create(filepath.Join(l.Dir, name+".log"))
	if err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	defer f.Close()
	cmd := exec.Command(filepath.Join(l.Bin, bin), append([]string{"--name", name, "--operators", ops}, more...)...)
	cmd.Stdout, cmd.Stderr = f, f
	cmd.Env = append(os.Environ(), "GOMAXPROCS=4")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	l.procs = append(l.procs, &proc{name: name, ops: ops, cmd: cmd})
	return nil
}

func (l *Live) Open() error {
	done, stop := context.WithCancel(context.Background())
	l.stop = stop
	l.client = http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	seeds := []string{l.addr(1, 0, 7000), l.addr(1, 1, 7000), l.addr(1, 2, 7000)}
	for i := 0; i < l.Controls; i++ {
		name := fmt.Sprintf("control-%d", i)
		l.doors = append(l.doors, l.addr(1, i, 8000))
		args := append([]string{"--cell", l.zone(i), "--address", l.addr(1, i, 7000), "--http", l.addr(1, i, 8000), "--data", filepath.Join(l.Dir, name), "--ring-file-mb", "2", "--seeds"}, seeds...)
		if err := l.launch(name, "controlplane", l.addr(1, i, 9000), append(append(args, "--founders"), seeds...)...); err != nil {
			return err
		}
	}
	for i := 0; i < l.Nodes; i++ {
		if i < l.Real {
			l.doors = append(l.doors, l.addr(2, i, 8000))
			if err := l.launch(fmt.Sprintf("node-%d", i), "dataplane", l.addr(2, i, 9000), append([]string{"--cell", l.zone(i), "--address", l.addr(2, i, 7000), "--http", l.addr(2, i, 8000), "--seeds"}, seeds...)...); err != nil {
				return err
			}
			continue
		}
		if err := l.sit(done, i, seeds); err != nil {
			return err
		}
	}
	for i := 0; i < l.Backends; i++ {
		if err := l.serve(done, i); err != nil {
			return err
		}
	}
	return nil
}

func (l *Live) sit(done context.Context, i int, seeds []string) error {
	var list []ident.Addr
	for _, s := range seeds {
		list = append(list, ident.Addr(s))
	}
	b := data.Boot{Member: ident.Member(fmt.Sprintf("node-%d", i)), Addr: ident.Addr(l.addr(2, i, 7000)), HTTP: l.addr(2, i, 8000) + "," + l.addr(2, i, 9000), Cell: ident.Cell(l.zone(i)), Incarnation: ident.NewIncarnation(), Seeds: list, Build: "hollow"}
	s := &seat{state: data.New(b, ident.Now()), in: make(chan any, 8192)}
	s.hub = &wire.Hub{Name: string(b.Member), Addr: string(b.Addr), Build: b.Build, Incarnation: uint64(b.Incarnation), Log: log.NewNopLogger(), Take: func(f *wire.Frame) { s.offer(data.Got{Frame: f}) }}
	if err := s.hub.Open(); err != nil {
		return err
	}
	l.nodes = append(l.nodes, s)
	l.ended.Add(1)
	go func() {
		defer l.ended.Done()
		s.run(done)
	}()
	return nil
}

func (s *seat) offer(e any) {
	select {
	case s.in <- e:
	default:
	}
}

func (s *seat) run(done context.Context) {
	t := time.NewTicker(slowTick)
	defer t.Stop()
	defer s.hub.Close()
	for {
		var e any
		select {
		case <-done.Done():
			return
		case e = <-s.in:
		case <-t.C:
			e = data.Tick{}
		}
		s.state.Step(ident.Now(), e)
		for _, e := range s.state.Take() {
			switch e := e.(type) {
			case wire.Send:
				s.hub.Send(e.To, e.Frame)
			case data.Guard:
				s.offer(data.GuardMade{Addr: e.Addr, Life: e.Life, Named: true})
			case data.GuardEnd:
				s.offer(data.GuardLost{Addr: e.Addr, Life: e.Life, Why: "ended"})
			}
		}
		s.ready.Store(s.state.Ready())
		s.gen.Store(uint64(s.state.Relay.DocGen))
	}
}

func (l *Live) serve(done context.Context, i int) error {
	at, name := l.addr(10, i, 6000), l.service(i)
	ear, err := net.Listen("tcp", at)
	if err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.probes.Add(1)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"service":%q}`, name)
	})}
	go srv.Serve(ear)
	l.ended.Add(1)
	context.AfterFunc(done, func() {
		srv.Close()
		l.ended.Done()
	})
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slotCount":8,"cell":%q}`, name, at, l.zone(i))
	go func() {
		every := time.Duration(l.Beat) * time.Millisecond
		for wait := time.Duration(rand.Int63n(int64(every))); ; wait = every {
			select {
			case <-done.Done():
				return
			case <-time.After(wait):
			}
			resp, err := l.client.Post("http://"+l.doors[rand.Intn(len(l.doors))]+"/beats", "application/json", strings.NewReader(body))
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == 200 {
				l.beats[0].Add(1)
			} else {
				l.beats[1].Add(1)
			}
		}
	}()
	return nil
}

func (l *Live) Close() {
	for _, p := range l.procs {
		p.cmd.Process.Kill()
	}
	l.stop()
	l.ended.Wait()
	for _, p := range l.procs {
		p.cmd.Wait()
	}
}

func (l *Live) set(method string, doc []byte, basis int, id string) error {
	var last string
	for i := 0; i < 60; i++ {
		req, _ := http.NewRequest(method, "http://"+l.procs[i%l.Controls].ops+"/desired", bytes.NewReader(doc))
		req.Header.Set("If-Match", strconv.Itoa(basis))
		req.Header.Set("Sloeturn-Change-Id", id)
		resp, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
			last = fmt.Sprint(resp.StatusCode, " ", string(b))
		} else {
			last = err.Error()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return merry.Wrap(ErrRun, merry.AppendMessage("the desired state was not taken: "+last))
}

func (l *Live) Ready() int {
	n := 0
	for _, s := range l.nodes {
		if s.ready.Load() {
			n++
		}
	}
	for i := 0; i < l.Real; i++ {
		resp, err := l.client.Get("http://" + l.addr(2, i, 8000) + "/ready")
		if err == nil {
			if resp.StatusCode == 200 {
				n++
			}
			resp.Body.Close()
		}
	}
	return n
}

func (l *Live) Up(wait time.Duration) (time.Duration, error) {
	from := time.Now()
	if err := l.set("PUT", l.Doc(), 0, "first"); err != nil {
		return 0, err
	}
	for time.Since(from) < wait {
		if l.Ready() == l.Nodes {
			return time.Since(from), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, merry.Wrap(ErrRun, merry.AppendMessagef("%d of %d nodes ready after %v", l.Ready(), l.Nodes, wait))
}

func (p *proc) spent() time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	sys, _ := strconv.Atoi(f[12])
	return time.Duration(user+sys) * jiffy
}

func (p *proc) memory(key string) float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == key+":" {
			n, _ := strconv.ParseFloat(f[1], 64)
			return n / 1024
		}
	}
	return 0
}

func (l *Live) wire(p *proc) (sent, size uint64) {
	resp, err := l.client.Get("http://" + p.ops + "/metrics")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(b), "\n") {
		name, v, _ := strings.Cut(line, " ")
		n, _ := strconv.ParseUint(strings.TrimSpace(v), 10, 64)
		if strings.HasSuffix(name, "wire_sent_total") {
			sent = n
		}
		if strings.HasSuffix(name, "wire_bytes_total") {
			size = n
		}
	}
	return sent, size
}

func (l *Live) Print(to io.Writer, window time.Duration) error {
	up, err := l.Up(60 * time.Second)
	if err != nil {
		return err
	}
	time.Sleep(l.Settle)
	for _, p := range l.procs {
		p.used = p.spent()
		p.sent, p.size = l.wire(p)
	}
	probes, from := l.probes.Load(), time.Now()
	good, bad := l.beats[0].Load(), l.beats[1].Load()
	time.Sleep(window)
	s := time.Since(from).Seconds()
	fmt.Fprintf(to, "live %v, %d real nodes, %d real control processes; all ready after %v\n", l.Size, l.Real, l.Controls, up.Round(time.Millisecond))
	fmt.Fprintf(to, "  probes a second for each real node %.0f, beats a second %.0f heard %.0f not\n", float64(l.probes.Load()-probes)/s/float64(l.Real), float64(l.beats[0].Load()-good)/s, float64(l.beats[1].Load()-bad)/s)
	for _, p := range l.procs {
		sent, size := l.wire(p)
		fmt.Fprintf(to, "  %-12s core %6.2f %%, sends %6.1f frames and %7.2f kB a second, memory now %.1f MB, most %.1f MB\n", p.name, 100*(p.spent()-p.used).Seconds()/s, float64(sent-p.sent)/s, float64(size-p.size)/s/1e3, p.memory("VmRSS"), p.memory("VmHWM"))
	}
	at := time.Now()
	if err := l.set("PATCH", []byte(fmt.Sprintf(`{"lanes":{"%s":{"waiters":7}}}`, l.lane(0))), 1, "second"); err != nil {
		return err
	}
	acked := time.Since(at)
	for time.Since(at) < 10*time.Second {
		late := 0
		for _, s := range l.nodes {
			if s.gen.Load() < 2 {
				late++
			}
		}
		if late == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	fmt.Fprintf(to, "  a change acknowledged after %v, at all hollow nodes after %v\n", acked.Round(time.Millisecond), time.Since(at).Round(time.Millisecond))
	return nil
}
