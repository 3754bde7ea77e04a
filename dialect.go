package tanagerroad

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request say.
type Call struct {
	ID       string        // of this attempt of the caller
	Left     time.Duration // how long the caller waits; 0: not said
	Key      string        // of its workspace
	Parts    []PromptPart
	Model    string
	Prompt   int    // tokens of the prompt
	Output   int    // most tokens of output
	Hint     int    // the caller's estimate of the output, in tokens
	Pieces   []int  // pieces of each stage
	PieceKey string // input of stages that need no other
}

// PromptPart is one shared part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Forwarding is what a gateway says to a backend server beside the caller's
// own headers.
type Forwarding struct {
	Server    string        // id that must answer
	Left      time.Duration // until the request's deadline
	Workspace string
	Inputs    []string // results of the last stages
	Resume    string   // id of the last event passed on; empty: from the start
	Urgency   int      // 0 first to 9 last; negative: not said
	Version   string   // of the model's weights that must answer; empty: any
}

// Reply is what the headers of a backend server's answer say.
type Reply struct {
	ID      string // of the attempt that it answers
	Signed  bool   // it is a backend server's own answer
	NotRun  bool   // it states that the request did not run
	Server  string // id of the backend server; empty: not said
	Version string // of the model's weights; empty: not said
	Running int    // load: requests running, waiting and slots; slots 0: not said
	Waiting int
	Slots   int
}

// PieceItem asks a backend server for one piece of a stage.
type PieceItem struct {
	Request string
	Stage   int
	Piece   int
	Left    time.Duration
	Key     string
	Inputs  []string
}

// PieceOutcome is a piece that was made, or why it was not.
type PieceOutcome struct {
	Handle string
	Reason string // late, gone, room or error
}

// Reasons of pieces that were not made.
const (
	PieceLate  = "late"
	PieceGone  = "gone"
	PieceRoom  = "room"
	PieceError = "error"
)

// Paths of the calls that reach a gateway or a control instance.
type Paths struct {
	Ready       string
	ReadCatalog string
	PutCatalog  string
	Announce    string // the backend server's id follows
	Leave       string // the backend server's id follows
	RunPieces   string // at a backend server
	FreePieces  string // at a backend server
}

// Dialect speaks the formats of the place that gateways run in. It decodes
// and encodes; it decides nothing.
type Dialect interface {
	Paths() Paths
	// Catalog reads an operator's document.
	Catalog(document []byte) (*Catalog, error)
	// Announcement reads what the backend server id says of itself.
	Announcement(id string, body []byte) (Announcement, error)
	// Departure reads what the backend server id says when it leaves.
	Departure(id string, body []byte) (Announcement, error)
	// Call reads a caller's headers.
	Call(header http.Header) Call
	// Forward turns a caller's headers into those for a backend server.
	Forward(header http.Header, f Forwarding) http.Header
	// Reply reads the headers of a backend server's answer.
	Reply(status int, header http.Header) Reply
	// VersionField names the line of an event that says from which version of
	// the weights on it was made.
	VersionField() string
	// PieceRequest writes a call for pieces, FreeRequest one that gives
	// results up.
	PieceRequest(items []PieceItem) ([]byte, error)
	// PieceHeader is for calls that must be answered by the backend server.
	PieceHeader(server string) http.Header
	PieceOutcomes(body []byte) ([]PieceOutcome, error)
	// HandleAddress is where the result of a handle lies.
	HandleAddress(handle string) string
	FreeRequest(handles []string) ([]byte, error)
}
