package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// stage is what a case plays on: a deployment, and the record of what is seen.
type stage struct {
	deployment
	dir     string
	trouble bool
	began   time.Time
	ctx     context.Context
	end     context.CancelFunc
	http    *http.Client

	mu     sync.Mutex // guards record and broken
	record *os.File
	broken map[string]int // what broke a rule, with how often
}

// maxLength bounds a case, which has 120 s.
const maxLength = 116 * time.Second

func newStage(dir, recordPath string, trouble bool) (*stage, error) {
	data, err := os.ReadFile(filepath.Join(dir, deploymentFile))
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &stage{dir: dir, trouble: trouble, began: time.Now(), record: record, broken: map[string]int{}}
	s.ctx, s.end = context.WithCancel(context.Background())
	time.AfterFunc(maxLength, func() {
		s.logf("NOT RUN in time")
		os.Exit(exitNotRun)
	})
	// Connections are not reused, so that nothing is sent twice by the client library.
	s.http = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return s, json.Unmarshal(data, &s.deployment)
}

func (s *stage) close() {
	s.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Close()
}

// logf adds a line to the record.
func (s *stage) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f ", time.Since(s.began).Seconds())
	fmt.Fprintf(s.record, format+"\n", args...)
}

// breaks records that something seen breaks a rule.
func (s *stage) breaks(what, format string, args ...any) {
	s.logf("BREAKS "+what+": "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[what]++
}

func (s *stage) brokenCount(what string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken[what]
}

// verdict returns the exit code: the rule is broken if what was seen more than allowed times.
func (s *stage) verdict(what string, allowed int) int {
	n := s.brokenCount(what)
	code := exitHeld
	if n > allowed {
		code = exitBroken
	}
	s.logf("VERDICT %s: seen %d times, allowed %d, exit %d", what, n, allowed, code)
	fmt.Printf("%s: seen %d times, allowed %d, exit %d\n", what, n, allowed, code)
	return code
}

// notRun records why the case could not run.
func (s *stage) notRun(format string, args ...any) int {
	s.logf("NOT RUN "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	return exitNotRun
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// post sends a call to a control instance and returns its status, 0 if none came in time.
func (s *stage) post(address, path string, body []byte, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	res, err := s.http.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body) // only the status counts
	return res.StatusCode
}

// putConfig sends a configuration until it is acknowledged.
func (s *stage) putConfig(config map[string]any) bool {
	body, err := json.Marshal(config)
	if err != nil {
		return false
	}
	for i := range 100 {
		if s.post(s.Controls[i%len(s.Controls)], pathConfig, body, time.Second) == http.StatusOK {
			s.logf("operator: version %v acknowledged", config["version"])
			return true
		}
		s.sleep(200 * time.Millisecond)
	}
	return false
}

// awaitReady waits until all gateways say that they are ready.
func (s *stage) awaitReady() bool {
	for range 150 {
		ready := 0
		for _, address := range s.Ready {
			request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address+pathReady, nil)
			if err != nil {
				return false
			}
			if res, err := s.http.Do(request); err == nil {
				if res.StatusCode == http.StatusOK {
					ready++
				}
				_ = res.Body.Close()
			}
		}
		if ready == len(s.Ready) {
			s.logf("all %d gateways are ready", ready)
			return true
		}
		s.sleep(100 * time.Millisecond)
	}
	return false
}

// sleep waits, unless the stage ends before.
func (s *stage) sleep(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}

// limits is the part of a configuration that all cases share.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

const (
	apiKey = "9dnn2ctnfzs989anu6ws"
	tenant = "bozi300"
)

// newConfig returns a configuration with a tenant.
func newConfig(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "limits": limits,
		"tenants": []map[string]any{{"name": tenant, keyKeys: []string{apiKey}, "priority": 1}},
	}
}
