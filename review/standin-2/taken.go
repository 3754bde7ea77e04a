package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 36                      // of a stream
	eventPause   = 280 * time.Millisecond  // between two of them
	streamTime   = 12 * time.Second        // deadline of a stream
	clientGap    = 4400 * time.Millisecond // without an event, before a client abandons a stream: four times the objective
	maxTakeUps   = 3                       // tries of a client after the first
	strandCount  = 40                      // streams that begin while the core is down
	coreDown     = 800 * time.Millisecond  // from the kill of the core to its start
	powerless    = 3400 * time.Millisecond // how long the gateway has no power
	farGateway   = 4                       // of a machine that does not belong to the core
)

// stream is what one client got of a stream.
type stream struct {
	attempt string // that brought its first event
	last    int    // id of its last event
	done    bool
	begun   time.Time
	written map[string]bool // software versions that its events name
}

// read sends one try of a stream to a gateway and reads events until it ends, or until there is
// none for clientGap. It returns the status, and how long to wait before the next try.
func (w *world) read(n int, s *stream, attempt string) (int, time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.front(n)+"/chat/x", strings.NewReader("hello"))
	if err != nil {
		return 0, 0
	}
	request.Host, request.Close = "gate.example", true
	request.Header.Set(w.names["attempt"], attempt)
	request.Header.Set(w.names["deadline"], strconv.FormatInt(time.Until(s.begun.Add(streamTime)).Milliseconds(), 10))
	if s.attempt != "" {
		request.Header.Set(w.names["last"], strconv.Itoa(s.last))
		request.Header.Set(w.names["resumes"], s.attempt)
	}
	silence := time.AfterFunc(clientGap, cancel)
	defer silence.Stop()
	res, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64) // 0: none
		return res.StatusCode, time.Duration(after * float64(time.Second))
	}
	lines := bufio.NewScanner(res.Body)
	id, version := 0, ""
	for lines.Scan() {
		switch text := lines.Text(); {
		case strings.HasPrefix(text, "data: "):
			version = text[len("data: "):]
		case strings.HasPrefix(text, "id: "):
			id, _ = strconv.Atoi(text[len("id: "):])
		case text == "" && id > s.last:
			silence.Reset(clientGap)
			s.last = id
			if s.written == nil {
				s.written = map[string]bool{}
			}
			s.written[version] = true
			if s.attempt == "" {
				s.attempt = attempt
			}
		}
	}
	s.done = s.last == streamEvents
	return res.StatusCode, 0
}

