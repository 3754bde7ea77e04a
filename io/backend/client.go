// Package backend is the sidecar: it hears its backend server announce itself,
// runs attempts there over HTTP, keeps their results until they are fetched,
// and answers entries over gRPC. What runs when, and what may be said of it,
// is decided by package core/stage.
//
// The protocol towards backend servers is documented in docs/BACKEND.md.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/core/table"
)

// Headers of the protocol towards backend servers.
const (
	HeaderRequest   = "Request-Id"
	HeaderExecution = "Execution-Id" // of the attempt; a stream is resumed by it
	HeaderStage     = "Stage"
	HeaderAttempt   = "Attempt"
	HeaderWorkspace = "Workspace"
	HeaderModel     = "Model"
	HeaderBudget    = "Budget-Ms"     // time left until the deadline
	HeaderNotRun    = "Not-Run"       // on a refusal: nothing ran
	HeaderDigest    = "Result-Digest" // xxhash64 of the result, hexadecimal
)

// Paths of the protocol towards backend servers.
const (
	PathRun      = "/run"      // POST: a plain service's call
	PathGenerate = "/generate" // POST: a model engine's stream of server-sent events
	PathStreams  = "/streams"  // GET ?attempt=&from= resumes, DELETE ?attempt= cancels
	PathLive     = "/live"
)

// StreamEnd is the data of a stream's last event, named end.
type StreamEnd struct {
	Length uint64 `json:"length"`
	Digest string `json:"digest"` // xxhash64 of all data, hexadecimal
}

// fate says how a call ended.
type fate int

const (
	whole   fate = iota
	refused      // nothing ran
	failed       // it ran and failed
	lost         // it may have run
)

// outcome is how one call ended.
type outcome struct {
	fate   fate
	reason string
	gone   bool // the backend server itself is gone
}

// call is one attempt to be run at the backend server.
type call struct {
	key       tanagerroad.AttemptKey
	requestID string // the caller's
	workspace string
	model     string
	kind      string // of the pool
	input     []byte
	once      bool
	budget    time.Duration
}

// client calls one backend server.
type client struct {
	address string
	silence time.Duration
	maxBody int64
	resumes int
	kept    *http.Client // connections are reused
	fresh   *http.Client // a connection for each call
}

const dialTimeout = 2 * time.Second

func newClient(address string, silence time.Duration, maxBody int64, resumes int) *client {
	transport := func(keep bool) *http.Client {
		return &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableKeepAlives:   !keep,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
		}}
	}
	return &client{
		address: address, silence: silence, maxBody: maxBody, resumes: resumes,
		kept: transport(true), fresh: transport(false),
	}
}

func (c *client) close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// onlyReader hides the type of a body, so that net/http can make no second
// copy of it and so can never send a request twice by itself.
type onlyReader struct{ io.Reader }

func (c *client) request(ctx context.Context, k call, path string) (*http.Request, error) {
	body := onlyReader{bytes.NewReader(k.input)}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(k.input))
	if len(k.input) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set(HeaderRequest, k.requestID)
	request.Header.Set(HeaderExecution, k.key.Request)
	request.Header.Set(HeaderStage, strconv.Itoa(k.key.Stage))
	request.Header.Set(HeaderAttempt, strconv.Itoa(k.key.Attempt))
	request.Header.Set(HeaderWorkspace, k.workspace)
	request.Header.Set(HeaderBudget, strconv.FormatInt(k.budget.Milliseconds(), 10))
	if k.model != "" {
		request.Header.Set(HeaderModel, k.model)
	}
	return request, nil
}

// run makes the call and hands every piece of its result to take, in order. A
// call that is not repeatable gets a connection of its own: one that was kept
// open may be dead, and whether a call on it ran would not be known.
func (c *client) run(ctx context.Context, k call, take func([]byte)) outcome {
	if k.kind == table.ModelEngine {
		return c.generate(ctx, k, take)
	}
	return c.plain(ctx, k, take)
}

func (c *client) via(k call) *http.Client {
	if k.once {
		return c.fresh
	}
	return c.kept
}

func (c *client) plain(ctx context.Context, k call, take func([]byte)) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(max(c.silence, k.budget), cancel)
	defer quiet.Stop()
	request, err := c.request(ctx, k, PathRun)
	if err != nil {
		return outcome{fate: refused, reason: err.Error()}
	}
	response, err := c.via(k).Do(request)
	if err != nil {
		return c.broken(ctx, err)
	}
	defer response.Body.Close()
	if end, bad := refusal(response); bad {
		return end
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, c.maxBody+1))
	if err != nil {
		return c.broken(ctx, err)
	}
	if int64(len(body)) > c.maxBody {
		return outcome{fate: failed, reason: fmt.Sprintf("the result is larger than %d bytes", c.maxBody)}
	}
	if want := response.Header.Get(HeaderDigest); want != "" && want != hexDigest(xxhash.Sum64(body)) {
		return outcome{fate: failed, reason: "the result does not match its digest"}
	}
	take(body)
	return outcome{fate: whole}
}

