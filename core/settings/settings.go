// Package settings defines the settings of every role, with their defaults,
// validation and documentation. Each process has one JSON settings file; the
// package parses its content but reads no files.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"tanagerroad"
	"tanagerroad/core/balance"
	"tanagerroad/core/directory"
	"tanagerroad/core/document"
	"tanagerroad/core/pick"
	"tanagerroad/core/table"
)

// Roles of a process, as given in its settings file.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
	RoleControl = "control"
	RoleStandIn = "stand-in"
	RoleGateway = "gateway"
)

// Common holds the settings that identify and locate a process of any role.
type Common struct {
	Process string `json:"process" required:"true" doc:"name of the process, unique in the system"`
	Zone    string `json:"zone" required:"true" doc:"availability zone it runs in"`
	Region  string `json:"region" required:"true" doc:"region it runs in"`
}

// Place returns the availability zone and region that the process runs in.
func (c Common) Place() tanagerroad.Place {
	return tanagerroad.Place{Zone: c.Zone, Region: c.Region}
}

// Operator configures the HTTP listener for metrics, health checks and status.
type Operator struct {
	Address string `json:"address" doc:"host:port of the listener for metrics, health checks and status; empty: no listener"`
	Token   string `json:"token" doc:"bearer token that operators must present; empty: no token is required"`
}

// Diagnostics configures logging and decision traces.
type Diagnostics struct {
	Level string `json:"level" doc:"lowest level logged: debug, info, warn or error"`
	Trace string `json:"trace" doc:"file that decisions are recorded in for replay; empty: no trace"`
}

// Shutdown configures graceful shutdown.
type Shutdown struct {
	Timeout tanagerroad.Duration `json:"bound" doc:"maximum time to wait for work in flight during shutdown"`
	Grace   tanagerroad.Duration `json:"grace" doc:"time that the process still serves after announcing that it is leaving"`
}

// HTTPListener configures an HTTP listener and its limits.
type HTTPListener struct {
	Address       string               `json:"address" required:"true" doc:"host:port to listen on"`
	MaxBody       tanagerroad.Size     `json:"max-body" doc:"maximum size of a request body"`
	MaxHeader     tanagerroad.Size     `json:"max-header" doc:"maximum size of a request header"`
	HeaderTimeout tanagerroad.Duration `json:"header-timeout" doc:"maximum time to read a request's header"`
	MaxInFlight   int                  `json:"max-in-flight" doc:"maximum number of requests served at the same time"`
}

// PeerListener configures the listener for connections from other processes and
// its limits.
type PeerListener struct {
	Address    string           `json:"address" required:"true" doc:"host:port to listen on"`
	Advertise  string           `json:"advertise" doc:"host:port that other processes connect to; empty: same as address"`
	MaxStreams int              `json:"max-streams" doc:"maximum number of concurrent streams for each connection"`
	MaxMessage tanagerroad.Size `json:"max-message" doc:"maximum size of a received message"`
}

// AdvertisedAddress returns the address that other processes connect to.
func (p PeerListener) AdvertisedAddress() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Address
}

// Routing configures how an entry picks servers, retries and hedges.
type Routing struct {
	Policy         string               `json:"policy" doc:"how a server is picked: scored, least-in-flight, round-robin or random"`
	RetryRatio     float64              `json:"retry-ratio" doc:"retries and hedges earned by each first attempt"`
	RetryBurst     float64              `json:"retry-burst" doc:"maximum number of retries and hedges that can be accumulated"`
	SilenceTimeout tanagerroad.Duration `json:"silence" doc:"time without messages on a stream after which its connection is considered dead"`
	ReferenceAbove tanagerroad.Size     `json:"keep-above" doc:"stage results larger than this stay at the sidecar that produced them and are passed by reference"`
}

// Entry holds the settings of an entry, a process that takes callers' requests.
type Entry struct {
	Role string `json:"role" required:"true" doc:"entry"`
	Common
	Operator Operator     `json:"operator"`
	Record   Diagnostics  `json:"record"`
	Stop     Shutdown     `json:"stop"`
	Caller   HTTPListener `json:"caller" required:"true"`
	Control  []string     `json:"control" required:"true" doc:"peer addresses of the control instances, nearest first"`
	Routing  Routing      `json:"routing"`
}

