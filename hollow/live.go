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

// liveTickInterval is the time between two ticks of a simulated node. clockTick is the unit of CPU times in
// /proc/PID/stat.
const (
	liveTickInterval = 20 * time.Millisecond
	clockTick        = 10 * time.Millisecond
)

// LiveFleet is a fleet on loopback: the control processes and RealNodes nodes are processes of their own, started
// from BinDir with logs and data in RunDir; the other nodes and the backends share this process. Addresses are in
// 127.LoopbackSubnet.0.0/16. SettleDelay is the wait between readiness and the measured window.
type LiveFleet struct {
	Size
	RealNodes      int
	BinDir         string
	RunDir         string
	LoopbackSubnet int
	SettleDelay    time.Duration
	processes      []*process
	simulatedNodes []*simulatedNode
	httpAddrs      []string
	client         http.Client
	announceCounts [2]atomic.Uint64
	probeCount     atomic.Uint64
	cancel         context.CancelFunc
	running        sync.WaitGroup
}

// process is a started process, with its counters at the start of the measured window.
type process struct {
	name          string
	operatorsAddr string
	cmd           *exec.Cmd
	cpuTime       time.Duration
	framesSent    uint64
	bytesSent     uint64
}

// simulatedNode is a node whose frames are sent over real sockets and whose probes are simulated and always succeed.
type simulatedNode struct {
	state      *data.State
	hub        *wire.Hub
	events     chan any
	ready      atomic.Bool
	generation atomic.Uint64
}

func (l *LiveFleet) addr(part, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.LoopbackSubnet, part+i/200, i%200+1, port)
}

// launch starts a program that is killed when this process ends.
func (l *LiveFleet) launch(name, program, operatorsAddr string, args ...string) error {
	logFile, err := os.Create(filepath.Join(l.RunDir, name+".log"))
	if err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(l.BinDir, program), append([]string{"--name", name, "--operators", operatorsAddr}, args...)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "GOMAXPROCS=4")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	l.processes = append(l.processes, &process{name: name, operatorsAddr: operatorsAddr, cmd: cmd})
	return nil
}

