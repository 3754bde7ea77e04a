package batch_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerroad"
	"tanagerroad/core/batch"
)

// TestRepeatedAnswers guards against an answer that is taken for that of another call, and
// against one that is refused though it is the call's own.
func TestRepeatedAnswers(t *testing.T) {
	server := tanagerroad.Announcement{ID: "s", Pool: "p", Address: "s:1", Zone: "z", StartMillis: 1}
	p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 4, CallTime: time.Millisecond, PieceTime: time.Millisecond})
	p.SetServers(0, []tanagerroad.Announcement{server})
	call := func(start int64, request string, stage int) *batch.Call {
		s := server
		s.StartMillis = start
		return &batch.Call{Server: s, Pieces: []*batch.Piece{{Job: &batch.Job{Request: request, Stage: stage}}}}
	}
	for _, c := range []struct {
		what   string
		at     time.Duration
		call   *batch.Call
		handle string
		want   bool
	}{
		{"the first answer", 0, call(1, "a", 0), "h1", false},
		{"its copy, for another request", time.Second, call(1, "b", 0), "h1", true},
		{"its copy, for another stage", time.Second, call(1, "a", 1), "h1", true},
		{"the piece made again, under the same handle", time.Second, call(1, "a", 0), "h1", false},
		{"another result", 2 * time.Second, call(1, "b", 0), "h2", false},
		{"failures, which name no result", 2 * time.Second, call(1, "b", 1), "", false},
		{"failures again", 2 * time.Second, call(1, "c", 1), "", false},
		{"the answer to a call of an earlier start", 3 * time.Second, call(0, "c", 0), "h2", false},
		{"a copy after 14 s", 16 * time.Second, call(1, "c", 0), "h2", true},
		{"a copy after 16 s", 18 * time.Second, call(1, "c", 0), "h2", false},
	} {
		if got := p.IsRepeated(c.at, c.call, []tanagerroad.PieceOutcome{{Handle: c.handle}}); got != c.want {
			t.Errorf("%s: repeated %t, want %t", c.what, got, c.want)
		}
	}
}

// BenchmarkRepeatedAnswers measures an answer with 58 results behind 15 s of such answers.
func BenchmarkRepeatedAnswers(b *testing.B) {
	p := batch.New(tanagerroad.PieceTraits{Slots: 1, MaxBatch: 58, CallTime: time.Millisecond, PieceTime: time.Millisecond})
	server := tanagerroad.Announcement{ID: "s", Pool: "p", Address: "s:1", Zone: "z"}
	p.SetServers(0, []tanagerroad.Announcement{server})
	job := &batch.Job{Request: "a"}
	c := &batch.Call{Server: server}
	outcomes := make([]tanagerroad.PieceOutcome, 58)
	for i := range outcomes {
		c.Pieces = append(c.Pieces, &batch.Piece{Job: job, Index: i})
	}
	at, n := time.Duration(0), 0
	for b.Loop() {
		for i := range outcomes {
			outcomes[i].Handle = fmt.Sprintf("10.1.64.7:8080/%d", n)
			n++
		}
		at += 450 * time.Millisecond
		p.IsRepeated(at, c, outcomes)
	}
}
