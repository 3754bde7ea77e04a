package tanagerroad

import "time"

// AnswerKind is the final state of a request. Every request ends in exactly
// one of them.
type AnswerKind string

const (
	// AnswerComplete means that the whole answer was delivered.
	AnswerComplete AnswerKind = "complete"
	// AnswerNotRun means that no stage ran that must not run twice, so the caller
	// can safely send the request again.
	AnswerNotRun AnswerKind = "not-run"
	// AnswerFailed means that a stage ran, failed and is not retried.
	AnswerFailed AnswerKind = "failed"
	// AnswerUnknown means that the request may have run. The caller can send it
	// again with the same id to get the outcome.
	AnswerUnknown AnswerKind = "unknown"
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind    `json:"kind"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retry-after,omitempty"` // if the request did not run: delay before the caller should retry
	Body       []byte        `json:"body,omitempty"`        // of a complete answer, unless it was streamed
	Length     uint64        `json:"length"`                // bytes of the whole answer
	Digest     uint64        `json:"digest"`                // xxhash64 of the whole answer
}
