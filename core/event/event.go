// Package event is the catalogue of numbered log events. Every line that a
// process logs names one of them; docs/EVENTS.md lists them all and a test
// compares the two. Numbers are never used again.
package event

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string // kebab case; the line's message
	Level  zapcore.Level
	Means  string // for the catalogue
}

// Log writes one line of this kind.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if check := logger.Check(e.Level, e.Name); check != nil {
		check.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

var catalogue []Event

func define(number int, level zapcore.Level, name, means string) Event {
	e := Event{Number: number, Name: name, Level: level, Means: means}
	catalogue = append(catalogue, e)
	return e
}

// The events: 1xx process, 2xx routing and requests, 3xx sidecar, 4xx
// control, 5xx operator.
var (
	Started         = define(100, zap.InfoLevel, "started", "A process serves; its addresses follow.")
	Stopping        = define(101, zap.InfoLevel, "stopping", "A planned stop began; the process takes no new work.")
	Stopped         = define(102, zap.InfoLevel, "stopped", "A planned stop ended; left says what was still in flight.")
	StopState       = define(103, zap.InfoLevel, "stop-state", "The stop moved to another state of its chart.")
	Unexpected      = define(104, zap.ErrorLevel, "unexpected-event", "A state chart has no arrow for an event; the event was dropped.")
	LinkSilent      = define(105, zap.WarnLevel, "link-silent", "A connection to another process went silent; a new one is opened.")
	BusFailed       = define(106, zap.ErrorLevel, "bus-failed", "A handler on the process's event bus failed.")
	TraceFailed     = define(107, zap.ErrorLevel, "trace-failed", "A decision could not be recorded; recording goes on.")
	Routed          = define(200, zap.InfoLevel, "routed", "A routing decision: request, route, stage, candidates, the server chosen and why.")
	NotRouted       = define(201, zap.WarnLevel, "not-routed", "No backend server could be chosen for a stage.")
	Refused         = define(202, zap.InfoLevel, "refused", "A request was refused before anything ran, with the reason and when to come back.")
	Answered        = define(203, zap.InfoLevel, "answered", "A request got its final answer.")
	Stray           = define(204, zap.WarnLevel, "stray-part", "A late, doubled or foreign part was counted and dropped.")
	AttemptLost     = define(205, zap.WarnLevel, "attempt-lost", "The stream of an attempt broke or went silent; its fate is asked.")
	Claimed         = define(206, zap.InfoLevel, "claimed", "A claim for a not-repeatable request was answered by the quorum.")
	BadRequest      = define(207, zap.InfoLevel, "bad-request", "A caller's request was malformed.")
	DirectoryMoved  = define(208, zap.InfoLevel, "directory", "The directory of backend servers changed at this process.")
	RevisionInForce = define(209, zap.InfoLevel, "revision-in-force", "A revision of the tables is in force at this process.")
	RequestArrived  = define(210, zap.DebugLevel, "request-arrived", "A gateway read a caller's request.")
	StageEnded      = define(211, zap.InfoLevel, "stage-ended", "The pieces of a stage of a request were made, or why not.")
	AttemptEnded    = define(212, zap.InfoLevel, "attempt-ended-at-gateway", "An attempt at a backend server ended otherwise than by an answer to pass on; what follows is said.")
	CatalogInForce  = define(213, zap.InfoLevel, "catalog-in-force", "A version of the gateways' configuration is in force at this gateway.")
	CatalogBad      = define(214, zap.ErrorLevel, "catalog-unreadable", "A configuration from a control instance could not be read; the one before stays in force.")
	RosterMoved     = define(215, zap.InfoLevel, "roster", "What this gateway knows of backend servers changed: which, by whom it was said, and how many may be used.")
	SourceLost      = define(216, zap.WarnLevel, "source-lost", "A control instance is silent; what only it hears counts for nothing.")
	SourceBack      = define(217, zap.InfoLevel, "source-connected", "A control instance is heard.")
	OwnerMoved      = define(218, zap.InfoLevel, "owner", "The pieces of stages are gathered at another gateway.")
	CallSent        = define(219, zap.InfoLevel, "pieces-sent", "A call with pieces was sent to a backend server: how many, how many wait, and why this one.")
	CallEnded       = define(220, zap.InfoLevel, "pieces-ended", "A call with pieces ended; failed says how many were not made.")
	Admitted        = define(221, zap.InfoLevel, "admission", "A staged request was refused, or taken because it had been refused before: the predicted wait, and the time to spare before its aim.")
	CallOverdue     = define(222, zap.WarnLevel, "pieces-overdue", "A call takes much longer than expected; its pieces are made elsewhere too.")
	LinesDropped    = define(108, zap.WarnLevel, "lines-dropped", "Log lines were left out, since more came than the bound allows or the reader is slow.")
	Reloaded        = define(109, zap.InfoLevel, "reloaded", "The settings file was read again; what changed is said.")
	ReloadFailed    = define(110, zap.ErrorLevel, "reload-failed", "The settings file could not be read again; the settings before stay in force.")
	Announced       = define(300, zap.InfoLevel, "announced", "The backend server announced itself or changed what it announces.")
	Placed          = define(301, zap.InfoLevel, "placed", "A placement decision: an attempt was queued, started or turned away.")
	Ended           = define(302, zap.DebugLevel, "attempt-ended", "An attempt at this sidecar ended.")
	BackendSilent   = define(303, zap.WarnLevel, "backend-silent", "The backend server stopped announcing itself.")
	BackendCrashed  = define(304, zap.ErrorLevel, "backend-crashed", "The backend server died with attempts in flight; their fingerprints were reported.")
	RoleChanged     = define(400, zap.InfoLevel, "replica-role", "A control instance changed its role.")
	NoQuorum        = define(401, zap.WarnLevel, "no-quorum", "A leader heard no quorum and stepped down.")
	Snapshotted     = define(402, zap.InfoLevel, "snapshot", "The journal was compacted behind a snapshot.")
	MemberChanged   = define(403, zap.InfoLevel, "membership", "The membership of the control instances changed.")
	Accepted        = define(404, zap.InfoLevel, "change-accepted", "A change of the tables was accepted under a new revision.")
	Conflicted      = define(405, zap.InfoLevel, "change-conflict", "A change lost to another made from the same revision.")
	LeaseLapsed     = define(406, zap.WarnLevel, "lease-lapsed", "Leases of backend servers lapsed; when most lapse at once none is removed.")
	DiskFailed      = define(407, zap.ErrorLevel, "disk-failed", "A write or sync failed; the instance acknowledges nothing more.")
	Convicted       = define(408, zap.WarnLevel, "convicted", "A fingerprint that crashes backend servers is refused everywhere for a time.")
	Formed          = define(409, zap.InfoLevel, "cluster-formed", "The first membership formed: all listed instances answered and all were empty.")
	ServerAnnounced = define(410, zap.InfoLevel, "server-announced", "A backend server said something new of itself to this control instance.")
	ServerLapsed    = define(411, zap.WarnLevel, "server-silent", "A backend server has not announced itself here for too long.")
	AnnouncementBad = define(412, zap.WarnLevel, "announcement-unreadable", "An announcement could not be read; it names no backend server to use.")
	CatalogPut      = define(413, zap.InfoLevel, "catalog-put", "An operator's configuration was accepted, refused or could not be settled.")
	CatalogRead     = define(414, zap.InfoLevel, "catalog-read", "An operator read the configuration, or was told that this instance cannot be sure of it.")
	DiskSlow        = define(415, zap.WarnLevel, "disk-slow", "A write and its sync took so long that changes waited for it; the instance goes on.")
	OperatorDenied  = define(500, zap.WarnLevel, "operator-denied", "A call on the operator's address carried no valid token.")
)

// Catalogue lists every event in the order of definition.
func Catalogue() []Event { return catalogue }

// Markdown renders the catalogue as the table in docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| number | event | level | meaning |\n|---|---|---|---|\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Means)
	}
	return b.String()
}
