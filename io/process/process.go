// Package process assembles a process of each role from its components, starts it
// and shuts it down gracefully. The roles are entry, sidecar, control, gateway and
// stand-in.
package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/settings"
	"tanagerroad/core/stop"
	"tanagerroad/core/trace"
	"tanagerroad/io/httpserver"
	"tanagerroad/io/logline"
	"tanagerroad/io/operator"
	"tanagerroad/io/peer"
)

// Process is a running process of one role.
type Process struct {
	// Addresses holds the addresses that it listens on, by the name of the listener,
	// such as "caller" or "peer".
	Addresses map[string]string
	// Logger adds the name, role and zone of the process to every line.
	Logger *zap.Logger

	shutdownSettings settings.Shutdown
	announceLeaving  func()
	drain            func(context.Context) int // returns how much was still in flight when it ended
	reload           func(data []byte) error
	limiter          *httpserver.Limiter // of callers' memory; nil: there is none
	closers          []func()            // called in reverse order
	closeLog         func()              // called last, when no more lines are logged
	mu               sync.Mutex
	state            string // state of stop.Chart
}

// Environment holds what the processes of one program share.
type Environment struct {
	Logger  *zap.Logger         // nil: JSON lines on standard output
	Dialect tanagerroad.Dialect // used by gateways and registrars; nil: neither can be started
}

// newProcess returns a process that has a logger and nothing else yet.
func newProcess(env Environment, common settings.Common, role string, diagnostics settings.Diagnostics, shutdown settings.Shutdown) (*Process, error) {
	logger, closeLog := env.Logger, func() {}
	if logger == nil {
		var err error
		if logger, closeLog, err = logline.New(logline.Config{Level: diagnostics.Level, Out: os.Stdout}); err != nil {
			return nil, err
		}
	}
	logger = logger.With(zap.String("process", common.Process), zap.String("role", role), zap.String("zone", common.Zone))
	return &Process{
		closeLog:  closeLog,
		Addresses: map[string]string{}, Logger: logger, shutdownSettings: shutdown, state: stop.Serving,
		announceLeaving: func() {}, reload: func([]byte) error { return nil }, drain: func(context.Context) int { return 0 },
	}, nil
}

// onClose registers f to be called when the process closes, before the functions
// that were registered earlier.
func (p *Process) onClose(f func()) { p.closers = append(p.closers, f) }

// openTrace creates the file that decisions are recorded in. It returns nil if path
// is empty.
func (p *Process) openTrace(path string) (*trace.Writer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	p.onClose(func() { _ = file.Close() })
	return trace.NewWriter(file, func(err error) { event.TraceFailed.Log(p.Logger, zap.Error(err)) }), nil
}

// listen opens a listener and serves HTTP on it. Errors and Addresses refer to it by
// name.
func (p *Process) listen(name string, config settings.HTTPListener, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p.serve(name, listener, config, handler), nil
}

// serve serves HTTP on listener, with the timeout and size limit of a request's
// header taken from config.
func (p *Process) serve(name string, listener net.Listener, config settings.HTTPListener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: config.HeaderTimeout.Std(), MaxHeaderBytes: int(config.MaxHeader),
		IdleTimeout: idleTimeout,
	}
	p.Addresses[name] = listener.Addr().String()
	if p.limiter != nil {
		listener = p.limiter.Apply(server, listener, p.limits(name))
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.BusFailed.Log(p.Logger, zap.Error(err))
		}
	}()
	return server
}

const idleTimeout = 2 * time.Minute

// serveOperator starts the HTTP server for operators.
func (p *Process) serveOperator(config operator.Config) error {
	config.Logger = p.Logger
	if p.limiter != nil {
		config.Limit = func(server *http.Server, listener net.Listener) net.Listener {
			return p.limiter.Apply(server, listener, p.limits("operator"))
		}
	}
	address, closeOperator, err := operator.Start(config)
	if err != nil {
		return err
	}
	p.Addresses["operator"] = address
	p.onClose(closeOperator)
	return nil
}

func (p *Process) logStarted() {
	event.Started.Log(p.Logger, zap.Any("addresses", p.Addresses))
}

// transition applies an event to the state chart of a graceful shutdown and logs
// the new state. An event that the current state does not expect is only logged.
func (p *Process) transition(trigger string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, err := stop.Chart.Next(p.state, trigger)
	if err != nil {
		event.UnexpectedEvent.Log(p.Logger, zap.String("finding", err.Error()))
		return
	}
	p.state = next
	event.StopState.Log(p.Logger, zap.String("state", next))
}

// Serving reports whether no shutdown has begun.
func (p *Process) Serving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == stop.Serving
}

// Stop shuts the process down gracefully: it announces that it is leaving, waits for
// the grace period, drains what is in flight and closes. It returns how much was
// still in flight when the drain timed out.
func (p *Process) Stop() int {
	event.Stopping.Log(p.Logger)
	p.transition(stop.Signal)
	p.announceLeaving()
	time.Sleep(p.shutdownSettings.Grace.Std())
	p.transition(stop.GraceElapsed)
	ctx, cancel := context.WithTimeout(context.Background(), p.shutdownSettings.Timeout.Std())
	defer cancel()
	remaining := p.drain(ctx)
	if remaining > 0 {
		p.transition(stop.DrainTimedOut)
	}
	p.closeAll()
	p.transition(stop.Drained)
	event.Stopped.Log(p.Logger, zap.Int("left", remaining))
	p.closeLog()
	return remaining
}

// Reload applies the settings in data that may change while the process runs. Other
// changes take effect at the next start.
func (p *Process) Reload(data []byte) {
	if err := p.reload(data); err != nil {
		event.ReloadFailed.Log(p.Logger, zap.Error(err))
		return
	}
	event.Reloaded.Log(p.Logger, zap.Int("bytes", len(data)))
}

// SignalAgain records another signal to stop, which has no effect.
func (p *Process) SignalAgain() { p.transition(stop.Signal) }

// Close ends the process at once, as a crash would: without announcing it and
// without draining.
func (p *Process) Close() {
	p.closeAll()
	p.closeLog()
}

// closeAll calls the registered functions, the last one first.
func (p *Process) closeAll() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.closers = nil
}

// fail closes what a constructor has opened so far and returns err.
func (p *Process) fail(err error) (*Process, error) {
	p.Close()
	return nil, err
}

// commonDeps holds the dependencies of every role but the stand-in.
type commonDeps struct {
	meter   *peer.Meter
	conns   *peer.ConnPool
	metrics metrics.Registry
	clock   tanagerroad.Clock
}

// maxMessageBytes limits a gRPC message that is sent or received as a client.
const maxMessageBytes = 16 << 20

// newCommonDeps creates the dependencies, and registers gauges of the bytes sent and
// received over gRPC.
func (p *Process) newCommonDeps() commonDeps {
	meter := peer.NewMeter()
	conns, closeConns := peer.NewConnPool(meter, maxMessageBytes)
	p.onClose(closeConns)
	registry := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("control-bytes.in", registry, func() int64 { in, _ := meter.Total(); return in })
	metrics.NewRegisteredFunctionalGauge("control-bytes.out", registry, func() int64 { _, out := meter.Total(); return out })
	return commonDeps{meter, conns, registry, tanagerroad.NewSystemClock()}
}
