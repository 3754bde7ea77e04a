// Package load generates load for running entries and measures the answers. The
// load is open loop: arrivals do not wait for earlier answers, and latency is
// counted from the time at which a request was scheduled, so that a slow entry
// cannot hide its delay by slowing the arrivals (coordinated omission).
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tanagerroad"
	"tanagerroad/io/caller"
)

// Request is one request to an entry.
type Request struct {
	Route      string
	Workspace  string
	ID         string // request id; empty: the entry generates one
	Body       []byte
	Deadline   time.Duration // time from arrival; 0: the deadline of the route
	Repeatable bool          // whether it may run more than once
	Resend     bool          // whether the same id was sent before
}

// Reply is the response to one request. Verified reports whether the answer was
// complete and its body matched the length and digest that the entry announced.
type Reply struct {
	Status     int
	Kind       tanagerroad.AnswerKind
	Reason     string
	RetryAfter time.Duration
	Body       []byte
	Verified   bool
	FirstByte  time.Duration // time until the response headers arrived
}

// Call sends a request to the entry at base, such as http://127.0.0.1:7100. If the
// response breaks off, Call returns an error with the part that was read.
func Call(ctx context.Context, client *http.Client, base string, r Request) (Reply, error) {
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/routes/"+r.Route, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, fmt.Errorf("call: %w", err)
	}
	request.Header.Set(caller.HeaderWorkspace, r.Workspace)
	if r.ID != "" {
		request.Header.Set(caller.HeaderRequestID, r.ID)
	}
	if r.Deadline > 0 {
		request.Header.Set(caller.HeaderDeadline, r.Deadline.String())
	}
	if !r.Repeatable {
		request.Header.Set(caller.HeaderRepeatable, "false")
	}
	if r.Resend {
		request.Header.Set(caller.HeaderResend, "true")
	}
	response, err := client.Do(request)
	if err != nil {
		return Reply{}, fmt.Errorf("call: %w", err)
	}
	defer response.Body.Close()
	reply := Reply{Status: response.StatusCode, FirstByte: time.Since(start)}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return reply, reply.readStream(response.Body)
	}
	if response.StatusCode == http.StatusOK {
		return reply, reply.readBody(response)
	}
	var summary caller.AnswerSummary
	if err := json.NewDecoder(response.Body).Decode(&summary); err != nil {
		return reply, fmt.Errorf("call: body of a response with status %d: %w", response.StatusCode, err)
	}
	reply.setSummary(summary)
	return reply, nil
}

// setSummary sets the outcome from the summary that ends an answer and verifies
// the body against it.
func (r *Reply) setSummary(summary caller.AnswerSummary) {
	r.Kind, r.Reason = tanagerroad.AnswerKind(summary.Kind), summary.Reason
	r.RetryAfter = time.Duration(summary.RetryAfterMillis) * time.Millisecond
	digest := strconv.FormatUint(xxhash.Sum64(r.Body), 16)
	r.Verified = r.Kind == tanagerroad.AnswerComplete && summary.Length == uint64(len(r.Body)) && summary.Digest == digest
}

// readBody reads an answer that is not streamed. Its summary is in the headers.
func (r *Reply) readBody(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	r.Body = body
	length, _ := strconv.ParseUint(response.Header.Get("Content-Length"), 10, 64)
	r.setSummary(caller.AnswerSummary{
		Kind: response.Header.Get(caller.HeaderAnswerKind), Length: length, Digest: response.Header.Get(caller.HeaderAnswerDigest),
	})
	return nil
}

// readStream reads server-sent events until the end event. A stream without one
// was interrupted, which is an error.
func (r *Reply) readStream(body io.Reader) error {
	lines := bufio.NewReader(body)
	var name string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return fmt.Errorf("call: stream ended without an end event after %d bytes: %w", len(r.Body), err)
		}
		line = strings.TrimRight(line, "\n")
		if value, ok := strings.CutPrefix(line, "event: "); ok {
			name = value
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if name == "end" {
			var summary caller.AnswerSummary
			if err := json.Unmarshal([]byte(data), &summary); err != nil {
				return fmt.Errorf("call: end event: %w", err)
			}
			r.setSummary(summary)
			return nil
		}
		var text string
		if err := json.Unmarshal([]byte(data), &text); err != nil {
			return fmt.Errorf("call: data event: %w", err)
		}
		r.Body = append(r.Body, text...)
	}
}
