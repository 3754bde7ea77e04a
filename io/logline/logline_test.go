package logline_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"tanagerroad/core/event"
	"tanagerroad/io/logline"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestBlockedOutput: neither logging nor closing the logger may block when the output
// is not read.
func TestBlockedOutput(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	defer close(out.release)
	logger, closeLog, err := logline.New(logline.Config{Level: "info", Out: out})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20000 {
			event.Refused.Log(logger, zap.String("request", strings.Repeat("x", 100)))
		}
		closeLog()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging or closing blocked on the output")
	}
}

// buffer is a bytes.Buffer with synchronized writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestRateLimit: lines beyond the rate limit are dropped and counted, and warnings are
// never dropped by it.
func TestRateLimit(t *testing.T) {
	var out buffer
	logger, closeLog, err := logline.New(logline.Config{Level: "info", Out: &out})
	if err != nil {
		t.Fatal(err)
	}
	const sent = 3000
	for range sent {
		event.Answered.Log(logger)
	}
	event.NotRouted.Log(logger)
	closeLog()
	lines, dropped, warned := 0, 0, false
	for line := range strings.Lines(out.b.String()) {
		var l struct {
			Msg   string
			Lines int
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch l.Msg {
		case event.Answered.Name:
			lines++
		case event.LinesDropped.Name:
			dropped += l.Lines
		case event.NotRouted.Name:
			warned = true
		}
	}
	if lines+dropped != sent || dropped == 0 || !warned {
		t.Errorf("%d lines written and %d counted as dropped of %d; warning written: %v", lines, dropped, sent, warned)
	}
}
