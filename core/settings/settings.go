// Package settings holds the settings of every role, one JSON file for each
// process: their defaults, their checks and their documentation. It reads no
// file itself.
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
	"tanagerroad/core/document"
	"tanagerroad/core/pick"
	"tanagerroad/core/table"
)

// Roles that a settings file may name.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
	RoleControl = "control"
	RoleStandIn = "stand-in"
	RoleGateway = "gateway"
)

// Common is what every process needs.
type Common struct {
	Process string `json:"process" required:"true" doc:"name of the process, unique in the system"`
	Zone    string `json:"zone" required:"true" doc:"availability zone it runs in"`
	Region  string `json:"region" required:"true" doc:"region it runs in"`
}

// Place is where the process runs.
func (c Common) Place() tanagerroad.Place {
	return tanagerroad.Place{Zone: c.Zone, Region: c.Region}
}

// Operator is the operator's door.
type Operator struct {
	Address string `json:"address" doc:"host:port of metrics, health and status; empty: none"`
	Token   string `json:"token" doc:"bearer token that operators must show; empty: none is asked for"`
}

// Record is what the process writes about itself.
type Record struct {
	Level string `json:"level" doc:"lowest level logged: debug, info, warn or error"`
	Trace string `json:"trace" doc:"file that decisions are recorded in; empty: none"`
}

// Stop is how a planned stop goes.
type Stop struct {
	Bound tanagerroad.Duration `json:"bound" doc:"longest wait for what is in flight"`
	Grace tanagerroad.Duration `json:"grace" doc:"how long the process still serves after it says that it is leaving"`
}

// Door bounds what a listener for HTTP takes.
type Door struct {
	Address       string               `json:"address" required:"true" doc:"host:port to listen on"`
	MaxBody       tanagerroad.Size     `json:"max-body" doc:"largest request body"`
	MaxHeader     tanagerroad.Size     `json:"max-header" doc:"largest request header"`
	HeaderTimeout tanagerroad.Duration `json:"header-timeout" doc:"longest wait for a request's header"`
	MaxInFlight   int                  `json:"max-in-flight" doc:"requests served at once"`
}

// Peer bounds what a listener for other processes takes.
type Peer struct {
	Address    string           `json:"address" required:"true" doc:"host:port to listen on"`
	Advertise  string           `json:"advertise" doc:"host:port at which others reach it; empty: the address"`
	MaxStreams int              `json:"max-streams" doc:"streams served at once for each connection"`
	MaxMessage tanagerroad.Size `json:"max-message" doc:"largest message taken"`
}

// Reachable is the address at which others reach the listener.
func (p Peer) Reachable() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Address
}

// Routing is how an entry decides.
type Routing struct {
	Policy     string               `json:"policy" doc:"scored, least-in-flight, round-robin or random"`
	RetryRatio float64              `json:"retry-ratio" doc:"retries and hedges allowed for each first attempt"`
	RetryBurst float64              `json:"retry-burst" doc:"retries and hedges saved up at most"`
	Silence    tanagerroad.Duration `json:"silence" doc:"silence on a stream after which the connection counts as dead"`
	KeepAbove  tanagerroad.Size     `json:"keep-above" doc:"stage results larger than this stay at their sidecar"`
}

// Entry is the settings of an entry.
type Entry struct {
	Role string `json:"role" required:"true" doc:"entry"`
	Common
	Operator Operator `json:"operator"`
	Record   Record   `json:"record"`
	Stop     Stop     `json:"stop"`
	Caller   Door     `json:"caller" required:"true"`
	Control  []string `json:"control" required:"true" doc:"peer addresses of the control instances, the nearest first"`
	Routing  Routing  `json:"routing"`
}

// Queue bounds a sidecar's queue and what it keeps.
type Queue struct {
	Length    int                  `json:"length" doc:"attempts that may wait"`
	Keep      tanagerroad.Duration `json:"keep" doc:"how long a repeatable attempt's result is kept"`
	KeepOnce  tanagerroad.Duration `json:"keep-once" doc:"how long a not-repeatable attempt is remembered; not below the claims' retention"`
	KeptBytes tanagerroad.Size     `json:"kept-bytes" doc:"all kept results together"`
	KeptOnce  int                  `json:"kept-once" doc:"not-repeatable attempts remembered at once"`
	Knee      bool                 `json:"knee" doc:"find the concurrency limit below the announced capacity"`
}

