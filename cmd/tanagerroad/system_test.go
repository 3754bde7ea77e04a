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

// system is a cluster of separate processes of the program. The process NAME has the
// settings file NAME.json in dir.
type system struct {
	t           testing.TB
	dir         string
	mu          sync.Mutex               // guards running
	running     map[string]*exec.Cmd     // by process name
	logs        map[string]*bytes.Buffer // standard output and error, by process name
	http        *http.Client
	controls    []string                // operator addresses of the control instances
	peers       []string                // peer addresses of the control instances
	entries     []string                // caller addresses of the entries
	entryOps    []string                // operator addresses of the entries
	standIns    []string                // addresses of the stand-ins
	relays      map[string]*relay.Relay // in front of peer addresses, by process name; nil: none are used
	nextControl int                     // index of the control instance that put asks first
}

const (
	testRoutes = `{"routes": [
		{"name": "book", "deadline": "4s", "repeatable": false, "stages": [{"name": "book", "pool": "bookings"}]},
		{"name": "look-up", "deadline": "4s", "stages": [{"name": "look-up", "pool": "services"}]},
		{"name": "ask", "deadline": "8s", "stages": [{"name": "generate", "pool": "models", "stream": true}]}]}`
	// testPools is a format string for the cost of bookings, in which revisions differ.
	testPools = `{"pools": [{"name": "bookings", "kind": "service", "cost": %d},
		{"name": "services", "kind": "service"}, {"name": "models", "kind": "model-engine"}]}`
)

var zones = []string{"a", "b", "c"}

// commonSettings returns the settings that all roles share. The zones are assigned in turn.
func commonSettings(name string, i int) settings.Common {
	return settings.Common{Process: name, Zone: zones[i%3], Region: "west"}
}

// newSystem returns a system that has addresses for three control instances, but neither
// settings files nor running processes yet.
func newSystem(t testing.TB) *system {
	t.Helper()
	y := &system{
		t: t, dir: t.TempDir(), running: map[string]*exec.Cmd{}, logs: map[string]*bytes.Buffer{},
		http: &http.Client{Timeout: 5 * time.Second},
	}
	t.Cleanup(y.killAll)
	free, err := demo.FreeAddresses(6)
	if err != nil {
		t.Fatal(err)
	}
	y.peers, y.controls = free[:3], free[3:]
	return y
}

// controlSettings returns the settings of control instance i.
func (y *system) controlSettings(i int) settings.Control {
	s := settings.DefaultControl()
	s.Role, s.Common = "control", commonSettings(fmt.Sprintf("control-%d", i), i)
	s.Peer.Address, s.Operator.Address, s.Instances = y.peers[i], y.controls[i], y.peers
	s.DataDir, s.Stop.Grace = filepath.Join(y.dir, s.Process), 0
	return s
}

// startSystem starts three control instances, two entries, and two sidecars for each of
// the pools bookings, services and models. Their stand-ins run in one process, with
// settings that adapt may change.
func startSystem(t testing.TB, adapt ...func(*settings.StandInServer)) *system {
	t.Helper()
	return newSystem(t).startAll(adapt...)
}

// addRelay puts a relay in front of the peer address of a process and returns the relay's
// address. It returns "" if the system uses no relays.
func (y *system) addRelay(name, target string) string {
	y.t.Helper()
	if y.relays == nil {
		return ""
	}
	r, closeRelay, err := relay.New("127.0.0.1:0", target)
	if err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(closeRelay)
	y.relays[name] = r
	return r.Address
}