// Queue limits a sidecar's queue and the results it retains.
type Queue struct {
	MaxQueued        int                  `json:"length" doc:"maximum number of queued attempts"`
	Retention        tanagerroad.Duration `json:"keep" doc:"retention time of a repeatable attempt's result"`
	OnceRetention    tanagerroad.Duration `json:"keep-once" doc:"retention time of a non-repeatable attempt's state and result; at least the retention of claims at the control instances"`
	MaxRetainedBytes tanagerroad.Size     `json:"kept-bytes" doc:"maximum total size of retained results"`
	MaxRetainedOnce  int                  `json:"kept-once" doc:"maximum number of non-repeatable attempts retained"`
	AdaptiveLimit    bool                 `json:"knee" doc:"adapt the concurrency limit to measured latency, up to the announced capacity"`
}

// Backend configures how a sidecar communicates with its backend server.
type Backend struct {
	Address             string               `json:"address" required:"true" doc:"loopback host:port on which the backend server announces itself"`
	AnnouncementTimeout tanagerroad.Duration `json:"lease" doc:"time without an announcement after which the backend server is considered down"`
	SilenceTimeout      tanagerroad.Duration `json:"silence" doc:"time without output from a running attempt after which its connection is considered lost"`
	MaxBody             tanagerroad.Size     `json:"max-body" doc:"maximum size of a result"`
	MaxResumes          int                  `json:"resume" doc:"maximum number of times an interrupted stream is resumed"`
}

// Sidecar holds the settings of a sidecar, a process beside one backend server.
type Sidecar struct {
	Role string `json:"role" required:"true" doc:"sidecar"`
	Common
	Operator      Operator             `json:"operator"`
	Record        Diagnostics          `json:"record"`
	Stop          Shutdown             `json:"stop"`
	Peer          PeerListener         `json:"peer" required:"true"`
	Control       []string             `json:"control" required:"true" doc:"peer addresses of the control instances"`
	Backend       Backend              `json:"backend" required:"true"`
	Queue         Queue                `json:"queue"`
	RenewInterval tanagerroad.Duration `json:"renew" doc:"interval between renewals of the lease in the directory"`
}

// Control holds the settings of a control instance, a process that replicates the
// tables and the directory.
type Control struct {
	Role string `json:"role" required:"true" doc:"control"`
	Common
	Operator          Operator             `json:"operator"`
	Record            Diagnostics          `json:"record"`
	Stop              Shutdown             `json:"stop"`
	Peer              PeerListener         `json:"peer" required:"true"`
	Instances         []string             `json:"instances" required:"true" doc:"peer addresses of all control instances, including this one; 1, 3, 5 or 7 of them"`
	DataDir           string               `json:"data" required:"true" doc:"data directory"`
	ElectionTimeout   tanagerroad.Duration `json:"election" doc:"time without a heartbeat from the leader after which an election starts; at least three times beat"`
	HeartbeatInterval tanagerroad.Duration `json:"beat" doc:"interval between the leader's heartbeats"`
	CompactAtSize     tanagerroad.Size     `json:"compact" doc:"journal size at which the journal is replaced by a snapshot"`
	Retention         tanagerroad.Duration `json:"retention" doc:"retention time of a settled claim and its answer"`
	GroupCommit       bool                 `json:"group" doc:"write and sync all waiting changes in one batch"`
	Registrar         HTTPListener         `json:"registrar" doc:"listener on which backend servers announce themselves and operators change the gateways' configuration; no address: no listener"`
	ControlPort       int                  `json:"control-port" doc:"port of the peer listeners of all control instances, in place of those listed in instances; 0: use the listed ports"`
	Bootstrap         bool                 `json:"bootstrap" doc:"allow an instance with an empty disk to form a new cluster; with open membership a majority of the listed ones is enough, so that it must be false once a cluster was formed"`
	Zones             []ZoneRegion         `json:"zones" doc:"availability zones that operators may evacuate, beside those of backend servers and processes that are known"`
	MemoryLimit       tanagerroad.Size     `json:"memory" doc:"memory limit of the process"`
	OpenMembership    bool                 `json:"open" doc:"open membership: instances may list only some of the control instances and need not include this one; others are admitted when they ask to join"`
	Tolerate          int                  `json:"tolerate" doc:"control instances that may be lost at once, with open membership: silent ones are removed as long as the others tolerate so many losses; 0: as long as they tolerate as many as before"`
}

