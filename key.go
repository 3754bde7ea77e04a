package tanagerroad

import "fmt"

// AttemptKey identifies one attempt at one stage of one request. Every stage result
// carries it, so that results of earlier attempts or other requests are
// recognized.
type AttemptKey struct {
	Request string `json:"request"` // unique id of the execution; not the id that the caller chose
	Stage   int    `json:"stage"`   // counted from 0
	Attempt int    `json:"attempt"` // counted from 1 within the stage
}

func (k AttemptKey) String() string { return fmt.Sprintf("%s/%d/%d", k.Request, k.Stage, k.Attempt) }
