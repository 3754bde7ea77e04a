// Package httpserver limits what the callers of an HTTP server can make it hold: the number
// of connections, the bytes and fields of a request's head, and the bytes of its body are
// reserved in the memory account of the process before they are read.
package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/memory"
)

const (
	// maxFields is the maximum number of fields of a head. A head of 16 KiB can have 4,000,
	// which net/http holds in a map of hundreds of kilobytes.
	maxFields = 256
	// headFactor is the memory that a head takes while it is parsed, in multiples of its size.
	headFactor = 3
	// fieldBytes is what a field of a head takes in addition, in bytes.
	fieldBytes = 128
	// requestBytes is what a request takes besides its head and body: contexts, stacks, and
	// the buffers of the connection to a backend server.
	requestBytes = 20 << 10
	// unreadTimeout is how long the server waits for the rest of a body that no handler reads.
	unreadTimeout = 200 * time.Millisecond
	// progressTimeout is how long a caller may take to read any of an answer, if its handler
	// sets no deadline.
	progressTimeout = 10 * time.Second
	// sendSize is the number of bytes that are written at once, so that progress shows.
	sendSize = 32 << 10
	// freePipelined is how many requests a caller may send before the answers to earlier ones
	// without being slowed down by pipelineDelay for each further one. Few callers pipeline,
	// and one that sends thousands of requests that are cheap to refuse takes the processor
	// from all others.
	freePipelined = 8
	pipelineDelay = 100 * time.Millisecond
	// retryAfter is sent when the account is full. Memory is free again after a stall time.
	retryAfter = "1"
	// reportInterval is the shortest time between two log lines about a full account.
	reportInterval = time.Second
)

// Config holds the dependencies of a limiter.
type Config struct {
	Account *memory.Account
	Clock   tanagerroad.Clock
	Logger  *zap.Logger
	Metrics metrics.Registry
}

// Limiter applies the memory account of a process to its HTTP servers.
type Limiter struct {
	Config
	reported atomic.Int64 // time of the latest log line, as a time.Duration
	rejected metrics.Counter
}

// NewLimiter returns a limiter, and registers the metrics of its account.
func NewLimiter(config Config) *Limiter {
	l := &Limiter{Config: config, rejected: metrics.GetOrRegisterCounter("memory.heads-rejected", config.Metrics)}
	l.reported.Store(int64(-reportInterval))
	gauge := func(name string, read func() int64) {
		metrics.NewRegisteredFunctionalGauge("memory."+name, config.Metrics, read)
	}
	gauge("capacity", config.Account.Capacity)
	gauge("refused", func() int64 { return config.Account.Counts().Refused })
	gauge("dropped", func() int64 { return config.Account.Counts().Dropped })
	for _, use := range memory.Uses {
		gauge("used."+use.String(), func() int64 { return config.Account.Used(use) })
	}
	return l
}

// Limits are the limits of one listener.
type Limits struct {
	Name           string // in metrics
	MaxConnections int
	// Exempt listeners are served also when the account is full.
	Exempt bool
	// BodyTimeout is how long handlers that read bodies by themselves have for that. Others
	// use ReadBody; 0: none reads bodies by itself.
	BodyTimeout time.Duration
}

// Apply limits what server holds for its callers, and returns the listener to serve on.
func (l *Limiter) Apply(server *http.Server, inner net.Listener, limits Limits) net.Listener {
	accounts := l.Account.NewListener(limits.MaxConnections, limits.Exempt)
	metrics.NewRegisteredFunctionalGauge("connections."+limits.Name, l.Metrics, func() int64 { return int64(accounts.Connections()) })
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.startIdle()
		}
	}
	server.Handler = l.limit(server.Handler, max(limits.BodyTimeout, unreadTimeout))
	return &listener{Listener: inner, limiter: l, accounts: accounts}
}

// limit wraps a handler so that the account knows of its requests.
func (l *Limiter) limit(next http.Handler, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := ConnOf(r)
		if conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength != 0 {
			// The server reads on to the end of a body before it answers, without any limit
			// in time unless one is set.
			_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		}
		switch err := conn.startRequest(r); {
		case errors.Is(err, memory.ErrDropped):
			panic(http.ErrAbortHandler)
		case err != nil:
			RefuseFull(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// RefuseFull sets the headers of an answer that says that there is no memory for a request.
func RefuseFull(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
	w.Header().Set("Connection", "close") // its body is not read
}

// report logs that connections are dropped or requests refused, at most once per
// reportInterval.
func (l *Limiter) report() {
	now, last := l.Clock.Now(), l.reported.Load()
	if now-time.Duration(last) < reportInterval || !l.reported.CompareAndSwap(last, int64(now)) {
		return
	}
	counts := l.Account.Counts()
	fields := []zap.Field{zap.Int64("dropped", counts.Dropped), zap.Int64("refused", counts.Refused), zap.Int64("capacity", l.Account.Capacity())}
	for _, use := range memory.Uses {
		fields = append(fields, zap.Int64(use.String(), l.Account.Used(use)))
	}
	event.MemoryFull.Log(l.Logger, fields...)
}

// listener accepts the connections that the account has room for.
type listener struct {
	net.Listener
	limiter  *Limiter
	accounts *memory.Listener
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address, _, _ := net.SplitHostPort(inner.RemoteAddr().String()) // empty: counted as one address
		conn := &Conn{Conn: inner, limiter: l.limiter}
		conn.inHead.Store(true)
		conn.holder, err = l.accounts.Open(l.limiter.Clock.Now(), address, conn.drop)
		if err == nil {
			return conn, nil
		}
		_ = inner.Close() // nothing was read
		l.limiter.report()
	}
}

type connKey struct{}

// ConnOf returns the connection of a request, or nil if its server is not limited.
func ConnOf(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}