// ZoneRegion assigns an availability zone to a region.
type ZoneRegion struct {
	Zone   string `json:"zone" required:"true" doc:"availability zone"`
	Region string `json:"region" required:"true" doc:"region that the zone belongs to"`
}

// Placing configures how a gateway chooses backend servers, and limits its retries.
type Placing struct {
	Balance    string  `json:"balance" doc:"how a backend server is chosen: lowest-cost, or even, which evens the load of backend servers when there are many gateways"`
	RetryRatio float64 `json:"retry-ratio" doc:"extra attempts allowed for each request, on average over all gateways"`
	RetrySlack float64 `json:"retry-slack" doc:"extra attempts allowed in addition, divided between all gateways"`
	FairShares bool    `json:"fair-shares" doc:"divide the capacity for stages fairly among workspaces in overload, and let the priority of a workspace precede its route's at admission"`
}

// Capacity is what the instance of a gateway has for it. A gateway with too little
// batches no pieces for others.
type Capacity struct {
	Processor float64 `json:"processor" doc:"processors that the gateway may use, such as 0.5; 0: unknown, taken as enough"`
	LinkMbps  float64 `json:"link-mbps" doc:"bandwidth of the instance's link, in Mbit/s; 0: unknown, taken as enough"`
}

// Gateway holds the settings of a gateway, a process that takes callers' requests
// and discovers the control instances and other gateways at run time.
type Gateway struct {
	Role string `json:"role" required:"true" doc:"gateway"`
	Common
	Operator       Operator             `json:"operator"`
	Record         Diagnostics          `json:"record"`
	Stop           Shutdown             `json:"stop"`
	Caller         HTTPListener         `json:"caller" required:"true"`
	ReadyAddress   string               `json:"ready" required:"true" doc:"host:port of the listener for the load balancer's readiness checks"`
	Peer           PeerListener         `json:"peer" required:"true"`
	Control        []string             `json:"control" required:"true" doc:"addresses of some control instances, from which all others are discovered"`
	ControlPort    int                  `json:"control-port" doc:"port of the peer listeners of all control instances, in place of those listed in control; 0: use the listed ports"`
	Zones          []ZoneRegion         `json:"zones" doc:"all availability zones"`
	Placing        Placing              `json:"placing"`
	Capacity       Capacity             `json:"capacity"`
	MemoryLimit    tanagerroad.Size     `json:"memory" doc:"memory limit of the process"`
	SourceTimeout  tanagerroad.Duration `json:"silence" doc:"time without messages from a control instance after which its information is ignored"`
	EvacuationHold tanagerroad.Duration `json:"evacuation-hold" doc:"time for which a gateway that starts uses no backend server while no control instance has told it the evacuations of zones; 0: it uses them at once"`
}

// StandInServer configures one simulated backend server.
type StandInServer struct {
	Announce string               `json:"announce" required:"true" doc:"host:port of the sidecar's backend listener"`
	Address  string               `json:"address" required:"true" doc:"host:port to listen on"`
	Pool     string               `json:"pool" required:"true" doc:"pool that the server belongs to"`
	Kind     string               `json:"kind" required:"true" doc:"model-engine or service"`
	Models   []string             `json:"models,omitempty" doc:"models that the server provides"`
	Capacity int                  `json:"capacity" doc:"maximum number of concurrent attempts"`
	Time     tanagerroad.Duration `json:"time" doc:"service time of one attempt"`
	Tokens   int                  `json:"tokens" doc:"number of tokens in a model engine's answer"`
	Limit    float64              `json:"limit" doc:"calls per second that the server names as its limit, and does not enforce; 0: none"`
}

// StandIn holds the settings of a process that simulates backend servers for
// tests and demos.
type StandIn struct {
	Role string `json:"role" required:"true" doc:"stand-in"`
	Common
	Operator Operator        `json:"operator"`
	Record   Diagnostics     `json:"record"`
	Stop     Shutdown        `json:"stop"`
	Servers  []StandInServer `json:"servers" required:"true"`
}

const (
	kib = 1 << 10
	mib = 1 << 20

	maxPort = 65535
)

