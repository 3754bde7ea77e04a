// Package logline writes a process's log to its standard output without ever
// making the process wait: lines are queued and written together, and those
// beyond the bounds are left out and counted.
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
	// queueBytes bounds what waits to be written.
	queueBytes = 512 << 10
	// writeEvery gathers lines into one write.
	writeEvery = 100 * time.Millisecond
	// linesASecond bounds the volume; warnings and errors do not count.
	linesASecond = 600
	// closePatience is how long the last lines may take.
	closePatience = 300 * time.Millisecond
)

// Config is where lines go.
type Config struct {
	Level string // lowest level logged
	Out   io.Writer
}

// sink queues lines for its one writer.
type sink struct {
	out     io.Writer
	mu      sync.Mutex
	queue   []byte
	dropped int
	wake    chan struct{}
}

// New returns a logger of JSON lines and the function that writes what still
// waits.
func New(config Config) (*zap.Logger, func(), error) {
	lowest, err := zapcore.ParseLevel(config.Level)
	if err != nil {
		return nil, nil, fmt.Errorf("log level: %w", err)
	}
	s := &sink{out: config.Out, wake: make(chan struct{}, 1)}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder.EncodeDuration = zapcore.StringDurationEncoder
	core := &bounded{Core: zapcore.NewCore(zapcore.NewJSONEncoder(encoder), s, lowest), counter: &counter{sink: s}}
	logger := zap.New(core)
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		s.run(done, logger)
	}()
	var once sync.Once
	return logger, func() {
		once.Do(func() { close(done) })
		select {
		case <-ended:
		case <-time.After(closePatience): // nobody reads
		}
	}, nil
}

// Write queues a line.
func (s *sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue)+len(line) > queueBytes {
		s.dropped++
		return len(line), nil
	}
	s.queue = append(s.queue, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: a line that was taken is written soon.
func (s *sink) Sync() error { return nil }

func (s *sink) run(done <-chan struct{}, logger *zap.Logger) {
	for {
		select {
		case <-done:
			s.flush(logger)
			return
		case <-s.wake:
		}
		select {
		case <-done:
		case <-time.After(writeEvery):
		}
		s.flush(logger)
	}
}

func (s *sink) flush(logger *zap.Logger) {
	s.mu.Lock()
	dropped := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if dropped > 0 {
		event.LinesDropped.Log(logger, zap.Int("lines", dropped))
	}
	s.mu.Lock()
	lines := s.queue
	s.queue = nil
	s.mu.Unlock()
	_, _ = s.out.Write(lines) // there is nowhere else to say it
}

// counter bounds the lines of one second.
type counter struct {
	sink   *sink
	mu     sync.Mutex
	second int64
	lines  int
}

func (c *counter) allow(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := at.Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	c.lines++
	return c.lines <= linesASecond
}

// bounded is a core that leaves lines out beyond the bound.
type bounded struct {
	zapcore.Core
	counter *counter
}

// With adds fields to all lines.
func (b *bounded) With(fields []zapcore.Field) zapcore.Core {
	return &bounded{b.Core.With(fields), b.counter}
}

// Check takes part in a line that the bound allows.
func (b *bounded) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) {
		return checked
	}
	if entry.Level < zapcore.WarnLevel && !b.counter.allow(entry.Time) {
		b.counter.sink.mu.Lock()
		b.counter.sink.dropped++
		b.counter.sink.mu.Unlock()
		return checked
	}
	return checked.AddCore(entry, b)
}