// Start starts all processes, simulated nodes and backends. Close must be called even if it fails.
func (l *LiveFleet) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.client = http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	seeds := []string{l.addr(1, 0, 7000), l.addr(1, 1, 7000), l.addr(1, 2, 7000)}
	for i := 0; i < l.ControlProcesses; i++ {
		name := fmt.Sprintf("control-%d", i)
		l.httpAddrs = append(l.httpAddrs, l.addr(1, i, 8000))
		args := append([]string{"--cell", l.zone(i), "--address", l.addr(1, i, 7000), "--http", l.addr(1, i, 8000), "--data", filepath.Join(l.RunDir, name), "--ring-file-mb", "2", "--seeds"}, seeds...)
		if err := l.launch(name, "controlplane", l.addr(1, i, 9000), append(append(args, "--founders"), seeds...)...); err != nil {
			return err
		}
	}
	for i := 0; i < l.Nodes; i++ {
		if i < l.RealNodes {
			l.httpAddrs = append(l.httpAddrs, l.addr(2, i, 8000))
			if err := l.launch(fmt.Sprintf("node-%d", i), "dataplane", l.addr(2, i, 9000), append([]string{"--cell", l.zone(i), "--address", l.addr(2, i, 7000), "--http", l.addr(2, i, 8000), "--seeds"}, seeds...)...); err != nil {
				return err
			}
			continue
		}
		if err := l.startSimulatedNode(ctx, i, seeds); err != nil {
			return err
		}
	}
	for i := 0; i < l.Backends; i++ {
		if err := l.startBackend(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (l *LiveFleet) startSimulatedNode(ctx context.Context, i int, seeds []string) error {
	var seedAddrs []ident.Addr
	for _, seed := range seeds {
		seedAddrs = append(seedAddrs, ident.Addr(seed))
	}
	boot := data.Config{Member: ident.Member(fmt.Sprintf("node-%d", i)), Addr: ident.Addr(l.addr(2, i, 7000)), HTTP: l.addr(2, i, 8000) + "," + l.addr(2, i, 9000), Cell: ident.Cell(l.zone(i)), Incarnation: ident.NewIncarnation(), Seeds: seedAddrs, Build: "hollow"}
	node := &simulatedNode{state: data.New(boot, ident.Now()), events: make(chan any, 8192)}
	node.hub = &wire.Hub{Name: string(boot.Member), Addr: string(boot.Addr), Build: boot.Build, Incarnation: uint64(boot.Incarnation), Log: log.NewNopLogger(), Receive: func(frame *wire.Frame) { node.enqueue(data.FrameReceived{Frame: frame}) }}
	if err := node.hub.Open(); err != nil {
		return err
	}
	l.simulatedNodes = append(l.simulatedNodes, node)
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		node.run(ctx)
	}()
	return nil
}

// enqueue drops the event if the queue is full.
func (n *simulatedNode) enqueue(event any) {
	select {
	case n.events <- event:
	default:
	}
}

func (n *simulatedNode) run(ctx context.Context) {
	ticker := time.NewTicker(liveTickInterval)
	defer ticker.Stop()
	defer n.hub.Close()
	for {
		var e any
		select {
		case <-ctx.Done():
			return
		case e = <-n.events:
		case <-ticker.C:
			e = data.Tick{}
		}
		n.state.Step(ident.Now(), e)
		for _, e := range n.state.TakeEffects() {
			switch e := e.(type) {
			case wire.Send:
				n.hub.Send(e.To, e.Frame)
			case data.StartProbe:
				n.enqueue(data.ProbeConnected{Addr: e.Addr, Incarnation: e.Incarnation, ServiceNamed: true})
			case data.StopProbe:
				n.enqueue(data.ProbeLost{Addr: e.Addr, Incarnation: e.Incarnation, Why: "ended"})
			}
		}
		n.ready.Store(n.state.Ready())
		n.generation.Store(uint64(n.state.Relay.DocumentGeneration))
	}
}

// startBackend serves the health checks of a backend and announces it to random members, the first time after a
// random part of the interval.
func (l *LiveFleet) startBackend(ctx context.Context, i int) error {
	addr, service := l.addr(10, i, 6000), l.service(i)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return merry.Wrap(ErrRun, merry.WithCause(err))
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.probeCount.Add(1)
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"service":%q}`, service)
	})}
	go server.Serve(listener)
	l.running.Add(1)
	context.AfterFunc(ctx, func() {
		server.Close()
		l.running.Done()
	})
	body := fmt.Sprintf(`{"service":%q,"address":%q,"slotCount":8,"cell":%q}`, service, addr, l.zone(i))
	go func() {
		interval := time.Duration(l.AnnounceIntervalMs) * time.Millisecond
		for wait := time.Duration(rand.Int63n(int64(interval))); ; wait = interval {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			resp, err := l.client.Post("http://"+l.httpAddrs[rand.Intn(len(l.httpAddrs))]+"/beats", "application/json", strings.NewReader(body))
			if err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if err == nil && resp.StatusCode == 200 {
				l.announceCounts[0].Add(1)
			} else {
				l.announceCounts[1].Add(1)
			}
		}
	}()
	return nil
}

// Close kills the processes and waits until everything has ended.
func (l *LiveFleet) Close() {
	for _, p := range l.processes {
		p.cmd.Process.Kill()
	}
	l.cancel()
	l.running.Wait()
	for _, p := range l.processes {
		p.cmd.Wait()
	}
}

// changeDesired submits a change of the desired state to the control processes in turn until one acknowledges it, at
// most 60 times.
func (l *LiveFleet) changeDesired(method string, doc []byte, basis int, id string) error {
	var lastError string
	for i := 0; i < 60; i++ {
		req, _ := http.NewRequest(method, "http://"+l.processes[i%l.ControlProcesses].operatorsAddr+"/desired", bytes.NewReader(doc))
		req.Header.Set("If-Match", strconv.Itoa(basis))
		req.Header.Set("Sloeturn-Change-Id", id)
		resp, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
			lastError = fmt.Sprint(resp.StatusCode, " ", string(body))
		} else {
			lastError = err.Error()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return merry.Wrap(ErrRun, merry.AppendMessage("the desired state was not accepted: "+lastError))
}

// ReadyNodes counts the nodes that are ready, real and simulated ones.
func (l *LiveFleet) ReadyNodes() int {
	ready := 0
	for _, node := range l.simulatedNodes {
		if node.ready.Load() {
			ready++
		}
	}
	for i := 0; i < l.RealNodes; i++ {
		resp, err := l.client.Get("http://" + l.addr(2, i, 8000) + "/ready")
		if err == nil {
			if resp.StatusCode == 200 {
				ready++
			}
			resp.Body.Close()
		}
	}
	return ready
}

// BringUp submits the first desired state, waits until all nodes are ready and returns the time that this took.
func (l *LiveFleet) BringUp(timeout time.Duration) (time.Duration, error) {
	from := time.Now()
	if err := l.changeDesired("PUT", l.DesiredState(), 0, "first"); err != nil {
		return 0, err
	}
	for time.Since(from) < timeout {
		if l.ReadyNodes() == l.Nodes {
			return time.Since(from), nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, merry.Wrap(ErrRun, merry.AppendMessagef("%d of %d nodes ready after %v", l.ReadyNodes(), l.Nodes, timeout))
}

// cpuTimeUsed returns the user and system time of the process so far, or 0 if /proc/PID/stat can't be read.
func (p *process) cpuTimeUsed() time.Duration {
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// memoryMB returns a size from /proc/PID/status, such as VmRSS.
func (p *process) memoryMB(key string) float64 {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == key+":" {
			kB, _ := strconv.ParseFloat(fields[1], 64)
			return kB / 1024
		}
	}
	return 0
}

// wireCounters returns the frames and bytes that a process has sent, read from its metrics.
func (l *LiveFleet) wireCounters(p *process) (framesSent, bytesSent uint64) {
	resp, err := l.client.Get("http://" + p.operatorsAddr + "/metrics")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	for _, line := range strings.Split(string(body), "\n") {
		name, value, _ := strings.Cut(line, " ")
		count, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
		if strings.HasSuffix(name, "wire_sent_total") {
			framesSent = count
		}
		if strings.HasSuffix(name, "wire_bytes_total") {
			bytesSent = count
		}
	}
	return framesSent, bytesSent
}

// MeasureAndPrint brings the fleet up, measures the processes over the window, times one more change and prints the
// results.
func (l *LiveFleet) MeasureAndPrint(out io.Writer, window time.Duration) error {
	readyAfter, err := l.BringUp(60 * time.Second)
	if err != nil {
		return err
	}
	time.Sleep(l.SettleDelay)
	for _, p := range l.processes {
		p.cpuTime = p.cpuTimeUsed()
		p.framesSent, p.bytesSent = l.wireCounters(p)
	}
	probes, from := l.probeCount.Load(), time.Now()
	acknowledged, failed := l.announceCounts[0].Load(), l.announceCounts[1].Load()
	time.Sleep(window)
	seconds := time.Since(from).Seconds()
	fmt.Fprintf(out, "live %v, %d real nodes, %d real control processes; all ready after %v\n", l.Size, l.RealNodes, l.ControlProcesses, readyAfter.Round(time.Millisecond))
	fmt.Fprintf(out, "  probes a second for each real node %.0f, beats a second %.0f heard %.0f not\n", float64(l.probeCount.Load()-probes)/seconds/float64(l.RealNodes), float64(l.announceCounts[0].Load()-acknowledged)/seconds, float64(l.announceCounts[1].Load()-failed)/seconds)
	for _, p := range l.processes {
		framesSent, bytesSent := l.wireCounters(p)
		fmt.Fprintf(out, "  %-12s core %6.2f %%, sends %6.1f frames and %7.2f kB a second, memory now %.1f MB, most %.1f MB\n", p.name, 100*(p.cpuTimeUsed()-p.cpuTime).Seconds()/seconds, float64(framesSent-p.framesSent)/seconds, float64(bytesSent-p.bytesSent)/seconds/1e3, p.memoryMB("VmRSS"), p.memoryMB("VmHWM"))
	}
	submittedAt := time.Now()
	if err := l.changeDesired("PATCH", []byte(fmt.Sprintf(`{"lanes":{"%s":{"waiters":7}}}`, l.lane(0))), 1, "second"); err != nil {
		return err
	}
	ackedAfter := time.Since(submittedAt)
	for time.Since(submittedAt) < 10*time.Second {
		behind := 0
		for _, node := range l.simulatedNodes {
			if node.generation.Load() < 2 {
				behind++
			}
		}
		if behind == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	fmt.Fprintf(out, "  a change acknowledged after %v, at all hollow nodes after %v\n", ackedAfter.Round(time.Millisecond), time.Since(submittedAt).Round(time.Millisecond))
	return nil
}
