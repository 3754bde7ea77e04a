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
	call := func(request string, stage int) *batch.Call {
		job := &batch.Job{Request: request, Stage: stage}
		return &batch.Call{Pieces: []*batch.Piece{{Job: job}, {Job: job, Index: 1}}}
	}
	first, other := &batch.Answers{}, &batch.Answers{}
	for i, c := range []struct {
		what    string
		at      time.Duration
		conn    *batch.Answers
		call    *batch.Call
		handles [2]string
		want    batch.Match
	}{
		{"the first answer", 0, first, call("a", 0), [2]string{"h1"}, batch.Own},
		{"its copy, for another request", time.Second, first, call("b", 0), [2]string{"h1"}, batch.Repeated},
		{"its copy, for another stage", time.Second, first, call("a", 1), [2]string{"h1"}, batch.Repeated},
		{"its result, in another place", time.Second, first, call("a", 0), [2]string{"", "h1"}, batch.Repeated},
		{"its result, beside another one", time.Second, first, call("b", 0), [2]string{"h0", "h1"}, batch.Repeated},
		{"the piece made again, under the same handle", time.Second, first, call("a", 0), [2]string{"h1"}, batch.Unproved},
		{"the same, beside another result", time.Second, first, call("a", 0), [2]string{"h1", "h3"}, batch.Own},
		{"another result", 2 * time.Second, first, call("b", 0), [2]string{"h2"}, batch.Own},
		{"failures, which name no result", 2 * time.Second, first, call("b", 1), [2]string{}, batch.Own},
		{"failures again", 2 * time.Second, first, call("c", 1), [2]string{}, batch.Unproved},
		{"the same name on another connection", 3 * time.Second, other, call("c", 0), [2]string{"h2"}, batch.Own},
		{"a copy after 14 s", 16 * time.Second, first, call("c", 0), [2]string{"h2"}, batch.Repeated},
		{"a copy after a minute, and two answers", time.Minute, first, call("c", 0), [2]string{"h2"}, batch.Repeated},
		{"a copy of the first answer, five answers later", time.Minute, first, call("c", 0), [2]string{"h1"}, batch.Repeated},
	} {
		outcomes := []tanagerroad.PieceOutcome{{Handle: c.handles[0]}, {Handle: c.handles[1]}}
		if got := c.conn.Match(c.at, c.call, outcomes); got != c.want {
			t.Errorf("%d, %s: %s, want %s", i, c.what, got, c.want)
		}
	}
}

// TestOldNamesAreForgotten guards against names that are remembered without end, and
// against a copy that is taken for the call's own answer after many short calls.
func TestOldNamesAreForgotten(t *testing.T) {
	piece := func(request string) *batch.Call {
		return &batch.Call{Pieces: []*batch.Piece{{Job: &batch.Job{Request: request}}}}
	}
	for _, c := range []struct {
		further int // answers
		after   time.Duration
		want    batch.Match
	}{{7, time.Minute, batch.Repeated}, {8, time.Minute, batch.Own}, {1000, 14 * time.Second, batch.Repeated}, {1000, 16 * time.Second, batch.Own}} {
		a := &batch.Answers{}
		a.Match(0, piece("a"), []tanagerroad.PieceOutcome{{Handle: "h"}})
		for i := range c.further {
			a.Match(time.Millisecond, piece("b"), []tanagerroad.PieceOutcome{{Handle: fmt.Sprint(i)}})
		}
		if got := a.Match(c.after, piece("c"), []tanagerroad.PieceOutcome{{Handle: "h"}}); got != c.want {
			t.Errorf("the first answer's name after %d others and %v: %s, want %s", c.further, c.after, got, c.want)
		}
	}
}

// BenchmarkRepeatedAnswers measures an answer with 58 results behind 15 s of such answers.
func BenchmarkRepeatedAnswers(b *testing.B) {
	job := &batch.Job{Request: "a"}
	c := &batch.Call{}
	outcomes := make([]tanagerroad.PieceOutcome, 58)
	for i := range outcomes {
		c.Pieces = append(c.Pieces, &batch.Piece{Job: job, Index: i})
	}
	answers := &batch.Answers{}
	at, n := time.Duration(0), 0
	for b.Loop() {
		for i := range outcomes {
			outcomes[i].Handle = fmt.Sprintf("10.1.64.7:8080/%d", n)
			n++
		}
		at += 450 * time.Millisecond
		answers.Match(at, c, outcomes)
	}
}
