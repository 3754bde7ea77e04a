package process

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"google.golang.org/grpc"

	"tanagerroad/core/registry"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/backend"
	"tanagerroad/io/bus"
	"tanagerroad/io/caller"
	"tanagerroad/io/control"
	"tanagerroad/io/disk"
	"tanagerroad/io/gateway"
	"tanagerroad/io/operator"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
	"tanagerroad/io/registrar"
	"tanagerroad/io/signal"
	"tanagerroad/io/standin"
)

// Status is what a process sees of itself.
type Status struct {
	Process  string `json:"process"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
	InFlight int    `json:"in-flight"`
	Servers  int    `json:"servers"` // backend servers that it knows
	Ready    bool   `json:"ready"`
}

// NewEntry starts an entry.
func NewEntry(env Environment, s settings.Entry) (*Process, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	b := p.base()
	recorder, err := p.openTrace(s.Record.Trace)
	if err != nil {
		return p.fail(err)
	}
	entry, closeEntry, err := caller.New(caller.Config{
		Settings: s, Clock: b.clock, Logger: p.Logger, Conns: b.links, Metrics: b.metrics, Trace: recorder,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeEntry)
	registerEntryMetrics(b.metrics, entry)
	server, err := p.listen("caller", s.Caller, entry.Handler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = server.Close() })
	p.leave = entry.StartDrain
	p.drain = func(ctx context.Context) int { return drainHTTP(ctx, server, entry, truthTime) }
	err = p.operate(operator.Config{
		Settings: s.Operator, Metrics: b.metrics, Ready: entry.Ready,
		Status: func(context.Context) any {
			return Status{s.Process, s.Role, entry.Revision(), entry.InFlight(), entry.ServerCount(), entry.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.started()
	return p, nil
}

// truthTime is how long requests have to be answered truthfully once the stop's
// bound is reached.
const (
	truthTime = 2 * time.Second
	// gatewayTruthTime is shorter: a gateway is killed soon after its bound.
	gatewayTruthTime = 600 * time.Millisecond
)

// settingsFile names the settings in findings of a reload.
const settingsFile = "settings"

// ender ends what is in flight with true answers, and says how much that was.
type ender interface{ EndAll() int }

func drainHTTP(ctx context.Context, server *http.Server, entry ender, truth time.Duration) int {
	if err := server.Shutdown(ctx); err == nil {
		return 0
	}
	left := entry.EndAll()
	ctx, cancel := context.WithTimeout(context.Background(), truth)
	defer cancel()
	_ = server.Shutdown(ctx) // what is not answered by now is cut
	return left
}

// NewSidecar starts a sidecar.
func NewSidecar(env Environment, s settings.Sidecar) (*Process, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	b := p.base()
	recorder, err := p.openTrace(s.Record.Trace)
	if err != nil {
		return p.fail(err)
	}
	events, closeBus := bus.New(p.Logger)
	p.onClose(func() { _ = closeBus() })
	sidecar, closeSidecar, err := backend.New(backend.Config{
		Settings: s, Clock: b.clock, Logger: p.Logger, Links: b.links, Metrics: b.metrics, Bus: events, Trace: recorder,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeSidecar)
	registerSidecarMetrics(b.metrics, sidecar)
	peers, stopPeers, err := peer.NewServer(s.Peer, b.meter, func(g *grpc.Server) { wire.RegisterSidecarServer(g, sidecar) })
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(ended()) })
	door := settings.HTTPListener{
		Address: s.Backend.Address, MaxHeader: maxAnnounceHeader, HeaderTimeout: s.Backend.AnnouncementTimeout,
	}
	loopback, err := p.listen("backend", door, sidecar.Handler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = loopback.Close() })
	p.drain = func(ctx context.Context) int {
		left := sidecar.Drain(ctx)
		stopPeers(ctx) // lets entries take the results that are kept
		return left
	}
	err = p.operate(operator.Config{
		Settings: s.Operator, Metrics: b.metrics, Ready: sidecar.Ready,
		Status: func(context.Context) any {
			load := sidecar.Load()
			return Status{Process: s.Process, Role: s.Role, InFlight: load.InFlight + load.Queued, Ready: sidecar.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.started()
	return p, nil
}

const maxAnnounceHeader = 16 << 10

// ended is a context that is over.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// NewControl starts a control instance.
func NewControl(env Environment, s settings.Control) (*Process, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	b := p.base()
	folder, closeFolder, err := disk.New(s.DataDir)
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = closeFolder() })
	registryConfig := registry.DefaultConfig()
	registryConfig.ClaimRetention = s.Retention.Std()
	member, closeMember, err := quorum.New(quorum.Config{
		Settings: s, Registry: registryConfig, Disk: folder, Clock: b.clock, Links: b.links, Logger: p.Logger,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeMember)
	service, closeService := control.NewService(member, b.clock, p.Logger)
	p.onClose(closeService)
	peers, stopPeers, err := peer.NewServer(s.Peer, b.meter, func(g *grpc.Server) {
		wire.RegisterControlServer(g, service)
		wire.RegisterQuorumServer(g, &quorum.Service{Quorum: member})
	})
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(ended()) })
	p.reload = func(data []byte) error {
		next, findings := settings.ParseControl(settingsFile, data)
		if err := findings.Err(); err != nil {
			return err
		}
		member.SetSeeds(next.Instances)
		return nil
	}
	p.drain = func(ctx context.Context) int {
		// Changes that wait are settled; watches never end by themselves.
		spared, cancel := context.WithTimeout(ctx, controlLeave)
		defer cancel()
		member.Leave(spared)
		service.Leave()
		calls, cancel := context.WithTimeout(ctx, controlDrain)
		defer cancel()
		stopPeers(calls)
		return 0
	}
	client := control.NewClient(b.links, s.Instances, p.Logger)
	if s.Registrar.Address != "" {
		if err := p.register(env, s, service, client, member); err != nil {
			return p.fail(err)
		}
	}
	tables := operator.Tables{Client: client, Instances: len(s.Instances)}
	registerControlMetrics(b.metrics, member)
	err = p.operate(operator.Config{
		Settings: s.Operator, Metrics: b.metrics, Ready: func() bool { return p.Serving() && member.View().Leader != "" },
		Status: func(ctx context.Context) any {
			reply, _ := service.Status(ctx, nil) // it has no error to give
			return reply
		},
		Routes: tables.Routes,
	})
	if err != nil {
		return p.fail(err)
	}
	p.started()
	return p, nil
}

// register opens the door at which backend servers announce themselves, and
// hears what the other instances were told.
func (p *Process) register(env Environment, s settings.Control, service *control.Service, client *control.Client, member *quorum.Quorum) error {
	if env.Dialect == nil {
		return errNoDialect
	}
	config := registrar.Config{
		Dialect: env.Dialect, Directory: service, Quorum: client, Logger: p.Logger, MaxBody: int64(s.Registrar.MaxBody),
	}
	server, err := p.listen("registrar", s.Registrar, config.Handler())
	if err != nil {
		return err
	}
	p.onClose(func() { _ = server.Close() })
	watches, closeWatches := control.NewWatches(func(string) control.Watcher {
		return control.Watcher{
			Client: client, Every: watchEvery, Nudge: signal.New(), Take: service.Told,
			Notice: func() *wire.Notice {
				return &wire.Notice{Process: s.Process, Role: s.Role, Zone: s.Zone, Region: s.Region, WantRoster: true, Catalog: noCatalog}
			},
		}
	})
	p.onClose(closeWatches)
	ctx, cancel := context.WithCancel(context.Background())
	p.onClose(cancel)
	go func() {
		ticker := time.NewTicker(watchEvery)
		defer ticker.Stop()
		for ctx.Err() == nil {
			instances := member.Instances()
			client.SetAddresses(instances)
			watches.Set(slices.DeleteFunc(slices.Clone(instances), func(address string) bool { return address == s.Peer.AdvertisedAddress() }))
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
	return nil
}

const (
	// watchEvery is how often a control instance tells another that it lives.
	watchEvery = time.Second
	// noCatalog is a version above all others: the log brings configurations.
	noCatalog = math.MaxUint64
)

var errNoDialect = errors.New("this program speaks no dialect of backend servers and callers")

// NewGateway starts a gateway.
func NewGateway(env Environment, s settings.Gateway) (*Process, error) {
	if env.Dialect == nil {
		return nil, errNoDialect
	}
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryLimit)))
	b := p.base()
	g, closeGateway := gateway.New(gateway.Config{
		Settings: s, Dialect: env.Dialect, Clock: b.clock, Logger: p.Logger, Links: b.links, Metrics: b.metrics,
	})
	p.onClose(closeGateway)
	registerGauges(b.metrics, map[string]func() int64{
		"requests.in-flight": func() int64 { return int64(g.InFlight()) },
		"roster.usable":      func() int64 { return int64(g.ServerCount()) },
		"catalog.version":    func() int64 { return int64(g.CatalogVersion()) },
	})
	peers, stopPeers, err := peer.NewServer(s.Peer, b.meter, func(server *grpc.Server) { wire.RegisterGatewayServer(server, g) })
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(ended()) })
	listener, err := net.Listen("tcp", s.Caller.Address)
	if err != nil {
		return p.fail(err)
	}
	server := p.serve("caller", gateway.Listener{Listener: listener}, s.Caller, g)
	p.onClose(func() { _ = server.Close() })
	ready, err := p.listen("ready", settings.HTTPListener{Address: s.ReadyAddress, MaxHeader: maxAnnounceHeader, HeaderTimeout: s.Caller.HeaderTimeout}, g.ReadyHandler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = ready.Close() })
	p.leave = g.StartDraining
	p.drain = func(ctx context.Context) int { return drainHTTP(ctx, server, g, gatewayTruthTime) }
	p.reload = func(data []byte) error {
		next, findings := settings.ParseGateway(settingsFile, data)
		if err := findings.Err(); err != nil {
			return err
		}
		g.SetControlAddresses(next.Control)
		return nil
	}
	err = p.operate(operator.Config{
		Settings: s.Operator, Metrics: b.metrics, Ready: g.Ready,
		Status: func(context.Context) any {
			return Status{Process: s.Process, Role: s.Role, Revision: g.CatalogVersion(), InFlight: g.InFlight(), Servers: g.ServerCount(), Ready: g.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.started()
	return p, nil
}

// memoryPart is the part of the memory allowed above which garbage is
// collected more often; the rest is for stacks, code and buffers in the system.
const memoryPart = 0.7

// Times of a control instance's stop.
const (
	controlLeave = 2 * time.Second // for the others to have a quorum without it; longer than a connection's longest pause
	controlDrain = 2 * time.Second // for calls to end
)

// NewStandIn starts a process of fake backend servers.
func NewStandIn(env Environment, s settings.StandIn) (*Process, []*standin.Server, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, nil, err
	}
	var servers []*standin.Server
	for _, config := range s.Servers {
		server, closeServer, err := standin.New(config)
		if err != nil {
			p.Close()
			return nil, nil, err
		}
		p.onClose(closeServer)
		servers = append(servers, server)
	}
	p.leave = func() {
		for _, server := range servers {
			server.Leave()
		}
	}
	p.started()
	return p, servers, nil
}

// Start starts the role that a settings file names.
func Start(env Environment, file string, data []byte) (*Process, error) {
	switch settings.RoleOf(data) {
	case settings.RoleEntry:
		s, findings := settings.ParseEntry(file, data)
		if len(findings) > 0 {
			return nil, findings
		}
		return NewEntry(env, s)
	case settings.RoleSidecar:
		s, findings := settings.ParseSidecar(file, data)
		if len(findings) > 0 {
			return nil, findings
		}
		return NewSidecar(env, s)
	case settings.RoleControl:
		s, findings := settings.ParseControl(file, data)
		if len(findings) > 0 {
			return nil, findings
		}
		return NewControl(env, s)
	case settings.RoleGateway:
		s, findings := settings.ParseGateway(file, data)
		if len(findings) > 0 {
			return nil, findings
		}
		return NewGateway(env, s)
	case settings.RoleStandIn:
		s, findings := settings.ParseStandIn(file, data)
		if len(findings) > 0 {
			return nil, findings
		}
		p, _, err := NewStandIn(env, s)
		return p, err
	}
	return nil, errors.Join(settings.Check(file, data).Err(), errNoRole)
}

var errNoRole = errors.New("the settings name no role that can be started")