func duration(d time.Duration) tanagerroad.Duration { return tanagerroad.Duration(d) }

func defaultRecord() Diagnostics { return Diagnostics{Level: "info"} }

func defaultStop() Shutdown {
	return Shutdown{Timeout: duration(30 * time.Second), Grace: duration(time.Second)}
}

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		Record: defaultRecord(), Stop: defaultStop(),
		Caller: HTTPListener{MaxBody: 4 * mib, MaxHeader: 16 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 1024},
		Routing: Routing{
			Policy: "scored", RetryRatio: 0.1, RetryBurst: 20,
			SilenceTimeout: duration(1500 * time.Millisecond), ReferenceAbove: 64 * kib,
		},
	}
}

// DefaultSidecar returns the default settings of a sidecar.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Record: defaultRecord(), Stop: defaultStop(),
		Peer:    PeerListener{MaxStreams: 1024, MaxMessage: 8 * mib},
		Backend: Backend{AnnouncementTimeout: duration(3 * time.Second), SilenceTimeout: duration(10 * time.Second), MaxBody: 8 * mib, MaxResumes: 3},
		Queue: Queue{
			MaxQueued: 64, Retention: duration(30 * time.Second), OnceRetention: duration(20 * time.Minute),
			MaxRetainedBytes: 16 * mib, MaxRetainedOnce: 50000, AdaptiveLimit: true,
		},
		RenewInterval: duration(time.Second),
	}
}

// DefaultControl returns the default settings of a control instance.
func DefaultControl() Control {
	return Control{
		Record: defaultRecord(), Stop: defaultStop(),
		Peer:              PeerListener{MaxStreams: 4096, MaxMessage: 8 * mib},
		ElectionTimeout:   duration(time.Second),
		HeartbeatInterval: duration(200 * time.Millisecond),
		CompactAtSize:     8 * mib,
		Retention:         duration(15 * time.Minute),
		GroupCommit:       true,
		Registrar:         HTTPListener{MaxBody: 4 * mib, MaxHeader: 16 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 256},
		Bootstrap:         true,
		Zones:             []ZoneRegion{},
		MemoryLimit:       256 * mib,
	}
}

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		Record: defaultRecord(), Stop: Shutdown{Timeout: duration(7 * time.Second), Grace: duration(3 * time.Second)},
		Caller:        HTTPListener{MaxBody: 4 * mib, MaxHeader: 64 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 1024},
		Peer:          PeerListener{MaxStreams: 1024, MaxMessage: 8 * mib},
		Placing:       Placing{Balance: balance.LowestCost, RetryRatio: 0.15, RetrySlack: 40},
		MemoryLimit:   256 * mib,
		SourceTimeout: duration(10 * time.Second),
	}
}

// DefaultStandIn returns the default settings of a stand-in process.
func DefaultStandIn() StandIn { return StandIn{Record: defaultRecord(), Stop: defaultStop()} }

// RoleOf returns the role given in a settings file, or an empty string if the file
// is not valid JSON or has no role.
func RoleOf(data []byte) string {
	var head struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return ""
	}
	return head.Role
}

// ParseEntry parses and validates an entry's settings. The file name is only used
// in findings, here and in the functions below.
func ParseEntry(file string, data []byte) (Entry, tanagerroad.Findings) {
	s := DefaultEntry()
	c := decode(file, data, &s)
	c.checkRole(s.Role, RoleEntry)
	c.checkCommon(s.Common, s.Operator, s.Record, s.Stop)
	c.checkHTTPListener("caller", s.Caller)
	c.checkListeners([]listener{{"caller.address", s.Caller.Address}, {"operator.address", s.Operator.Address}})
	c.checkAddresses("control", s.Control)
	c.checkPolicy(s.Routing.Policy)
	c.checkPositive("routing.silence", int64(s.Routing.SilenceTimeout))
	c.checkNotNegative("routing.retry-ratio", s.Routing.RetryRatio)
	c.checkNotNegative("routing.retry-burst", s.Routing.RetryBurst)
	return s, c.findings
}

