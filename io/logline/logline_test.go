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

// stuck is an output that nobody reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestNobodyReads: logging and closing go on when the output is stuck.
func TestNobodyReads(t *testing.T) {
	out := stuck{make(chan struct{})}
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
		t.Fatal("logging waits for its reader")
	}
}

// buffer is an output that may be read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestVolumeIsBounded: what is left out is counted, warnings are not left out.
func TestVolumeIsBounded(t *testing.T) {
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
		t.Errorf("%d written and %d counted of %d, warned %v", lines, dropped, sent, warned)
	}
}
