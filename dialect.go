package tanagerroad

import (
	"net/http"
	"time"
)

// RequestHeaders holds the decoded headers of a caller's request.
type RequestHeaders struct {
	AttemptID       string        // id of the caller's attempt; repeated in the answer
	Timeout         time.Duration // how long the caller waits for the answer; 0: not specified
	APIKey          string        // API key of the caller's workspace
	PromptParts     []PromptPart
	Model           string
	PromptTokens    int    // length of the prompt, in tokens
	MaxOutputTokens int    // maximum length of the output, in tokens
	OutputHint      int    // the caller's estimate of the output's length, in tokens
	PieceCounts     []int  // number of pieces of each stage
	PieceKey        string // input of the stages that depend on no other stage
	LastEventID     string // id of the last event received of a stream that the caller takes up; empty: a new one
	BegunBy         string // id of the caller's attempt that began that stream; empty: not specified
}

// PromptPart is a part of a prompt that other prompts may share, which makes
// it worth caching.
type PromptPart struct {
	ID     string
	Tokens int
}

// ForwardOptions holds the values that a gateway adds to a caller's headers when
// it forwards the request to a backend server.
type ForwardOptions struct {
	Server      string        // id of the backend server that must answer
	Remaining   time.Duration // until the request's deadline
	Workspace   string
	Inputs      []string // handles of the last stages' results
	LastEventID string   // id of the last event that the caller received; empty: start of the stream
	Priority    int      // 0 (most urgent) to 9; negative: not specified
	Version     string   // version of the model's weights that must answer; empty: any
}

// ResponseHeaders holds the decoded headers of a backend server's answer.
type ResponseHeaders struct {
	AttemptID string // the id of the request that it answers
	Signed    bool   // the answer carries a backend server's signature
	NotRun    bool   // the backend server did not run the request
	Server    string // id of the backend server; empty: not specified
	Leaving   bool   // the backend server is leaving
	// RetryAfter is how long the backend server, which rejected the request, wants no
	// requests from this instance; 0: not specified.
	RetryAfter        time.Duration
	InvalidRetryAfter string // the value of that header, if it is no time
	// Limit is how many requests a second the backend server takes from all instances
	// together; 0: any number.
	Limit        float64
	InvalidLimit string // the value of that header, if it is no such number
	Version      string // version of the model's weights; empty: not specified
	Running      int    // requests executing on the backend server
	Waiting      int    // requests queued on the backend server
	Slots        int    // requests that the backend server executes at once; 0: load not specified
	WorkPercent  int    // how long work takes on its machine now; 100: as usual; 0: not specified
}

// PieceItem asks a backend server to run one piece of a stage.
type PieceItem struct {
	RequestID string
	Stage     int           // index of the stage
	Piece     int           // index of the piece within the stage
	Remaining time.Duration // until the request's deadline
	PieceKey  string        // the caller's piece key, for a stage that depends on no other
	Inputs    []string      // handles of the results that the piece needs
}

// PieceOutcome is the result of a piece, or the reason why there is none.
type PieceOutcome struct {
	Handle string // identifies the stored result; Dialect.HandleAddress says where it is
	Reason string // empty, or one of the Piece... reasons below
}

// Reasons why a piece was not run to its end.
const (
	PieceLate      = "late"  // its deadline had passed
	PieceInputGone = "gone"  // an input is no longer stored
	PieceNoSpace   = "room"  // the backend server has no space for the result
	PieceError     = "error" // it failed
)

// Paths of the HTTP endpoints that gateways, control instances and backend
// servers offer.
type Paths struct {
	Ready       string // readiness of a gateway
	ReadCatalog string // on a control instance
	PutCatalog  string // on a control instance
	Announce    string // heartbeat of a backend server; its id follows
	Deregister  string // shutdown of a backend server; its id follows
	RunPieces   string // on a backend server
	FreePieces  string // on a backend server
	// On a control instance; the name of an availability zone follows.
	BeginEvacuation, FinishEvacuation string
}

// Dialect encodes and decodes the headers and documents of the platform that
// gateways run on. It is stateless and makes no decisions.
type Dialect interface {
	Paths() Paths
	// DecodeCatalog decodes a configuration that an operator wrote.
	DecodeCatalog(document []byte) (*Catalog, error)
	// DecodeAnnouncement decodes a heartbeat of the backend server id.
	DecodeAnnouncement(id string, body []byte) (Announcement, error)
	// DecodeDeparture decodes the announcement that the backend server id sends
	// when it shuts down.
	DecodeDeparture(id string, body []byte) (Announcement, error)
	// DecodeRequestHeaders decodes the headers of a caller's request.
	DecodeRequestHeaders(header http.Header) RequestHeaders
	// ForwardHeaders returns the headers of the request to a backend server, from
	// those of the caller's request.
	ForwardHeaders(header http.Header, f ForwardOptions) http.Header
	// DecodeResponseHeaders decodes the headers of a backend server's answer.
	DecodeResponseHeaders(status int, header http.Header) ResponseHeaders
	// VersionField returns the name of the event-stream field that announces a
	// change of the model's weights within a stream.
	VersionField() string
	// EncodePieceRequest encodes the body of a call that runs pieces.
	EncodePieceRequest(items []PieceItem) ([]byte, error)
	// PieceRequestHeaders returns the headers of a call that only the given backend
	// server may answer.
	PieceRequestHeaders(server string) http.Header
	// DecodePieceOutcomes decodes the answer to a call that runs pieces.
	DecodePieceOutcomes(body []byte) ([]PieceOutcome, error)
	// HandleAddress returns the address of the backend server that stores the
	// result with this handle.
	HandleAddress(handle string) string
	// EncodeFreeRequest encodes the body of a call that deletes stored results.
	EncodeFreeRequest(handles []string) ([]byte, error)
}