// ParseSidecar parses and validates a sidecar's settings.
func ParseSidecar(file string, data []byte) (Sidecar, tanagerroad.Findings) {
	s := DefaultSidecar()
	c := decode(file, data, &s)
	c.checkRole(s.Role, RoleSidecar)
	c.checkCommon(s.Common, s.Operator, s.Record, s.Stop)
	c.checkPeer(s.Peer)
	c.checkAddress("backend.address", s.Backend.Address)
	c.checkLoopback("backend.address", s.Backend.Address)
	c.checkListeners([]listener{{"peer.address", s.Peer.Address}, {"backend.address", s.Backend.Address}, {"operator.address", s.Operator.Address}})
	c.checkAddresses("control", s.Control)
	c.checkPositive("queue.length", int64(s.Queue.MaxQueued))
	c.checkPositive("queue.keep", int64(s.Queue.Retention))
	c.checkPositive("queue.keep-once", int64(s.Queue.OnceRetention))
	c.checkPositive("queue.kept-bytes", int64(s.Queue.MaxRetainedBytes))
	c.checkPositive("queue.kept-once", int64(s.Queue.MaxRetainedOnce))
	c.checkPositive("renew", int64(s.RenewInterval))
	if lease := directory.DefaultConfig().Lease; s.RenewInterval.Std() > lease/2 {
		c.addFinding("renew", s.RenewInterval.Std().String(), fmt.Sprintf("at most %s, half of the lease", lease/2))
	}
	c.checkPositive("backend.lease", int64(s.Backend.AnnouncementTimeout))
	c.checkPositive("backend.silence", int64(s.Backend.SilenceTimeout))
	c.checkPositive("backend.max-body", int64(s.Backend.MaxBody))
	c.checkNotNegative("backend.resume", float64(s.Backend.MaxResumes))
	return s, c.findings
}

// maxTolerate is the most instances that the largest cluster, of seven, can lose.
const maxTolerate = 3

// ParseControl parses and validates a control instance's settings.
func ParseControl(file string, data []byte) (Control, tanagerroad.Findings) {
	s := DefaultControl()
	c := decode(file, data, &s)
	c.checkRole(s.Role, RoleControl)
	c.checkCommon(s.Common, s.Operator, s.Record, s.Stop)
	c.checkPeer(s.Peer)
	c.checkListeners([]listener{{"peer.address", s.Peer.Address}, {"registrar.address", s.Registrar.Address}, {"operator.address", s.Operator.Address}})
	c.checkAddresses("instances", s.Instances)
	c.checkPort("control-port", s.ControlPort)
	s.Instances = withPort(s.Instances, s.ControlPort)
	if n := len(s.Instances); !s.OpenMembership && (n > 7 || n%2 == 0) {
		c.addFinding("instances", fmt.Sprintf("%d addresses", n), "1, 3, 5 or 7 addresses")
	}
	if s.Tolerate < 0 || s.Tolerate > maxTolerate {
		c.addFinding("tolerate", strconv.Itoa(s.Tolerate), fmt.Sprintf("0 to %d", maxTolerate))
	}
	if !s.OpenMembership && !slices.Contains(s.Instances, s.Peer.AdvertisedAddress()) {
		c.addFinding("instances", "no "+strconv.Quote(s.Peer.AdvertisedAddress()), "a list that includes this instance's peer address")
	}
	if s.Registrar.Address != "" {
		c.checkHTTPListener("registrar", s.Registrar)
	}
	c.checkZones(s.Zones, s.Common)
	if s.DataDir == "" {
		c.addFinding("data", `""`, "a directory")
	}
	c.checkPositive("compact", int64(s.CompactAtSize))
	c.checkPositive("memory", int64(s.MemoryLimit))
	c.checkPositive("retention", int64(s.Retention))
	c.checkPositive("beat", int64(s.HeartbeatInterval))
	if s.ElectionTimeout < 3*s.HeartbeatInterval {
		c.addFinding("election", s.ElectionTimeout.Std().String(), "at least three times the value of beat")
	}
	return s, c.findings
}

// withPort replaces the port of all addresses. A port of 0, or one that is not a port,
// leaves them unchanged.
func withPort(addresses []string, port int) []string {
	if port <= 0 || port > maxPort {
		return addresses
	}
	out := make([]string, len(addresses))
	for i, address := range addresses {
		host, _, _ := net.SplitHostPort(address) // a malformed address is reported by checkAddresses
		out[i] = net.JoinHostPort(host, strconv.Itoa(port))
	}
	return out
}

