// Package logline writes a process's log as JSON lines without ever blocking the
// process: lines are queued and written in batches, and those that exceed the queue
// or the rate limit are dropped and counted.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tanagerroad/core/event"
)

const (
	// maxQueueBytes limits the size of the queued lines.
	maxQueueBytes = 512 << 10
	// writeInterval is how long lines are collected for one write.
	writeInterval = 100 * time.Millisecond
	// maxLinesPerSecond is the rate limit; warnings and errors are exempt.
	maxLinesPerSecond = 600
	// closeTimeout limits how long closing waits for the last lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Config configures a logger.
type Config struct {
	Level string // lowest level logged, such as "info"
	Out   io.Writer
}

// queueWriter queues lines, which run writes to out.
type queueWriter struct {
	out     io.Writer
	mu      sync.Mutex
	queue   []byte
	dropped int           // lines since the last flush, also those beyond the rate limit
	wake    chan struct{} // has an element when queue is not empty
}

// New returns a logger and a function that writes the lines still queued. Lines
// logged after that function was called may be lost.
func New(config Config) (*zap.Logger, func(), error) {
	level, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level: %w", err)
	}
	w := &queueWriter{out: config.Out, wake: make(chan struct{}, 1)}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := &limitedCore{Core: zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, level), limiter: &rateLimiter{queue: w}}
	logger := zap.New(core)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.run(done, logger)
	}()
	var once sync.Once
	return logger, func() {
		once.Do(func() { close(done) })
		select {
		case <-ended:
		case <-time.After(closeTimeout): // out is blocked
		}
	}, nil
}

// Write queues a line, or drops it if the queue is full. It never fails.
func (w *queueWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue)+len(line) > maxQueueBytes {
		w.dropped++
		return len(line), nil
	}
	w.queue = append(w.queue, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: a queued line is written soon anyway.
func (w *queueWriter) Sync() error { return nil }

// run writes the queued lines every writeInterval, and a last time when done closes.
func (w *queueWriter) run(done <-chan struct{}, logger *zap.Logger) {
	for {
		select {
		case <-done:
			w.flush(logger)
			return
		case <-w.wake:
		}
		select {
		case <-done:
		case <-time.After(writeInterval):
		}
		w.flush(logger)
	}
}

// flush writes the queued lines, after a line with the number of those dropped.
func (w *queueWriter) flush(logger *zap.Logger) {
	w.mu.Lock()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		event.LinesDropped.Log(logger, zap.Int("lines", dropped))
	}
	w.mu.Lock()
	lines := w.queue
	w.queue = nil
	w.mu.Unlock()
	_, _ = w.out.Write(lines) // an error has nowhere to be reported
}

// rateLimiter limits the number of lines in each second of the clock.
type rateLimiter struct {
	queue  *queueWriter
	mu     sync.Mutex
	second int64
	lines  int
}

// allow counts a line logged at a time and reports whether it is within the limit.
func (l *rateLimiter) allow(at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := at.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxLinesPerSecond
}

// limitedCore is a zapcore.Core that drops lines beyond the rate limit.
type limitedCore struct {
	zapcore.Core
	limiter *rateLimiter
}

// With returns a core that adds fields to every line and shares the rate limit.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{c.Core.With(fields), c.limiter}
}

// Check adds the core to an entry that is to be logged. Warnings and errors are not
// subject to the rate limit.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !c.limiter.allow(entry.Time) {
		c.limiter.queue.mu.Lock()
		c.limiter.queue.dropped++
		c.limiter.queue.mu.Unlock()
		return checked
	}
	return checked.AddCore(entry, c)
}
