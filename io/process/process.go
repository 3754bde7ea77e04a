// Package process puts each role together from its parts and takes it through
// a planned stop. The roles are entry, sidecar, control and stand-in.
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
	"tanagerroad/io/gateway"
	"tanagerroad/io/logline"
	"tanagerroad/io/operator"
	"tanagerroad/io/peer"
)

// Process is a running role.
type Process struct {
	// Addresses that it listens on, by door.
	Addresses map[string]string
	// Logger is the process's own.
	Logger *zap.Logger

	stopping settings.Shutdown
	leave    func()
	drain    func(context.Context) int // returns what was left
	reload   func(data []byte) error
	closers  []func()
	closeLog func() // after the last line
	mu       sync.Mutex
	state    string
}

// Environment is what processes of one program share.
type Environment struct {
	Logger  *zap.Logger         // nil: JSON lines on standard output
	Dialect tanagerroad.Dialect // of gateways and registrars; nil: neither can run
}

func newProcess(env Environment, common settings.Common, role string, record settings.Diagnostics, st settings.Shutdown) (*Process, error) {
	logger, closeLog := env.Logger, func() {}
	if logger == nil {
		var err error
		if logger, closeLog, err = logline.New(logline.Config{Level: record.Level, Out: os.Stdout}); err != nil {
			return nil, err
		}
	}
	logger = logger.With(zap.String("process", common.Process), zap.String("role", role), zap.String("zone", common.Zone))
	return &Process{
		closeLog:  closeLog,
		Addresses: map[string]string{}, Logger: logger, stopping: st, state: stop.Serving,
		leave: func() {}, reload: func([]byte) error { return nil }, drain: func(context.Context) int { return 0 },
	}, nil
}

func (p *Process) onClose(f func()) { p.closers = append(p.closers, f) }

// openTrace opens the file that decisions are recorded in.
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

// listen serves HTTP with the door's bounds.
func (p *Process) listen(name string, door settings.HTTPListener, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", door.Address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p.serve(name, listener, door, handler), nil
}

// serve serves HTTP on a listener with the door's bounds.
func (p *Process) serve(name string, listener net.Listener, door settings.HTTPListener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: door.HeaderTimeout.Std(), MaxHeaderBytes: int(door.MaxHeader),
		IdleTimeout: idleTimeout, ConnContext: gateway.ConnContext,
	}
	p.Addresses[name] = listener.Addr().String()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.BusFailed.Log(p.Logger, zap.Error(err))
		}
	}()
	return server
}

const idleTimeout = 2 * time.Minute

// operate opens the operator's door.
func (p *Process) operate(config operator.Config) error {
	config.Logger = p.Logger
	address, closeDoor, err := operator.New(config)
	if err != nil {
		return err
	}
	p.Addresses["operator"] = address
	p.onClose(closeDoor)
	return nil
}

func (p *Process) started() {
	event.Started.Log(p.Logger, zap.Any("addresses", p.Addresses))
}

// move follows the chart of a stop.
func (p *Process) move(on string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next, err := stop.Chart.Next(p.state, on)
	if err != nil {
		event.UnexpectedEvent.Log(p.Logger, zap.String("finding", err.Error()))
		return
	}
	p.state = next
	event.StopState.Log(p.Logger, zap.String("state", next))
}

// Serving reports whether no stop has begun.
func (p *Process) Serving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state == stop.Serving
}

// Stop is a planned stop: the process says that it is leaving, finishes what is
// in flight and ends. It returns how much was left at the bound.
func (p *Process) Stop() int {
	event.Stopping.Log(p.Logger)
	p.move(stop.Signal)
	p.leave()
	time.Sleep(p.stopping.Grace.Std())
	p.move(stop.GraceElapsed)
	ctx, cancel := context.WithTimeout(context.Background(), p.stopping.Timeout.Std())
	defer cancel()
	left := p.drain(ctx)
	if left > 0 {
		p.move(stop.DrainTimedOut)
	}
	p.closeAll()
	p.move(stop.Drained)
	event.Stopped.Log(p.Logger, zap.Int("left", left))
	p.closeLog()
	return left
}

// Reload takes what may change while the process runs from settings that were
// read again. Whatever else differs is in force from the next start.
func (p *Process) Reload(data []byte) {
	if err := p.reload(data); err != nil {
		event.ReloadFailed.Log(p.Logger, zap.Error(err))
		return
	}
	event.Reloaded.Log(p.Logger, zap.Int("bytes", len(data)))
}

// SignalAgain notes a further signal, which changes nothing.
func (p *Process) SignalAgain() { p.move(stop.Signal) }

// Close ends the process at once, as its death would.
func (p *Process) Close() {
	p.closeAll()
	p.closeLog()
}

func (p *Process) closeAll() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.closers = nil
}

// fail closes what a constructor had opened.
func (p *Process) fail(err error) (*Process, error) {
	p.Close()
	return nil, err
}

// base is what every role but the stand-in has.
type base struct {
	meter   *peer.Meter
	links   *peer.ConnPool
	metrics metrics.Registry
	clock   tanagerroad.Clock
}

const maxMessage = 16 << 20

func (p *Process) base() base {
	meter := peer.NewMeter()
	links, closeLinks := peer.NewConnPool(meter, maxMessage)
	p.onClose(closeLinks)
	registry := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("control-bytes.in", registry, func() int64 { in, _ := meter.Total(); return in })
	metrics.NewRegisteredFunctionalGauge("control-bytes.out", registry, func() int64 { _, out := meter.Total(); return out })
	return base{meter, links, registry, tanagerroad.NewSystemClock()}
}