// ParseGateway parses and validates a gateway's settings.
func ParseGateway(file string, data []byte) (Gateway, tanagerroad.Findings) {
	s := DefaultGateway()
	c := decode(file, data, &s)
	c.checkRole(s.Role, RoleGateway)
	c.checkCommon(s.Common, s.Operator, s.Record, s.Stop)
	c.checkHTTPListener("caller", s.Caller)
	c.checkAddress("ready", s.ReadyAddress)
	c.checkPeer(s.Peer)
	c.checkListeners([]listener{{"ready", s.ReadyAddress}, {"caller.address", s.Caller.Address}, {"peer.address", s.Peer.Address}, {"operator.address", s.Operator.Address}})
	c.checkZones(s.Zones, s.Common)
	c.checkAddresses("control", s.Control)
	c.checkPort("control-port", s.ControlPort)
	s.Control = withPort(s.Control, s.ControlPort)
	c.checkNotNegative("capacity.processor", s.Capacity.Processor)
	c.checkNotNegative("capacity.link-mbps", s.Capacity.LinkMbps)
	c.checkPositive("memory", int64(s.MemoryLimit))
	c.checkPositive("silence", int64(s.SourceTimeout))
	c.checkNotNegative("evacuation-hold", float64(s.EvacuationHold))
	if !slices.Contains(balance.Policies, s.Placing.Balance) {
		c.addFinding("placing.balance", strconv.Quote(s.Placing.Balance), strings.Join(balance.Policies, ", "))
	}
	c.checkNotNegative("placing.retry-ratio", s.Placing.RetryRatio)
	c.checkNotNegative("placing.retry-slack", s.Placing.RetrySlack)
	return s, c.findings
}

// ParseStandIn parses and validates a stand-in's settings.
func ParseStandIn(file string, data []byte) (StandIn, tanagerroad.Findings) {
	s := DefaultStandIn()
	c := decode(file, data, &s)
	c.checkRole(s.Role, RoleStandIn)
	c.checkCommon(s.Common, s.Operator, s.Record, s.Stop)
	if len(s.Servers) == 0 {
		c.addFinding("servers", "none", "at least one server")
	}
	listeners := []listener{{"operator.address", s.Operator.Address}}
	for i, server := range s.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		listeners = append(listeners, listener{path + ".address", server.Address})
		c.checkNotNegative(path+".capacity", float64(server.Capacity))
		c.checkNotNegative(path+".tokens", float64(server.Tokens))
		c.checkNotNegative(path+".limit", server.Limit)
		c.checkAddress(path+".announce", server.Announce)
		c.checkAddress(path+".address", server.Address)
		if server.Kind != table.ModelEngine && server.Kind != table.Service {
			c.addFinding(path+".kind", strconv.Quote(server.Kind), "model-engine or service")
		}
	}
	c.checkListeners(listeners)
	return s, c.findings
}

// Check parses and validates a settings file of any role and returns the findings.
func Check(file string, data []byte) tanagerroad.Findings {
	switch RoleOf(data) {
	case RoleEntry:
		_, f := ParseEntry(file, data)
		return f
	case RoleSidecar:
		_, f := ParseSidecar(file, data)
		return f
	case RoleControl:
		_, f := ParseControl(file, data)
		return f
	case RoleStandIn:
		_, f := ParseStandIn(file, data)
		return f
	case RoleGateway:
		_, f := ParseGateway(file, data)
		return f
	}
	var head struct {
		Role string `json:"role" required:"true"`
	}
	if f := document.Decode(file, data, &head); len(f) > 0 && head.Role == "" {
		return f[:1]
	}
	return tanagerroad.Findings{{File: file, Line: 1, Path: "role", Found: strconv.Quote(head.Role), Want: "entry, sidecar, control, gateway or stand-in"}}
}

// File is a settings file and its content.
type File struct {
	Name string
	Data []byte
}

