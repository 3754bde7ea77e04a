package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tanagerroad/core/settings"
	"tanagerroad/io/demo"
	"tanagerroad/io/operator"
	"tanagerroad/io/relay"
)

// system is a set of real processes, each with its settings file.
type system struct {
	t        testing.TB
	folder   string
	mu       sync.Mutex
	running  map[string]*exec.Cmd
	logs     map[string]*bytes.Buffer
	http     *http.Client
	controls []string // operator's addresses
	peers    []string // of the control instances
	entries  []string // callers' addresses
	entryOps []string
	standIns []string
	relays   map[string]*relay.Relay // by process, where connections to it can be harmed
	asked    int                     // control instance that answered last
}

const (
	bookTables = `{"routes": [
		{"name": "book", "deadline": "4s", "repeatable": false, "stages": [{"name": "book", "pool": "bookings"}]},
		{"name": "look-up", "deadline": "4s", "stages": [{"name": "look-up", "pool": "services"}]},
		{"name": "ask", "deadline": "8s", "stages": [{"name": "generate", "pool": "models", "stream": true}]}]}`
	bookPools = `{"pools": [{"name": "bookings", "kind": "service", "cost": %d},
		{"name": "services", "kind": "service"}, {"name": "models", "kind": "model-engine"}]}`
)

var zones = []string{"a", "b", "c"}

func common(name string, i int) settings.Common {
	return settings.Common{Process: name, Zone: zones[i%3], Region: "west"}
}

// newSystem is a system of which only the addresses of three control instances
// are settled.
func newSystem(t testing.TB) *system {
	t.Helper()
	y := &system{
		t: t, folder: t.TempDir(), running: map[string]*exec.Cmd{}, logs: map[string]*bytes.Buffer{},
		http: &http.Client{Timeout: 5 * time.Second},
	}
	t.Cleanup(y.killAll)
	free, err := demo.Free(6)
	if err != nil {
		t.Fatal(err)
	}
	y.peers, y.controls = free[:3], free[3:]
	return y
}

func (y *system) controlSettings(i int) settings.Control {
	s := settings.DefaultControl()
	s.Role, s.Common = "control", common(fmt.Sprintf("control-%d", i), i)
	s.Peer.Address, s.Operator.Address, s.Instances = y.peers[i], y.controls[i], y.peers
	s.DataDir, s.Stop.Grace = filepath.Join(y.folder, s.Process), 0
	return s
}

// startSystem starts three control instances, two entries, and two sidecars
// each for bookings, services and models, with their stand-ins in one process,
// which adapt may change.
func startSystem(t testing.TB, adapt ...func(*settings.StandInServer)) *system {
	t.Helper()
	return newSystem(t).startAll(adapt...)
}

// relayTo puts a relay before a process's peer address and returns the relay's.
func (y *system) relayTo(name, target string) string {
	y.t.Helper()
	if y.relays == nil {
		return ""
	}
	r, end, err := relay.New("127.0.0.1:0", target)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(end)
	y.relays[name] = r
	return r.Address
}

func (y *system) startAll(adapt ...func(*settings.StandInServer)) *system {
	t := y.t
	t.Helper()
	free, err := demo.Free(22)
	if err != nil {
		t.Fatal(err)
	}
	next := func() string {
		a := free[0]
		free = free[1:]
		return a
	}
	var all []settings.Control
	for i := range 3 {
		s := y.controlSettings(i)
		if address := y.relayTo(s.Process, s.Peer.Address); address != "" {
			s.Peer.Advertise = address
		}
		all = append(all, s)
	}
	for i := range all {
		y.peers[i] = all[i].Peer.AdvertisedAddress()
	}
	for _, s := range all {
		s.Instances = y.peers
		y.write(s.Process, s)
	}
	hosts := settings.DefaultStandIn()
	hosts.Role, hosts.Common = "stand-in", common("stand-in", 0)
	hosts.Stop.Grace = 0
	for i, pool := range []string{"bookings", "bookings", "services", "services", "models", "models"} {
		s := settings.DefaultSidecar()
		s.Role, s.Common = "sidecar", common(fmt.Sprintf("sidecar-%d", i), i)
		s.Peer.Address, s.Backend.Address, s.Control = next(), next(), y.peers
		s.Stop.Grace = settingsDuration(200 * time.Millisecond)
		s.Peer.Advertise = y.relayTo(s.Process, s.Peer.Address)
		y.write(s.Process, s)
		server := settings.StandInServer{Announce: s.Backend.Address, Address: next(), Pool: pool, Kind: "service", Capacity: 8, Time: settingsDuration(3 * time.Millisecond)}
		if pool == "models" {
			server.Kind, server.Tokens, server.Time = "model-engine", 40, settingsDuration(400*time.Millisecond)
		}
		for _, change := range adapt {
			change(&server)
		}
		y.standIns = append(y.standIns, server.Address)
		hosts.Servers = append(hosts.Servers, server)
	}
	y.write("stand-in", hosts)
	for i := range 2 {
		s := settings.DefaultEntry()
		s.Role, s.Common = "entry", common(fmt.Sprintf("entry-%d", i), i)
		s.Caller.Address, s.Operator.Address, s.Control = next(), next(), y.peers
		s.Stop.Grace = settingsDuration(500 * time.Millisecond)
		y.write(s.Process, s)
		y.entries, y.entryOps = append(y.entries, s.Caller.Address), append(y.entryOps, s.Operator.Address)
	}
	for _, name := range y.names() {
		y.start(name)
	}
	y.put("first", 0, 0)
	y.await("every server known", func() bool {
		for _, op := range y.entryOps {
			var status struct {
				Servers int
				Ready   bool
			}
			if _, err := operator.Call(context.Background(), y.http, http.MethodGet, op, "/status", "", nil, &status); err != nil || status.Servers < 6 || !status.Ready {
				return false
			}
		}
		return true
	})
	return y
}