// startAll writes the settings of all processes, starts them, puts the first tables and
// waits until both entries are ready.
func (y *system) startAll(adapt ...func(*settings.StandInServer)) *system {
	t := y.t
	t.Helper()
	free, err := demo.FreeAddresses(22)
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
		if address := y.addRelay(s.Process, s.Peer.Address); address != "" {
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
	standIn := settings.DefaultStandIn()
	standIn.Role, standIn.Common = "stand-in", commonSettings("stand-in", 0)
	standIn.Stop.Grace = 0
	for i, pool := range []string{"bookings", "bookings", "services", "services", "models", "models"} {
		s := settings.DefaultSidecar()
		s.Role, s.Common = "sidecar", commonSettings(fmt.Sprintf("sidecar-%d", i), i)
		s.Peer.Address, s.Backend.Address, s.Control = next(), next(), y.peers
		s.Stop.Grace = settingsDuration(200 * time.Millisecond)
		s.Peer.Advertise = y.addRelay(s.Process, s.Peer.Address)
		y.write(s.Process, s)
		server := settings.StandInServer{Announce: s.Backend.Address, Address: next(), Pool: pool, Kind: "service", Capacity: 8, Time: settingsDuration(3 * time.Millisecond)}
		if pool == "models" {
			server.Kind, server.Tokens, server.Time = "model-engine", 40, settingsDuration(400*time.Millisecond)
		}
		for _, change := range adapt {
			change(&server)
		}
		y.standIns = append(y.standIns, server.Address)
		standIn.Servers = append(standIn.Servers, server)
	}
	y.write("stand-in", standIn)
	for i := range 2 {
		s := settings.DefaultEntry()
		s.Role, s.Common = "entry", commonSettings(fmt.Sprintf("entry-%d", i), i)
		s.Caller.Address, s.Operator.Address, s.Control = next(), next(), y.peers
		s.Stop.Grace = settingsDuration(500 * time.Millisecond)
		y.write(s.Process, s)
		y.entries, y.entryOps = append(y.entries, s.Caller.Address), append(y.entryOps, s.Operator.Address)
	}
	for _, name := range y.processNames() {
		y.start(name)
	}
	y.put("first", 0, 0)
	y.await("both entries to be ready with every server", func() bool {
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

// processNames returns the names of all processes of startAll.
func (y *system) processNames() []string {
	names := []string{"stand-in", "entry-0", "entry-1"}
	for i := range 3 {
		names = append(names, fmt.Sprintf("control-%d", i))
	}
	for i := range 6 {
		names = append(names, fmt.Sprintf("sidecar-%d", i))
	}
	return names
}

// write writes the settings file of a process.
func (y *system) write(name string, s any) {
	data, err := json.Marshal(s)
	if err != nil {
		y.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(y.dir, name+".json"), data, 0o600); err != nil {
		y.t.Fatal(err)
	}
}

// start starts a process of the program with the settings file of that name.
func (y *system) start(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	role, _, _ := bytes.Cut([]byte(name), []byte("-"))
	if name == "stand-in" {
		role = []byte(name)
	}
	cmd := exec.Command(os.Args[0], string(role), filepath.Join(y.dir, name+".json"))
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

// kill kills a process and waits until it has exited.
func (y *system) kill(name string) {
	y.signal(name, syscall.SIGKILL)
	_ = y.cmd(name).Wait() // the error says only that it was killed
}

// cmd returns the command of the last start of this process.
func (y *system) cmd(name string) *exec.Cmd {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.running[name]
}

// stop shuts a process down with SIGTERM and fails the test unless it exits with code 0.
func (y *system) stop(name string) {
	y.signal(name, syscall.SIGTERM)
	if err := y.cmd(name).Wait(); err != nil {
		y.t.Errorf("%s did not shut down cleanly: %v\n%s", name, err, y.logs[name])
	}
}

// logLeaderAndDiskEvents adds the control instances' log lines about their replica role and
// their disks to the test's log.
func (y *system) logLeaderAndDiskEvents() {
	for name, log := range y.logs {
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, `"msg":"replica-role"`) || strings.Contains(line, `"msg":"disk-`) {
				y.t.Logf("%s: %s", name, line)
			}
		}
	}
}

// killAll kills all processes. After a failed test it keeps their logs in the temporary
// directory.
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
		y.logLeaderAndDiskEvents()
	}
}

// await polls until ok returns true and returns how long that took. It fails the test
// after awaitTimeout.
func (y *system) await(what string, ok func() bool) time.Duration {
	y.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > awaitTimeout {
			y.t.Fatalf("timed out after %s waiting for %s", awaitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// put changes the tables, based on revision from, and returns the new revision. It sends
// the change to one control instance after the other until one gives a final answer; the
// change ID makes that idempotent.
func (y *system) put(id string, from uint64, cost int) uint64 {
	y.t.Helper()
	change := operator.TableChange{
		ChangeID: id, FromRevision: from, Operator: "test", Routes: json.RawMessage(testRoutes),
		Pools: json.RawMessage(fmt.Sprintf(testPools, cost)),
	}
	var reply operator.TableChangeReply
	y.await("change "+id+" to be accepted", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		var err error
		reply, err = operator.PutTables(ctx, y.http, y.controls[y.nextControl], "", change)
		if err == nil && reply.Outcome != "no-quorum" && reply.Outcome != "unknown" {
			return true
		}
		y.nextControl = (y.nextControl + 1) % len(y.controls) // this one is down, frozen or without a quorum
		return false
	})
	if reply.Outcome != "accepted" || reply.Revision != from+1 {
		y.t.Fatalf("change %s from revision %d: %+v", id, from, reply)
	}
	return reply.Revision
}

// awaitInForce waits until a revision is in force in at least this number of processes and
// no process lags behind. It returns how long that took.
func (y *system) awaitInForce(revision uint64, processes int) time.Duration {
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

// leader waits for a leader and returns the name of its process.
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

// runCounts returns how often each stage of each request ran, over all stand-ins. A key is
// a request ID and a stage index, joined by a slash.
func (y *system) runCounts() map[string]int {
	total := map[string]int{}
	for _, address := range y.standIns {
		var runs map[string]int
		if _, err := operator.Call(context.Background(), y.http, http.MethodGet, address, "/runs", "", nil, &runs); err != nil {
			y.t.Fatalf("get run counts: %v", err)
		}
		for k, n := range runs {
			total[k] += n
		}
	}
	return total
}