// CheckTogether returns the findings that only show when the settings files of one
// system are compared, and not those of Check.
func CheckTogether(files []File) tanagerroad.Findings {
	var out tanagerroad.Findings
	add := func(file, path, found, want string) {
		out = append(out, tanagerroad.Finding{File: file, Line: 1, Path: path, Found: found, Want: want})
	}
	var first string // the first file of a control instance
	var retention, longest tanagerroad.Duration
	for _, f := range files {
		if RoleOf(f.Data) != RoleControl {
			continue
		}
		s, _ := ParseControl(f.Name, f.Data)
		if first == "" {
			first, retention = f.Name, s.Retention
		}
		if s.Retention != retention {
			add(f.Name, "retention", s.Retention.Std().String(), fmt.Sprintf("%s as in %s", retention.Std(), first))
		}
		longest = max(longest, s.Retention)
	}
	for _, f := range files {
		if RoleOf(f.Data) != RoleSidecar {
			continue
		}
		if s, _ := ParseSidecar(f.Name, f.Data); s.Queue.OnceRetention < longest {
			add(f.Name, "queue.keep-once", s.Queue.OnceRetention.Std().String(), fmt.Sprintf("at least %s, the retention of claims at the control instances", longest.Std()))
		}
	}
	return out
}

// checker validates one settings file and collects the findings.
type checker struct {
	file     string
	lines    map[string]int
	findings tanagerroad.Findings
}

func decode(file string, data []byte, target any) *checker {
	lines, findings := document.DecodeLines(file, data, target)
	return &checker{file: file, lines: lines, findings: findings}
}

func (c *checker) addFinding(path, found, want string) {
	c.findings = append(c.findings, tanagerroad.Finding{File: c.file, Line: document.LineOf(c.lines, path), Path: path, Found: found, Want: want})
}

func (c *checker) checkRole(found, want string) {
	if found != want {
		c.addFinding("role", strconv.Quote(found), strconv.Quote(want))
	}
}

func (c *checker) checkCommon(common Common, operator Operator, record Diagnostics, stop Shutdown) {
	for path, name := range map[string]string{"process": common.Process, "zone": common.Zone, "region": common.Region} {
		if !table.ValidName(name) {
			c.addFinding(path, strconv.Quote(name), "a name of 1 to 64 lower-case letters, digits and hyphens")
		}
	}
	if operator.Address != "" {
		c.checkAddress("operator.address", operator.Address)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, record.Level) {
		c.addFinding("record.level", strconv.Quote(record.Level), "debug, info, warn or error")
	}
	c.checkPositive("stop.bound", int64(stop.Timeout))
	// The loop over the map adds findings in random order.
	slices.SortFunc(c.findings, func(a, b tanagerroad.Finding) int { return a.Line - b.Line })
}

func (c *checker) checkAddress(path, address string) {
	host, port, err := net.SplitHostPort(address)
	number, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || number < 0 || number > maxPort {
		c.addFinding(path, strconv.Quote(address), "an IP number and a port, such as 127.0.0.1:7000")
	}
}

func (c *checker) checkPeer(p PeerListener) {
	c.checkAddress("peer.address", p.Address)
	if p.Advertise != "" {
		c.checkAddress("peer.advertise", p.Advertise)
	}
	c.checkPositive("peer.max-streams", int64(p.MaxStreams))
	c.checkPositive("peer.max-message", int64(p.MaxMessage))
}

func (c *checker) checkAddresses(path string, list []string) {
	if len(list) == 0 {
		c.addFinding(path, "none", "at least one address")
	}
	for i, a := range list {
		c.checkAddress(fmt.Sprintf("%s[%d]", path, i), a)
	}
}

func (c *checker) checkLoopback(path, address string) {
	host, _, _ := net.SplitHostPort(address)
	if ip := net.ParseIP(host); ip != nil && !ip.IsLoopback() {
		c.addFinding(path, strconv.Quote(address), "a loopback address, because only the local backend server may announce itself")
	}
}

// listener is a listener's path in the file and its address; no address: no listener.
type listener struct {
	path, address string
}

// checkListeners checks that no listener has the address of an earlier one.
func (c *checker) checkListeners(listeners []listener) {
	for i, l := range listeners {
		if slices.ContainsFunc(listeners[:i], func(earlier listener) bool { return sameAddress(l.address, earlier.address) }) {
			c.addFinding(l.path, strconv.Quote(l.address), "an address that no other listener uses")
		}
	}
}