func (y *system) names() []string {
	names := []string{"stand-in", "entry-0", "entry-1"}
	for i := range 3 {
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	for i := range 6 {
		names = append(names, fmt.Sprintf("sidecar-%d", i))
	}
	return names
}

func (y *system) write(name string, s any) {
	data, err := json.Marshal(s)
	if err != nil {
		y.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(y.folder, name+".json"), data, 0o600); err != nil {
		y.t.Fatal(err)
	}
}

// start runs the real program with the settings of that name.
func (y *system) start(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	role, _, _ := bytes.Cut([]byte(name), []byte("-"))
	if name == "stand-in" {
		role = []byte(name)
	}
	cmd := exec.Command(os.Args[0], string(role), filepath.Join(y.folder, name+".json"))
	cmd.Env = append(os.Environ(), asProgram+"=1")
	if y.logs[name] == nil {
		y.logs[name] = &bytes.Buffer{}
	}
	cmd.Stdout, cmd.Stderr = y.logs[name], y.logs[name]
	if err := cmd.Start(); err != nil {
		y.t.Fatal(err)
	}
	y.running[name] = cmd
}

func (y *system) signal(name string, sig syscall.Signal) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if err := y.running[name].Process.Signal(sig); err != nil {
		y.t.Errorf("signal %s: %v", name, err)
	}
}

// kill ends a process as a crash would.
func (y *system) kill(name string) {
	y.signal(name, syscall.SIGKILL)
	_ = y.cmd(name).Wait() // it was killed
}

func (y *system) cmd(name string) *exec.Cmd {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.running[name]
}

// stop ends a process as planned and wants exit code 0.
func (y *system) stop(name string) {
	y.signal(name, syscall.SIGTERM)
	if err := y.cmd(name).Wait(); err != nil {
		y.t.Errorf("%s did not stop as planned: %v\n%s", name, err, y.logs[name])
	}
}

// tellWhy prints what the control instances logged about leading and their disks.
func (y *system) tellWhy() {
	for name, log := range y.logs {
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, `"msg":"replica-role"`) || strings.Contains(line, `"msg":"disk-`) {
				y.t.Logf("%s: %s", name, line)
			}
		}
	}
}

func (y *system) killAll() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for name, cmd := range y.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if y.t.Failed() {
			path := filepath.Join(os.TempDir(), "tanagerroad-"+name+".log")
			_ = os.WriteFile(path, y.logs[name].Bytes(), 0o600)
		}
	}
	if y.t.Failed() {
		y.tellWhy()
	}
}

func (y *system) await(what string, ok func() bool) time.Duration {
	y.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > patience {
			y.t.Fatalf("waited %s for %s", patience, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// put makes one change, sent again to any control instance until one answers.
func (y *system) put(id string, from uint64, cost int) uint64 {
	y.t.Helper()
	change := operator.TableChange{
		ChangeID: id, FromRevision: from, Operator: "test", Routes: json.RawMessage(bookTables),
		Pools: json.RawMessage(fmt.Sprintf(bookPools, cost)),
	}
	var reply operator.TableChangeReply
	y.await("change "+id+" to be accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		reply, err = operator.PutTables(ctx, y.http, y.controls[y.asked], "", change)
		if err == nil && reply.Outcome != "no-quorum" && reply.Outcome != "unknown" {
			return true
		}
		y.asked = (y.asked + 1) % len(y.controls) // that one is down, frozen or without a quorum
		return false
	})
	if reply.Outcome != "accepted" || reply.Revision != from+1 {
		y.t.Fatalf("change %s from revision %d: %+v", id, from, reply)
	}
	return reply.Revision
}

// inForce waits until a revision is in force in so many processes.
func (y *system) inForce(revision uint64, processes int) time.Duration {
	y.t.Helper()
	var status operator.TableStatus
	took := y.await(fmt.Sprintf("revision %d in %d processes", revision, processes), func() bool {
		for _, address := range y.controls {
			status = operator.TableStatus{}
			if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/tables/status", "", nil, &status); err == nil {
				return status.Revision == revision && status.InForce >= processes && len(status.Lagging) == 0
			}
		}
		return false
	})
	return took
}

// leader is the name of the control instance that leads.
func (y *system) leader() string {
	y.t.Helper()
	name := ""
	y.await("a leader", func() bool {
		for i, address := range y.controls {
			var status struct{ Role string }
			if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/status", "", nil, &status); err == nil && status.Role == "leader" {
				name = fmt.Sprintf("control-%d", i)
			}
		}
		return name != ""
	})
	return name
}

// runs adds up how often each request and stage ran at all stand-ins.
func (y *system) runs() map[string]int {
	sum := map[string]int{}
	for _, address := range y.standIns {
		var runs map[string]int
		if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/runs", "", nil, &runs); err != nil {
			y.t.Fatalf("runs: %v", err)
		}
		for k, n := range runs {
			sum[k] += n
		}
	}
	return sum
}
