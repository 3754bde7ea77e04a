package process

import (
	"context"
	"errors"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
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

// Status is what a process other than a control instance reports about itself to
// operators.
type Status struct {
	Process  string `json:"process"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"` // of the tables in force; in a gateway: of its configuration
	InFlight int    `json:"in-flight"`
	Servers  int    `json:"servers"` // backend servers: those in an entry's directory, or usable by a gateway
	Ready    bool   `json:"ready"`
}

// NewEntry starts an entry.
func NewEntry(env Environment, s settings.Entry) (*Process, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	deps := p.newCommonDeps()
	traceWriter, err := p.openTrace(s.Record.Trace)
	if err != nil {
		return p.fail(err)
	}
	entry, closeEntry, err := caller.New(caller.Config{
		Settings: s, Clock: deps.clock, Logger: p.Logger, Conns: deps.conns, Metrics: deps.metrics, Trace: traceWriter,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeEntry)
	registerEntryMetrics(deps.metrics, entry)
	server, err := p.listen("caller", s.Caller, entry.Handler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = server.Close() })
	p.announceLeaving = entry.StartDrain
	p.drain = func(ctx context.Context) int { return drainHTTP(ctx, server, entry, finalAnswerTimeout) }
	err = p.serveOperator(operator.Config{
		Settings: s.Operator, Metrics: deps.metrics, Ready: entry.Ready,
		Status: func(context.Context) any {
			return Status{s.Process, s.Role, entry.Revision(), entry.InFlight(), entry.ServerCount(), entry.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.logStarted()
	return p, nil
}

// When the drain of a shutdown times out, the requests still in flight are ended, and
// their answers have this long to reach the callers.
const (
	finalAnswerTimeout = 2 * time.Second
	// gatewayFinalAnswerTimeout is shorter because a gateway is killed soon after its
	// drain has timed out.
	gatewayFinalAnswerTimeout = 600 * time.Millisecond
)

// settingsFile stands for the file name in the findings of a reload, where the name
// is not known.
const settingsFile = "settings"

// requestEnder ends all requests in flight and returns their number. Each is answered
// according to whether it may have run.
type requestEnder interface{ EndAll() int }

// drainHTTP waits for the requests in flight until ctx ends. It then ends those that
// remain, waits up to timeout for their answers to be written, and returns their
// number.
func drainHTTP(ctx context.Context, server *http.Server, requests requestEnder, timeout time.Duration) int {
	if err := server.Shutdown(ctx); err == nil {
		return 0
	}
	remaining := requests.EndAll()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = server.Shutdown(ctx) // closeAll closes the connections that still have no answer
	return remaining
}

// NewSidecar starts a sidecar.
func NewSidecar(env Environment, s settings.Sidecar) (*Process, error) {
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	deps := p.newCommonDeps()
	traceWriter, err := p.openTrace(s.Record.Trace)
	if err != nil {
		return p.fail(err)
	}
	events, closeBus := bus.New(p.Logger)
	p.onClose(func() { _ = closeBus() })
	sidecar, closeSidecar, err := backend.New(backend.Config{
		Settings: s, Clock: deps.clock, Logger: p.Logger, Conns: deps.conns, Metrics: deps.metrics, Bus: events, Trace: traceWriter,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeSidecar)
	registerSidecarMetrics(deps.metrics, sidecar)
	peers, stopPeers, err := peer.NewServer(s.Peer, deps.meter, func(g *grpc.Server) { wire.RegisterSidecarServer(g, sidecar) })
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(cancelledContext()) })
	announcements := settings.HTTPListener{
		Address: s.Backend.Address, MaxHeader: maxInternalHeader, HeaderTimeout: s.Backend.AnnouncementTimeout,
	}
	loopback, err := p.listen("backend", announcements, sidecar.Handler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = loopback.Close() })
	p.drain = func(ctx context.Context) int {
		remaining := sidecar.Drain(ctx)
		stopPeers(ctx) // entries may still fetch retained results
		return remaining
	}
	err = p.serveOperator(operator.Config{
		Settings: s.Operator, Metrics: deps.metrics, Ready: sidecar.Ready,
		Status: func(context.Context) any {
			load := sidecar.Load()
			return Status{Process: s.Process, Role: s.Role, InFlight: load.InFlight + load.Queued, Ready: sidecar.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.logStarted()
	return p, nil
}

// maxInternalHeader is the maximum header size, in bytes, of announcements and
// readiness checks.
const maxInternalHeader = 16 << 10

// cancelledContext returns a context that has already ended.
func cancelledContext() context.Context {
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
	deps := p.newCommonDeps()
	p.limitMemory(deps, int64(s.MemoryLimit), controlAccountFraction)
	dataDisk, closeDisk, err := disk.Open(s.DataDir)
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = closeDisk() })
	registryConfig := registry.DefaultConfig()
	registryConfig.ClaimRetention = s.Retention.Std()
	member, closeMember, err := quorum.New(quorum.Config{
		Settings: s, Registry: registryConfig, Disk: dataDisk, Clock: deps.clock, Conns: deps.conns, Logger: p.Logger,
	})
	if err != nil {
		return p.fail(err)
	}
	p.onClose(closeMember)
	service, closeService := control.NewService(member, deps.clock, p.Logger)
	p.onClose(closeService)
	peers, stopPeers, err := peer.NewServer(s.Peer, deps.meter, func(g *grpc.Server) {
		wire.RegisterControlServer(g, service)
		wire.RegisterQuorumServer(g, &quorum.Service{Quorum: member})
	})
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(cancelledContext()) })
	p.reload = func(data []byte) error {
		next, findings := settings.ParseControl(settingsFile, data)
		if err := findings.Err(); err != nil {
			return err
		}
		member.SetSeeds(next.Instances)
		return nil
	}
	p.drain = func(ctx context.Context) int {
		// Once another instance leads, pending commands are committed while their
		// calls are drained. Watches never end by themselves, so EndWatches ends
		// them.
		handoverCtx, cancel := context.WithTimeout(ctx, controlHandoverTimeout)
		defer cancel()
		member.Leave(handoverCtx)
		service.EndWatches()
		drainCtx, cancel := context.WithTimeout(ctx, controlDrainTimeout)
		defer cancel()
		stopPeers(drainCtx)
		return 0
	}
	client := control.NewClient(deps.conns, s.Instances, p.Logger)
	orders := control.Orders{Service: service, Client: client}
	for _, z := range s.Zones {
		orders.Zones = append(orders.Zones, z.Zone)
	}
	if s.Registrar.Address != "" {
		if err := p.serveRegistrar(env, s, orders, member); err != nil {
			return p.fail(err)
		}
	}
	tables := operator.TableHandlers{Client: client, InstanceCount: len(s.Instances)}
	registerControlMetrics(deps.metrics, member)
	err = p.serveOperator(operator.Config{
		Settings: s.Operator, Metrics: deps.metrics, Ready: func() bool { return p.Serving() && member.View().Leader != "" },
		Status: func(ctx context.Context) any {
			reply, _ := service.Status(ctx, nil) // never returns an error
			return reply
		},
		RegisterHandlers: func(mux chi.Router) {
			tables.Register(mux)
			operator.EvacuationHandlers{Orders: orders}.Register(mux)
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.logStarted()
	return p, nil
}

// serveRegistrar starts the HTTP server on which backend servers announce themselves
// to this control instance, and subscribes to the announcements that the other
// control instances receive.
func (p *Process) serveRegistrar(env Environment, s settings.Control, orders control.Orders, member *quorum.Quorum) error {
	service, client := orders.Service, orders.Client
	if env.Dialect == nil {
		return errNoDialect
	}
	config := registrar.Config{
		Dialect: env.Dialect, Recorder: control.Announcements{Service: service, Client: client}, Client: client, Orders: orders, Logger: p.Logger, MaxBodyBytes: int64(s.Registrar.MaxBody),
	}
	server, err := p.listen("registrar", s.Registrar, config.Handler())
	if err != nil {
		return err
	}
	p.onClose(func() { _ = server.Close() })
	watches, closeWatches := control.NewWatchSet(func(string) control.Watcher {
		return control.Watcher{
			Client: client, NoticeInterval: watchInterval, NoticeDue: signal.New(), HandleUpdate: service.ApplyPeerUpdate,
			NewNotice: func() *wire.Notice {
				return &wire.Notice{Process: s.Process, Role: s.Role, Zone: s.Zone, Region: s.Region, WantRoster: true, Catalog: noCatalog}
			},
		}
	})
	p.onClose(closeWatches)
	ctx, cancel := context.WithCancel(context.Background())
	p.onClose(cancel)
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			instances := member.Instances()
			client.SetAddresses(instances)
			watches.SetAddresses(slices.DeleteFunc(slices.Clone(instances), func(address string) bool { return address == s.Peer.AdvertisedAddress() }))
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	}()
	return nil
}

const (
	// watchInterval is the time between two notices that a control instance sends to
	// another. They serve as heartbeats.
	watchInterval = time.Second
	// noCatalog is higher than any version of the gateway configuration. A control
	// instance reports it as its own version so that it is sent none: it receives the
	// configuration through the replicated log.
	noCatalog = math.MaxUint64
)

var errNoDialect = errors.New("gateways and registrars need a dialect, and this program has none")

// NewGateway starts a gateway.
func NewGateway(env Environment, s settings.Gateway) (*Process, error) {
	if env.Dialect == nil {
		return nil, errNoDialect
	}
	p, err := newProcess(env, s.Common, s.Role, s.Record, s.Stop)
	if err != nil {
		return nil, err
	}
	deps := p.newCommonDeps()
	p.limitMemory(deps, int64(s.MemoryLimit), gatewayAccountFraction)
	g, closeGateway := gateway.New(gateway.Config{
		Settings: s, Dialect: env.Dialect, Clock: deps.clock, Logger: p.Logger, Conns: deps.conns, Metrics: deps.metrics,
	})
	p.onClose(closeGateway)
	registerGauges(deps.metrics, map[string]func() int64{
		"requests.in-flight": func() int64 { return int64(g.InFlight()) },
		"roster.usable":      func() int64 { return int64(g.ServerCount()) },
		"catalog.version":    func() int64 { return int64(g.CatalogVersion()) },
		"evacuations.zones":  func() int64 { zones, _ := g.Evacuated(); return int64(zones) },
		"roster.evacuated":   func() int64 { _, servers := g.Evacuated(); return int64(servers) },
	})
	peers, stopPeers, err := peer.NewServer(s.Peer, deps.meter, func(server *grpc.Server) { wire.RegisterGatewayServer(server, g) })
	if err != nil {
		return p.fail(err)
	}
	p.Addresses["peer"] = peers.Address
	p.onClose(func() { stopPeers(cancelledContext()) })
	server, err := p.listen("caller", s.Caller, g)
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = server.Close() })
	ready, err := p.listen("ready", settings.HTTPListener{Address: s.ReadyAddress, MaxHeader: maxInternalHeader, HeaderTimeout: s.Caller.HeaderTimeout}, g.ReadyHandler())
	if err != nil {
		return p.fail(err)
	}
	p.onClose(func() { _ = ready.Close() })
	p.announceLeaving = g.StartDrain
	p.drain = func(ctx context.Context) int { return drainHTTP(ctx, server, g, gatewayFinalAnswerTimeout) }
	p.reload = func(data []byte) error {
		next, findings := settings.ParseGateway(settingsFile, data)
		if err := findings.Err(); err != nil {
			return err
		}
		g.SetControlAddresses(next.Control)
		return nil
	}
	err = p.serveOperator(operator.Config{
		Settings: s.Operator, Metrics: deps.metrics, Ready: g.Ready,
		Status: func(context.Context) any {
			return Status{Process: s.Process, Role: s.Role, Revision: g.CatalogVersion(), InFlight: g.InFlight(), Servers: g.ServerCount(), Ready: g.Ready()}
		},
	})
	if err != nil {
		return p.fail(err)
	}
	p.logStarted()
	return p, nil
}

// Timeouts of a control instance's shutdown.
const (
	controlHandoverTimeout = 2 * time.Second // for another instance to lead with a quorum that does not need this one; longer than the maximum reconnect backoff
	controlDrainTimeout    = 2 * time.Second // for calls in flight
)

// NewStandIn starts a process with fake backend servers, and returns them too.
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
	p.announceLeaving = func() {
		for _, server := range servers {
			server.Leave()
		}
	}
	p.logStarted()
	return p, servers, nil
}

// Start starts a process of the role given in the settings in data. The file name is
// only used in findings.
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

var errNoRole = errors.New("the role in the settings is missing or unknown")