// runTaken plays streams that begin, soon after a release, while the core is down, at a gateway
// that then loses power.
func runTaken(w *world, args []string) (int, error) {
	if err := w.openRecord(args[0]); err != nil {
		return 0, err
	}
	body, err := w.fill("streams.txt", "version", "7")
	if err != nil {
		return 0, err
	}
	if err := w.order(body, 20*time.Second); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	old, endOld := context.WithCancel(ctx)
	defer endOld()
	start := func(id, ip, version string, announced context.Context, state func() string) (*runner, error) {
		address, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		r := &runner{w: w, id: id, address: address, zone: "zone-" + ip[len(ip)-1:], service: "model", born: time.Now().UnixMilli(), work: eventPause, version: version, events: streamEvents}
		if err := r.start(); err != nil {
			return nil, err
		}
		go r.announce(announced, state)
		return r, nil
	}
	ready := func() string { return "ready" }
	var leavers []*runner
	for _, ip := range []string{"127.0.0.1", "127.0.0.2"} {
		r, err := start("i-old-"+ip[len(ip)-1:], ip, "v1", old, ready)
		if err != nil {
			return 0, err
		}
		leavers = append(leavers, r)
	}
	for _, n := range []int{1, 2, 3, farGateway} {
		if !w.awaitReady(n, 20*time.Second) {
			return 0, fmt.Errorf("gateway %d is not ready", n)
		}
	}
	var group sync.WaitGroup
	for i := range 8 { // streams of v1: the service has served before
		group.Go(func() {
			s := &stream{begun: time.Now()}
			w.read(i%instances+1, s, fmt.Sprintf("before-%d", i))
		})
	}
	group.Wait()
	w.say("release: the runners of v2 start")
	for n := 1; n <= instances; n++ {
		if _, err := start(fmt.Sprintf("i-new-%d", n), fmt.Sprintf("127.0.0.%d", n), "v2", ctx, ready); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	endOld()
	for _, r := range leavers {
		r.leave()
		if !r.beat("draining") {
			return 0, errors.New("a departure was not acknowledged")
		}
	}
	time.Sleep(drainTime + time.Second)
	for _, r := range leavers {
		w.call(http.MethodPost, "http://"+w.control(1)+w.names["deregister"]+r.id, fmt.Appendf(nil, `{"born":%d,"seq":%d}`, r.born, r.seq+1))
		r.crash() // it exits
	}
	w.say("release: the runners of v1 have left")
	time.Sleep(inTouch + time.Second)

	var pids []int
	for _, text := range args[1:] { // control instances, then the gateway
		pid, err := strconv.Atoi(text)
		if err != nil {
			return 0, err
		}
		pids = append(pids, pid)
	}
	core, far := pids[:len(pids)-1], pids[len(pids)-1]
	struck := time.Now()
	// With CORE=0 only the loss of the gateway is played.
	coreKilled := w.trouble && os.Getenv("CORE") != "0"
	if coreKilled {
		for _, pid := range core {
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
				return 0, err
			}
		}
		w.say("the processes of the core are killed")
	}
	var mu sync.Mutex
	takenUp, wentOn, begun, tried, joined, whole := 0, 0, 0, 0, 0, 0
	for i := range strandCount {
		group.Go(func() {
			time.Sleep(50*time.Millisecond + time.Duration(i)*10*time.Millisecond)
			s := &stream{begun: time.Now()}
			status, wait := w.read(farGateway, s, fmt.Sprintf("first-%d", i))
			w.say("client %d: %d events, status %d", i, s.last, status)
			if s.attempt == "" || s.done {
				mu.Lock()
				defer mu.Unlock()
				if s.done {
					whole++
				}
				return
			}
			before, inTouchYet := s.last, true
			for try := 1; try <= maxTakeUps && !s.done && s.last == before; try++ {
				time.Sleep(wait)
				inTouchYet = inTouchYet && time.Since(struck) > coreDown+inTouch
				status, wait = w.read(try%instances+1, s, fmt.Sprintf("again-%d-%d", i, try))
				w.say("client %d: taken up behind event %d, status %d, now at event %d", i, before, status, s.last)
			}
			mu.Lock()
			defer mu.Unlock()
			if len(s.written) > 1 {
				joined++
			}
			if inTouchYet {
				takenUp++
				if s.last > before {
					wentOn++
				}
			}
		})
	}
	time.Sleep(time.Until(struck.Add(coreDown - 100*time.Millisecond)))
	if w.trouble {
		if err := syscall.Kill(far, syscall.SIGSTOP); err != nil { // it falls silent, as without power
			return 0, err
		}
		w.say("gateway %d loses power", farGateway)
	}
	time.Sleep(time.Until(struck.Add(coreDown)))
	if coreKilled {
		if err := os.WriteFile(filepath.Join(w.dir, "start-core"), nil, 0o600); err != nil {
			return 0, err
		}
		w.say("the processes of the core start again")
	}
	if os.Getenv("BACK") == "1" { // a runner of the old version serves again
		time.Sleep(time.Until(struck.Add(coreDown + time.Second)))
		if _, err := start("i-back", "127.0.0.1", "v1", ctx, ready); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Until(struck.Add(coreDown - 100*time.Millisecond + powerless)))
	if w.trouble {
		if err := syscall.Kill(far, syscall.SIGKILL); err != nil {
			return 0, err
		}
		if err := os.WriteFile(filepath.Join(w.dir, "start-far"), nil, 0o600); err != nil {
			return 0, err
		}
		w.say("gateway %d has power again", farGateway)
	}
	time.Sleep(time.Until(struck.Add(coreDown + inTouch + time.Second)))
	for i := range 20 { // new streams, beside the others
		group.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			s := &stream{begun: time.Now()}
			status, _ := w.read(i%instances+1, s, fmt.Sprintf("new-%d", i))
			mu.Lock()
			defer mu.Unlock()
			tried++
			if s.attempt != "" {
				begun++
			}
			w.say("new stream %d: status %d, %d events", i, status, s.last)
		})
	}
	group.Wait()
	w.say("taken up at machines in touch: %d, of which %d went on; new streams: %d, of which %d began", takenUp, wentOn, tried, begun)
	w.say("streams that hold events of two software versions: %d", joined)
	if joined > 2 { // ORDER
		return exitBroken, nil
	}
	w.say("streams that came whole at the first try: %d", whole)
	if !w.trouble && whole == strandCount && begun == tried {
		return exitHeld, nil // nobody had to take one up
	}
	if takenUp < 12 || tried < 12 {
		return exitFailed, nil
	}
	if float64(wentOn)/float64(takenUp) < float64(begun)/float64(tried)/2 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
