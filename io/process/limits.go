package process

import (
	"runtime/debug"
	"syscall"
	"time"

	"tanagerroad/core/memory"
	"tanagerroad/io/httpserver"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is given to
	// the Go runtime as its soft limit, above which it collects garbage more often. The
	// rest is for code and buffers of the operating system.
	memoryLimitFraction = 0.7
	// gatewayAccountFraction and controlAccountFraction are the fractions of the memory limit
	// that callers may take. The collector needs half as much again to run seldom, and the
	// state of a control instance takes up to half of the smallest limit.
	gatewayAccountFraction = 0.3
	controlAccountFraction = 0.15
	// connectionShare is the fraction of the account that the connections of callers may take.
	connectionShare = 0.75
	// descriptorShare is the fraction of the process's descriptors that callers may take: a
	// request needs another one to its backend server.
	descriptorShare = 0.5
	// maxExemptConnections limits the connections of operators and readiness checks.
	maxExemptConnections = 256
	// operatorBodyTimeout limits how long an operator may take to send a body.
	operatorBodyTimeout = 10 * time.Second
)

// limitMemory sets the limit of the Go runtime, and creates the account of what callers
// take, from the process's memory limit in bytes. It must be called before serve.
func (p *Process) limitMemory(deps commonDeps, limit int64, accountFraction float64) {
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(limit)))
	p.limiter = httpserver.NewLimiter(httpserver.Config{
		Account: memory.New(memory.DefaultConfig(int64(accountFraction * float64(limit)))),
		Clock:   deps.clock, Logger: p.Logger, Metrics: deps.metrics,
	})
}

// limits returns the limits of a listener.
func (p *Process) limits(name string) httpserver.Limits {
	switch name {
	case "operator":
		return httpserver.Limits{Name: name, MaxConnections: maxExemptConnections, Exempt: true, BodyTimeout: operatorBodyTimeout}
	case "ready":
		return httpserver.Limits{Name: name, MaxConnections: maxExemptConnections, Exempt: true}
	}
	capacity := p.limiter.Account.Capacity()
	connections := int(connectionShare * float64(capacity) / float64(memory.DefaultConfig(capacity).ConnectionBytes))
	var descriptors syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &descriptors); err == nil {
		connections = min(connections, int(descriptorShare*float64(descriptors.Cur)))
	}
	return httpserver.Limits{Name: name, MaxConnections: max(1, connections)}
}