// Backend is how a sidecar meets its backend server.
type Backend struct {
	Address string               `json:"address" required:"true" doc:"loopback host:port on which the backend server announces itself"`
	Lease   tanagerroad.Duration `json:"lease" doc:"silence after which the backend server counts as down"`
	Silence tanagerroad.Duration `json:"silence" doc:"silence of a running attempt after which its fate is asked"`
	MaxBody tanagerroad.Size     `json:"max-body" doc:"largest result taken"`
	Resume  int                  `json:"resume" doc:"times that a broken stream is resumed"`
}

// Sidecar is the settings of a sidecar.
type Sidecar struct {
	Role string `json:"role" required:"true" doc:"sidecar"`
	Common
	Operator Operator             `json:"operator"`
	Record   Record               `json:"record"`
	Stop     Stop                 `json:"stop"`
	Peer     Peer                 `json:"peer" required:"true"`
	Control  []string             `json:"control" required:"true" doc:"peer addresses of the control instances"`
	Backend  Backend              `json:"backend" required:"true"`
	Queue    Queue                `json:"queue"`
	Renew    tanagerroad.Duration `json:"renew" doc:"time between renewals of the lease in the directory"`
}

// Control is the settings of a control instance.
type Control struct {
	Role string `json:"role" required:"true" doc:"control"`
	Common
	Operator    Operator             `json:"operator"`
	Record      Record               `json:"record"`
	Stop        Stop                 `json:"stop"`
	Peer        Peer                 `json:"peer" required:"true"`
	Instances   []string             `json:"instances" required:"true" doc:"peer addresses of all control instances, this one included; 1, 3, 5 or 7"`
	Data        string               `json:"data" required:"true" doc:"data folder"`
	Election    tanagerroad.Duration `json:"election" doc:"silence of the leader after which another is sought"`
	Beat        tanagerroad.Duration `json:"beat" doc:"time between the leader's heartbeats"`
	Compact     tanagerroad.Size     `json:"compact" doc:"journal size that a snapshot replaces"`
	Retention   tanagerroad.Duration `json:"retention" doc:"how long a settled claim and its answer are kept"`
	Group       bool                 `json:"group" doc:"write and sync changes that wait together as one"`
	Registrar   Door                 `json:"registrar" doc:"where backend servers announce themselves and operators change the gateways' configuration; no address: nowhere"`
	ControlPort int                  `json:"control-port" doc:"port of the instances' peer listeners, in place of the one listed; 0: the one listed"`
	Bootstrap   bool                 `json:"bootstrap" doc:"with an empty disk: a first cluster may be formed"`
	Open        bool                 `json:"open" doc:"instances need not list all, nor this one: others are taken in when they ask"`
}

// ZonePlace says in which region an availability zone lies.
type ZonePlace struct {
	Zone   string `json:"zone" required:"true" doc:"availability zone"`
	Region string `json:"region" required:"true" doc:"region that it lies in"`
}

// Placing is how a gateway places and repeats requests.
type Placing struct {
	RetryRatio float64 `json:"retry-ratio" doc:"attempts beyond the first allowed for each request, over all gateways"`
	RetrySlack float64 `json:"retry-slack" doc:"attempts beyond the first allowed besides, shared by all gateways"`
}

// Gateway is the settings of a gateway.
type Gateway struct {
	Role string `json:"role" required:"true" doc:"gateway"`
	Common
	Operator    Operator             `json:"operator"`
	Record      Record               `json:"record"`
	Stop        Stop                 `json:"stop"`
	Caller      Door                 `json:"caller" required:"true"`
	Ready       string               `json:"ready" required:"true" doc:"host:port at which the balancer asks whether it is ready"`
	Peer        Peer                 `json:"peer" required:"true"`
	Control     []string             `json:"control" required:"true" doc:"addresses of control instances, from which all are found"`
	ControlPort int                  `json:"control-port" doc:"port of the control instances' peer listeners, in place of the one listed; 0: the one listed"`
	Zones       []ZonePlace          `json:"zones" doc:"all availability zones"`
	Placing     Placing              `json:"placing"`
	Memory      tanagerroad.Size     `json:"memory" doc:"memory that the process may use"`
	Silence     tanagerroad.Duration `json:"silence" doc:"how long a control instance may be silent before what it hears counts for nothing"`
}