// sameAddress reports whether only one of two listeners can have its address. Port 0
// stands for any free port.
func sameAddress(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	ipA, ipB := net.ParseIP(hostA), net.ParseIP(hostB)
	if errA != nil || errB != nil || ipA == nil || ipB == nil || portA != portB || portA == "0" {
		return false
	}
	return ipA.Equal(ipB) || ipA.IsUnspecified() || ipB.IsUnspecified()
}

// checkZones checks that a zone is listed once, and the process's own with its region.
func (c *checker) checkZones(zones []ZoneRegion, own Common) {
	regions := map[string]string{}
	for i, z := range zones {
		if _, listed := regions[z.Zone]; listed {
			c.addFinding(fmt.Sprintf("zones[%d].zone", i), strconv.Quote(z.Zone), "a zone that is not listed yet")
			continue
		}
		regions[z.Zone] = z.Region
	}
	if region, listed := regions[own.Zone]; listed && region != own.Region {
		c.addFinding("region", strconv.Quote(own.Region), strconv.Quote(region)+" as listed in zones")
	}
}

func (c *checker) checkPort(path string, port int) {
	if port < 0 || port > maxPort {
		c.addFinding(path, fmt.Sprint(port), fmt.Sprintf("a port of at most %d, or 0", maxPort))
	}
}

func (c *checker) checkHTTPListener(path string, l HTTPListener) {
	c.checkAddress(path+".address", l.Address)
	c.checkPositive(path+".max-body", int64(l.MaxBody))
	c.checkPositive(path+".max-header", int64(l.MaxHeader))
	c.checkPositive(path+".header-timeout", int64(l.HeaderTimeout))
	c.checkPositive(path+".max-in-flight", int64(l.MaxInFlight))
}

func (c *checker) checkPositive(path string, n int64) {
	if n <= 0 {
		c.addFinding(path, fmt.Sprint(n), "a value above zero")
	}
}

func (c *checker) checkNotNegative(path string, n float64) {
	if n < 0 {
		c.addFinding(path, fmt.Sprint(n), "a value of zero or more")
	}
}

func (c *checker) checkPolicy(policy string) {
	if !slices.Contains(pick.Policies, policy) {
		c.addFinding("routing.policy", strconv.Quote(policy), strings.Join(pick.Policies, ", "))
	}
}

// Setting documents one setting: its path in the file, default value and meaning.
type Setting struct {
	Path, Default, Doc string
}

// List lists every setting of a role in declaration order. defaults is the role's
// struct of default settings.
func List(defaults any) []Setting { return listFields(reflect.ValueOf(defaults), "") }

func listFields(v reflect.Value, prefix string) []Setting {
	var out []Setting
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			out = append(out, listFields(v.Field(i), prefix)...)
			continue
		}
		path := prefix + document.FieldKey(field)
		if inner, list := structValue(field.Type, v.Field(i)); inner.IsValid() {
			if list {
				path += "[]"
			}
			out = append(out, listFields(inner, path+".")...)
			continue
		}
		out = append(out, Setting{Path: path, Default: defaultText(field, v.Field(i)), Doc: field.Tag.Get("doc")})
	}
	return out
}

// structValue returns v if it is a struct, or an empty element if it is a slice of
// structs. Otherwise inner is invalid. list reports whether it is a slice.
func structValue(t reflect.Type, v reflect.Value) (inner reflect.Value, list bool) {
	switch {
	case t.Kind() == reflect.Struct:
		return v, false
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return reflect.New(t.Elem()).Elem(), true
	}
	return reflect.Value{}, false
}

// defaultText renders the default value of a setting for the documentation.
func defaultText(field reflect.StructField, v reflect.Value) string {
	if field.Tag.Get("required") == "true" {
		return "required"
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return ""
	}
	return strings.Trim(string(text), `"`)
}

// Markdown renders the settings tables of all roles for docs/OPERATIONS.md.
func Markdown() string {
	var b strings.Builder
	for _, role := range []struct {
		name     string
		defaults any
	}{
		{RoleEntry, DefaultEntry()},
		{RoleSidecar, DefaultSidecar()},
		{RoleControl, DefaultControl()},
		{RoleGateway, DefaultGateway()},
		{RoleStandIn, DefaultStandIn()},
	} {
		fmt.Fprintf(&b, "### Settings of %s\n\n| setting | default | meaning |\n|---|---|---|\n", role.name)
		for _, item := range List(role.defaults) {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", item.Path, item.Default, item.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}
