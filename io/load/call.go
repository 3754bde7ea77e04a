// Package load sends requests to running entries and measures what comes back:
// open loop, so that arrivals do not wait for answers, with latency counted
// from the moment a request was meant to be sent.
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
	ID         string // empty: the entry makes one
	Body       []byte
	Deadline   time.Duration // 0: the route's
	Repeatable bool
	Resend     bool // the same id was sent before
}

// Reply is what came back. Whole says that the answer was complete and matched
// its announced length and digest.
type Reply struct {
	Status     int
	Kind       tanagerroad.AnswerKind
	Reason     string
	RetryAfter time.Duration
	Body       []byte
	Whole      bool
	FirstByte  time.Duration
}

// Call sends a request to the entry at base, such as http://127.0.0.1:7100.
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
		return reply, reply.stream(response.Body)
	}
	if response.StatusCode == http.StatusOK {
		return reply, reply.body(response)
	}
	var ended caller.AnswerSummary
	if err := json.NewDecoder(response.Body).Decode(&ended); err != nil {
		return reply, fmt.Errorf("call: an answer with status %d that is no JSON: %w", response.StatusCode, err)
	}
	reply.close(ended)
	return reply, nil
}

func (r *Reply) close(ended caller.AnswerSummary) {
	r.Kind, r.Reason = tanagerroad.AnswerKind(ended.Kind), ended.Reason
	r.RetryAfter = time.Duration(ended.RetryAfterMillis) * time.Millisecond
	digest := strconv.FormatUint(xxhash.Sum64(r.Body), 16)
	r.Whole = r.Kind == tanagerroad.AnswerComplete && ended.Length == uint64(len(r.Body)) && ended.Digest == digest
}

func (r *Reply) body(response *http.Response) error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	r.Body = body
	length, _ := strconv.ParseUint(response.Header.Get("Content-Length"), 10, 64)
	r.close(caller.AnswerSummary{
		Kind: response.Header.Get(caller.HeaderAnswerKind), Length: length, Digest: response.Header.Get(caller.HeaderAnswerDigest),
	})
	return nil
}

// stream reads server-sent events until the end event. A stream without one
// was cut.
func (r *Reply) stream(body io.Reader) error {
	lines := bufio.NewReader(body)
	var name string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return fmt.Errorf("call: the stream was cut after %d bytes: %w", len(r.Body), err)
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
			var ended caller.AnswerSummary
			if err := json.Unmarshal([]byte(data), &ended); err != nil {
				return fmt.Errorf("call: end of stream: %w", err)
			}
			r.close(ended)
			return nil
		}
		var text string
		if err := json.Unmarshal([]byte(data), &text); err != nil {
			return fmt.Errorf("call: event: %w", err)
		}
		r.Body = append(r.Body, text...)
	}
}
