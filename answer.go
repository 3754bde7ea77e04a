package tanagerroad

import "time"

// AnswerKind says how a request ended. Every request ends in exactly one.
type AnswerKind string

const (
	// Complete: the whole answer was delivered.
	Complete AnswerKind = "complete"
	// NotRun: nothing of a not-repeatable stage ran; safe to send again.
	NotRun AnswerKind = "not-run"
	// Failed: a stage ran and failed for good.
	Failed AnswerKind = "failed"
	// Unknown: it may have run; ask again with the same id.
	Unknown AnswerKind = "unknown"
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind    `json:"kind"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry-after,omitempty"` // for NotRun: when to come back
	Body       []byte        `json:"body,omitempty"`        // for Complete, unless it was streamed
	Length     uint64        `json:"length"`                // bytes of the whole answer
	Digest     uint64        `json:"digest"`                // xxhash64 of the whole answer
}
