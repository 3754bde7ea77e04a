// Command standin-3 holds the stand-ins of the third review's scripts: backend servers,
// callers and the operator. The names of the platform's fields come from a text file.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// exit codes of a script.
const (
	held   = 0
	broken = 1
	unable = 2
)

// bench holds what all scenarios use.
type bench struct {
	names                 map[string]string
	control, front, ready []string
	trouble               bool
	zones                 []string
	client                *http.Client
	started               time.Time
	counter               atomic.Int64 // requests

	mu     sync.Mutex
	record *bufio.Writer
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

func readNames(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	names := map[string]string{}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		names[key] = value
	}
	return names, nil
}

// post sends an order or an announcement to the control instances, starting with one of them, and
// reports whether one of them took it.
func (b *bench) post(first int, path, body string) bool {
	for i := range b.control {
		res, err := b.client.Post("http://"+b.control[(first+i)%len(b.control)]+path, "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// waitFor polls until ok or a time has passed.
func waitFor(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// isReady reports whether all gateways are ready.
func (b *bench) isReady() bool {
	for _, address := range b.ready {
		res, err := b.client.Get("http://" + address + b.names["readyz"])
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// printPorts prints free ports, one a line.
func printPorts(n int) {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			os.Exit(unable)
		}
		defer func() { _ = listener.Close() }()
		fmt.Println(listener.Addr().(*net.TCPAddr).Port)
	}
}

func main() {
	names := flag.String("names", "", "file with the platform's names")
	control := flag.String("control", "", "addresses of the control instances")
	front := flag.String("front", "", "addresses of the gateways")
	ready := flag.String("ready", "", "addresses of their readiness checks")
	zones := flag.String("zones", "za,zb,zc", "availability zones")
	record := flag.String("record", "record.txt", "file to write to")
	trouble := flag.Bool("trouble", true, "with the disruption")
	dir := flag.String("dir", "", "folder for files between the script and the scenario")
	pid := flag.Int("pid", 0, "process of the second control instance")
	ports := flag.Int("ports", 0, "print so many free ports")
	scenario := flag.String("scenario", "", "what to play")
	flag.Parse()
	if *ports > 0 {
		printPorts(*ports)
		return
	}
	table, err := readNames(*names)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	b := &bench{
		names: table, control: strings.Split(*control, ","), front: strings.Split(*front, ","), ready: strings.Split(*ready, ","),
		zones: strings.Split(*zones, ","), trouble: *trouble, started: time.Now(), record: bufio.NewWriter(file),
		client: &http.Client{Timeout: time.Second},
	}
	code := unable
	switch *scenario {
	case "recover":
		code = b.playRecover(*dir)
	case "later":
		code = b.playLater(*dir)
	case "foreign":
		code = b.playForeign()
	case "depart":
		code = b.playDepart(*dir, *pid)
	default:
		fmt.Fprintln(os.Stderr, "no such scenario")
	}
	b.note("exit %d", code)
	_ = b.record.Flush()
	_ = file.Close()
	os.Exit(code)
}