func hexDigest(d uint64) string { return strconv.FormatUint(d, 16) }

// refusal reads a status that is not 200.
func refusal(response *http.Response) (outcome, bool) {
	switch {
	case response.StatusCode == http.StatusOK:
		return outcome{}, false
	case response.Header.Get(HeaderNotRun) == "true":
		return outcome{fate: refused, reason: response.Status}, true
	}
	return outcome{fate: failed, reason: "the backend server answered " + response.Status}, true
}

// broken tells from an error, and from a new connection, what became of the
// backend server.
func (c *client) broken(ctx context.Context, err error) outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome{fate: refused, reason: err.Error(), gone: !c.alive()}
	}
	return outcome{fate: lost, reason: err.Error(), gone: ctx.Err() == nil && !c.alive()}
}

const liveTimeout = 500 * time.Millisecond

// alive asks over a new connection whether the backend server answers.
func (c *client) alive() bool {
	ctx, cancel := context.WithTimeout(context.Background(), liveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathLive, nil)
	if err != nil {
		return false
	}
	response, err := c.fresh.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

// generate reads a model engine's stream and resumes it where it broke.
func (c *client) generate(ctx context.Context, k call, take func([]byte)) outcome {
	s := &stream{client: c, call: k, take: take, hash: xxhash.New()}
	end := s.open(ctx, func(ctx context.Context) (*http.Request, error) { return c.request(ctx, k, PathGenerate) })
	for try := 0; end.fate == lost && !end.gone && try < c.resumes && ctx.Err() == nil; try++ {
		end = s.open(ctx, s.resume)
	}
	return end
}

func (c *client) streamURL(key tanagerroad.AttemptKey, from uint64) string {
	query := url.Values{"attempt": {key.String()}, "from": {strconv.FormatUint(from, 10)}}
	return "http://" + c.address + PathStreams + "?" + query.Encode()
}

// cancel tells a model engine that nobody wants the stream any more.
func (c *client) cancel(key tanagerroad.AttemptKey) {
	ctx, done := context.WithTimeout(context.Background(), liveTimeout)
	defer done()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.streamURL(key, 0), nil)
	if err != nil {
		return
	}
	if response, err := c.kept.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// stream is one model engine's answer, over one connection or several.
type stream struct {
	client *client
	call   call
	take   func([]byte)
	have   uint64
	hash   *xxhash.Digest
}

func (s *stream) resume(ctx context.Context) (*http.Request, error) {
	return http.NewRequestWithContext(ctx, http.MethodGet, s.client.streamURL(s.call.key, s.have), nil)
}

func (s *stream) open(ctx context.Context, make func(context.Context) (*http.Request, error)) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(s.client.silence, cancel)
	defer quiet.Stop()
	request, err := make(ctx)
	if err != nil {
		return outcome{fate: refused, reason: err.Error()}
	}
	response, err := s.client.via(s.call).Do(request)
	if err != nil {
		return s.client.broken(ctx, err)
	}
	defer response.Body.Close()
	if end, bad := refusal(response); bad {
		return end
	}
	return s.read(ctx, response.Body, quiet)
}

const readBuffer = 32 << 10

// read takes server-sent events until the end event.
func (s *stream) read(ctx context.Context, body io.Reader, quiet *time.Timer) outcome {
	lines := bufio.NewReaderSize(body, readBuffer)
	var name, id, data string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return s.client.broken(ctx, err)
		}
		quiet.Reset(s.client.silence)
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "event: "):
			name = line[len("event: "):]
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data = line[len("data: "):]
		case line == "" && name == "end":
			return s.finish(data)
		case line == "" && data != "":
			if end, bad := s.piece(id, data); bad {
				return end
			}
			name, id, data = "", "", ""
		}
	}
}

// piece takes one event's data, whose id is its offset in the result.
func (s *stream) piece(id, data string) (outcome, bool) {
	offset, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return outcome{fate: failed, reason: "an event without its offset"}, true
	}
	var text string
	if err := json.Unmarshal([]byte(data), &text); err != nil {
		return outcome{fate: failed, reason: "an event that is no JSON string"}, true
	}
	end := offset + uint64(len(text))
	switch {
	case offset > s.have:
		return outcome{fate: lost, reason: "a gap in the stream"}, true
	case end <= s.have:
		return outcome{}, false // had it before the stream was resumed
	case end > uint64(s.client.maxBody):
		return outcome{fate: failed, reason: "the result is too large"}, true
	}
	fresh := []byte(text)[s.have-offset:]
	_, _ = s.hash.Write(fresh) // never fails
	s.have = end
	s.take(fresh)
	return outcome{}, false
}

func (s *stream) finish(data string) outcome {
	var end StreamEnd
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return outcome{fate: failed, reason: "an end event that is no JSON"}
	}
	if end.Length != s.have {
		return outcome{fate: lost, reason: "the end came before all of it"}
	}
	if end.Digest != hexDigest(s.hash.Sum64()) {
		return outcome{fate: failed, reason: "the result does not match its digest"}
	}
	return outcome{fate: whole}
}