// StandInServer is one fake backend server.
type StandInServer struct {
	Announce string               `json:"announce" required:"true" doc:"host:port of its sidecar's backend listener"`
	Address  string               `json:"address" required:"true" doc:"host:port to listen on"`
	Pool     string               `json:"pool" required:"true" doc:"pool that it belongs to"`
	Kind     string               `json:"kind" required:"true" doc:"model-engine or service"`
	Models   []string             `json:"models,omitempty" doc:"models that it serves"`
	Capacity int                  `json:"capacity" doc:"attempts that it runs at once"`
	Time     tanagerroad.Duration `json:"time" doc:"service time of one attempt"`
	Tokens   int                  `json:"tokens" doc:"tokens of a model engine's answer"`
}

// StandIn is the settings of a process that hosts fake backend servers.
type StandIn struct {
	Role string `json:"role" required:"true" doc:"stand-in"`
	Common
	Operator Operator        `json:"operator"`
	Record   Record          `json:"record"`
	Stop     Stop            `json:"stop"`
	Servers  []StandInServer `json:"servers" required:"true"`
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

func duration(d time.Duration) tanagerroad.Duration { return tanagerroad.Duration(d) }

func defaultRecord() Record { return Record{Level: "info"} }

func defaultStop() Stop { return Stop{Bound: duration(30 * time.Second), Grace: duration(time.Second)} }

// DefaultEntry is an entry's settings before its file is read.
func DefaultEntry() Entry {
	return Entry{
		Record: defaultRecord(), Stop: defaultStop(),
		Caller: Door{MaxBody: 4 * mib, MaxHeader: 16 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 1024},
		Routing: Routing{
			Policy: "scored", RetryRatio: 0.1, RetryBurst: 20,
			Silence: duration(1500 * time.Millisecond), KeepAbove: 64 * kib,
		},
	}
}

// DefaultSidecar is a sidecar's settings before its file is read.
func DefaultSidecar() Sidecar {
	return Sidecar{
		Record: defaultRecord(), Stop: defaultStop(),
		Peer:    Peer{MaxStreams: 1024, MaxMessage: 8 * mib},
		Backend: Backend{Lease: duration(3 * time.Second), Silence: duration(10 * time.Second), MaxBody: 8 * mib, Resume: 3},
		Queue: Queue{
			Length: 64, Keep: duration(30 * time.Second), KeepOnce: duration(20 * time.Minute),
			KeptBytes: 16 * mib, KeptOnce: 50000, Knee: true,
		},
		Renew: duration(time.Second),
	}
}

// DefaultControl is a control instance's settings before its file is read.
func DefaultControl() Control {
	return Control{
		Record: defaultRecord(), Stop: defaultStop(),
		Peer:      Peer{MaxStreams: 4096, MaxMessage: 8 * mib},
		Election:  duration(time.Second),
		Beat:      duration(200 * time.Millisecond),
		Compact:   8 * mib,
		Retention: duration(15 * time.Minute),
		Group:     true,
		Registrar: Door{MaxBody: 4 * mib, MaxHeader: 16 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 256},
		Bootstrap: true,
	}
}

// DefaultGateway is a gateway's settings before its file is read.
func DefaultGateway() Gateway {
	return Gateway{
		Record: defaultRecord(), Stop: Stop{Bound: duration(7 * time.Second), Grace: duration(3 * time.Second)},
		Caller:  Door{MaxBody: 4 * mib, MaxHeader: 64 * kib, HeaderTimeout: duration(5 * time.Second), MaxInFlight: 1024},
		Peer:    Peer{MaxStreams: 1024, MaxMessage: 8 * mib},
		Placing: Placing{RetryRatio: 0.15, RetrySlack: 40},
		Memory:  256 * mib,
		Silence: duration(10 * time.Second),
	}
}

// DefaultStandIn is a stand-in's settings before its file is read.
func DefaultStandIn() StandIn { return StandIn{Record: defaultRecord(), Stop: defaultStop()} }

// Role names the role of a settings file; empty when it has none.
func Role(data []byte) string {
	var head struct {
		Role string `json:"role"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return ""
	}
	return head.Role
}

// ParseEntry reads and checks an entry's settings.
func ParseEntry(file string, data []byte) (Entry, tanagerroad.Findings) {
	s := DefaultEntry()
	c := read(file, data, &s)
	c.role(s.Role, RoleEntry)
	c.common(s.Common, s.Operator, s.Record)
	c.door("caller", s.Caller)
	c.differ("operator.address", s.Operator.Address, s.Caller.Address)
	c.addresses("control", s.Control)
	c.policy(s.Routing.Policy)
	c.positive("routing.silence", int64(s.Routing.Silence))
	return s, c.findings
}

// ParseSidecar reads and checks a sidecar's settings.
func ParseSidecar(file string, data []byte) (Sidecar, tanagerroad.Findings) {
	s := DefaultSidecar()
	c := read(file, data, &s)
	c.role(s.Role, RoleSidecar)
	c.common(s.Common, s.Operator, s.Record)
	c.peer(s.Peer)
	c.address("backend.address", s.Backend.Address)
	c.loopback("backend.address", s.Backend.Address)
	c.differ("operator.address", s.Operator.Address, s.Backend.Address)
	c.addresses("control", s.Control)
	c.positive("queue.length", int64(s.Queue.Length))
	c.positive("renew", int64(s.Renew))
	c.positive("backend.lease", int64(s.Backend.Lease))
	return s, c.findings
}

// ParseControl reads and checks a control instance's settings.
func ParseControl(file string, data []byte) (Control, tanagerroad.Findings) {
	s := DefaultControl()
	c := read(file, data, &s)
	c.role(s.Role, RoleControl)
	c.common(s.Common, s.Operator, s.Record)
	c.peer(s.Peer)
	c.addresses("instances", s.Instances)
	s.Instances = withPort(s.Instances, s.ControlPort)
	if n := len(s.Instances); !s.Open && (n > 7 || n%2 == 0) {
		c.fault("instances", fmt.Sprintf("%d addresses", n), "1, 3, 5 or 7")
	}
	if !s.Open && !slices.Contains(s.Instances, s.Peer.Reachable()) {
		c.fault("instances", "no "+strconv.Quote(s.Peer.Reachable()), "this instance's own peer address among them")
	}
	if s.Registrar.Address != "" {
		c.door("registrar", s.Registrar)
	}
	if s.Data == "" {
		c.fault("data", `""`, "a folder")
	}
	c.positive("beat", int64(s.Beat))
	if s.Election < 3*s.Beat {
		c.fault("election", s.Election.D().String(), "at least three times the beat")
	}
	return s, c.findings
}

// withPort gives all addresses the port; 0 leaves them as they are.
func withPort(addresses []string, port int) []string {
	if port == 0 {
		return addresses
	}
	out := make([]string, len(addresses))
	for i, address := range addresses {
		host, _, _ := net.SplitHostPort(address) // checked before
		out[i] = net.JoinHostPort(host, strconv.Itoa(port))
	}
	return out
}

// ParseGateway reads and checks a gateway's settings.
func ParseGateway(file string, data []byte) (Gateway, tanagerroad.Findings) {
	s := DefaultGateway()
	c := read(file, data, &s)
	c.role(s.Role, RoleGateway)
	c.common(s.Common, s.Operator, s.Record)
	c.door("caller", s.Caller)
	c.address("ready", s.Ready)
	c.peer(s.Peer)
	c.addresses("control", s.Control)
	s.Control = withPort(s.Control, s.ControlPort)
	c.positive("memory", int64(s.Memory))
	c.positive("silence", int64(s.Silence))
	if s.Placing.RetryRatio < 0 || s.Placing.RetrySlack < 0 {
		c.fault("placing", "a negative budget", "budgets of zero or more")
	}
	return s, c.findings
}

// ParseStandIn reads and checks a stand-in's settings.
func ParseStandIn(file string, data []byte) (StandIn, tanagerroad.Findings) {
	s := DefaultStandIn()
	c := read(file, data, &s)
	c.role(s.Role, RoleStandIn)
	c.common(s.Common, s.Operator, s.Record)
	for i, server := range s.Servers {
		path := fmt.Sprintf("servers[%d]", i)
		c.address(path+".announce", server.Announce)
		c.address(path+".address", server.Address)
		if server.Kind != table.ModelEngine && server.Kind != table.Service {
			c.fault(path+".kind", strconv.Quote(server.Kind), "model-engine or service")
		}
	}
	return s, c.findings
}

// Check reads a settings file of any role.
func Check(file string, data []byte) tanagerroad.Findings {
	switch Role(data) {
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

type check struct {
	file     string
	lines    map[string]int
	findings tanagerroad.Findings
}

func read(file string, data []byte, target any) *check {
	lines, findings := document.Lines(file, data, target)
	return &check{file: file, lines: lines, findings: findings}
}

func (c *check) fault(path, found, want string) {
	c.findings = append(c.findings, tanagerroad.Finding{File: c.file, Line: document.LineOf(c.lines, path), Path: path, Found: found, Want: want})
}

func (c *check) role(found, want string) {
	if found != want {
		c.fault("role", strconv.Quote(found), strconv.Quote(want))
	}
}

func (c *check) common(common Common, operator Operator, record Record) {
	for path, name := range map[string]string{"process": common.Process, "zone": common.Zone, "region": common.Region} {
		if !table.ValidName(name) {
			c.fault(path, strconv.Quote(name), "a name of 1 to 64 lower-case letters, digits and hyphens")
		}
	}
	if operator.Address != "" {
		c.address("operator.address", operator.Address)
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, record.Level) {
		c.fault("record.level", strconv.Quote(record.Level), "debug, info, warn or error")
	}
	slices.SortFunc(c.findings, func(a, b tanagerroad.Finding) int { return a.Line - b.Line })
}

func (c *check) address(path, address string) {
	host, port, err := net.SplitHostPort(address)
	number, perr := strconv.Atoi(port)
	if err != nil || perr != nil || net.ParseIP(host) == nil || number < 0 || number > 65535 {
		c.fault(path, strconv.Quote(address), "an IP number and a port, such as 127.0.0.1:7000")
	}
}

func (c *check) peer(p Peer) {
	c.address("peer.address", p.Address)
	if p.Advertise != "" {
		c.address("peer.advertise", p.Advertise)
	}
	c.positive("peer.max-streams", int64(p.MaxStreams))
	c.positive("peer.max-message", int64(p.MaxMessage))
}

func (c *check) addresses(path string, list []string) {
	if len(list) == 0 {
		c.fault(path, "none", "at least one address")
	}
	for i, a := range list {
		c.address(fmt.Sprintf("%s[%d]", path, i), a)
	}
}

func (c *check) loopback(path, address string) {
	host, _, _ := net.SplitHostPort(address)
	if ip := net.ParseIP(host); ip != nil && !ip.IsLoopback() {
		c.fault(path, strconv.Quote(address), "a loopback address: only the backend server beside it may announce itself")
	}
}

func (c *check) differ(path, a, b string) {
	if a != "" && a == b {
		c.fault(path, strconv.Quote(a), "an address of its own, not another door's")
	}
}

func (c *check) door(path string, d Door) {
	c.address(path+".address", d.Address)
	c.positive(path+".max-body", int64(d.MaxBody))
	c.positive(path+".max-header", int64(d.MaxHeader))
	c.positive(path+".max-in-flight", int64(d.MaxInFlight))
}

func (c *check) positive(path string, n int64) {
	if n <= 0 {
		c.fault(path, fmt.Sprint(n), "a value above zero")
	}
}

func (c *check) policy(policy string) {
	if !slices.Contains(pick.Policies, policy) {
		c.fault("routing.policy", strconv.Quote(policy), strings.Join(pick.Policies, ", "))
	}
}

// Item is one setting, for the documentation.
type Item struct {
	Path, Default, Doc string
}

// Items lists every setting of a role's defaults, in the order of the file.
func Items(defaults any) []Item { return items(reflect.ValueOf(defaults), "") }

func items(v reflect.Value, prefix string) []Item {
	var out []Item
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Anonymous {
			out = append(out, items(v.Field(i), prefix)...)
			continue
		}
		path := prefix + document.Name(field)
		if inner, list := structure(field.Type, v.Field(i)); inner.IsValid() {
			if list {
				path += "[]"
			}
			out = append(out, items(inner, path+".")...)
			continue
		}
		out = append(out, Item{Path: path, Default: defaultText(field, v.Field(i)), Doc: field.Tag.Get("doc")})
	}
	return out
}

// structure returns a struct value, or that of a slice's element.
func structure(t reflect.Type, v reflect.Value) (inner reflect.Value, list bool) {
	switch {
	case t.Kind() == reflect.Struct:
		return v, false
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return reflect.New(t.Elem()).Elem(), true
	}
	return reflect.Value{}, false
}

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

// Markdown renders the settings of all roles as they stand in
// docs/OPERATIONS.md.
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
		for _, item := range Items(role.defaults) {
			fmt.Fprintf(&b, "| `%s` | %s | %s |\n", item.Path, item.Default, item.Doc)
		}
		b.WriteString("\n")
	}
	return b.String()
}
