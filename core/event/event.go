// Package event defines the numbered log events. Every line that a process logs
// is one of them. docs/EVENTS.md lists them all, and a test compares it with the
// code. The number of a removed event is never reused.
package event

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line.
type Event struct {
	Number  int
	Name    string // in kebab case; the message of the line
	Level   zapcore.Level
	Meaning string // description for docs/EVENTS.md
}

// Log writes a line of this kind, with the event's number as an additional
// field.
func (e Event) Log(logger *zap.Logger, fields ...zap.Field) {
	if check := logger.Check(e.Level, e.Name); check != nil {
		check.Write(append(fields, zap.Int("event", e.Number))...)
	}
}

var events []Event

// define adds an event to the list of all events.
func define(number int, level zapcore.Level, name, meaning string) Event {
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	events = append(events, e)
	return e
}

// The events, numbered by area: 1xx process, 2xx routing and requests, 3xx
// sidecar, 4xx control, 5xx operator.
var (
	Started                = define(100, zap.InfoLevel, "started", "A process started to serve; the fields give its addresses.")
	Stopping               = define(101, zap.InfoLevel, "stopping", "A graceful shutdown began; the process accepts no new work.")
	Stopped                = define(102, zap.InfoLevel, "stopped", "A graceful shutdown ended; left is the number of requests that were still in flight.")
	StopState              = define(103, zap.InfoLevel, "stop-state", "The graceful shutdown entered another state of its state chart.")
	UnexpectedEvent        = define(104, zap.ErrorLevel, "unexpected-event", "A state chart has no transition for an event; the event was ignored.")
	LinkSilent             = define(105, zap.WarnLevel, "link-silent", "Nothing was received on a connection to another process for too long; a new one is opened.")
	BusFailed              = define(106, zap.ErrorLevel, "bus-failed", "A handler on the process's event bus failed.")
	TraceFailed            = define(107, zap.ErrorLevel, "trace-failed", "A decision could not be written to the trace; recording continues.")
	Routed                 = define(200, zap.InfoLevel, "routed", "A routing decision: request, route, stage, candidates, the chosen server and the reason.")
	NotRouted              = define(201, zap.WarnLevel, "not-routed", "No backend server could be chosen for a stage.")
	Refused                = define(202, zap.InfoLevel, "refused", "A request was refused before anything ran, with the reason and when to retry.")
	Answered               = define(203, zap.InfoLevel, "answered", "A request got its final answer; framing, bytes, last-event and partial (bytes after the last whole event) describe the body that its last attempt received.")
	StrayPart              = define(204, zap.WarnLevel, "stray-part", "A late, duplicate or unrelated part of an answer was counted and dropped.")
	AttemptLost            = define(205, zap.WarnLevel, "attempt-lost", "The stream of an attempt broke or went silent; the sidecar is asked for the outcome.")
	Claimed                = define(206, zap.InfoLevel, "claimed", "The quorum answered a claim to run a non-repeatable request.")
	BadRequest             = define(207, zap.InfoLevel, "bad-request", "A caller's request was malformed.")
	DirectoryChanged       = define(208, zap.InfoLevel, "directory", "This process's directory of backend servers changed.")
	RevisionInForce        = define(209, zap.InfoLevel, "revision-in-force", "This process applied a revision of the tables.")
	RequestArrived         = define(210, zap.DebugLevel, "request-arrived", "A gateway read a caller's request.")
	StageEnded             = define(211, zap.InfoLevel, "stage-ended", "A stage of a request ended: its pieces were executed, or the reason why not.")
	AttemptEndedAtGateway  = define(212, zap.InfoLevel, "attempt-ended-at-gateway", "An attempt at a backend server ended without an answer to pass on; next is the action that follows, parts the ids of its prompt's parts, and progress how far the answer had come: waiting, begun or flowing. framing, bytes, last-event and partial describe what was received.")
	CatalogInForce         = define(213, zap.InfoLevel, "catalog-in-force", "This gateway applied a version of the gateway configuration.")
	CatalogUnreadable      = define(214, zap.ErrorLevel, "catalog-unreadable", "A configuration from a control instance could not be read; the previous one stays in force.")
	RosterChanged          = define(215, zap.InfoLevel, "roster", "A control instance sent changes to the roster of backend servers: the source, the number of announcements, and how many servers are usable.")
	SourceLost             = define(216, zap.WarnLevel, "source-lost", "A control instance is silent; backend servers that only it receives announcements from are not used.")
	SourceConnected        = define(217, zap.InfoLevel, "source-connected", "The connection to a control instance works.")
	OwnerChanged           = define(218, zap.InfoLevel, "owner", "Another gateway now owns the batching of stage pieces.")
	PiecesSent             = define(219, zap.InfoLevel, "pieces-sent", "A batch of pieces was sent to a backend server: its size, how many pieces are queued, and the reason for choosing the server.")
	PiecesEnded            = define(220, zap.InfoLevel, "pieces-ended", "A batch of pieces ended; failed is the number of pieces that were not executed.")
	Admission              = define(221, zap.InfoLevel, "admission", "Admission control refused a staged request, or admitted it because it had been refused before, or because its workspace got too little (starved): the predicted wait, the time to spare before its latency objective, and with fair shares by how much the workspace exceeds its share, as a fraction of it (over-share).")
	PiecesOverdue          = define(222, zap.WarnLevel, "pieces-overdue", "A batch of pieces takes much longer than expected; its pieces are also executed on another backend server.")
	ServerDeparting        = define(223, zap.InfoLevel, "server-departing", "A backend server said in an answer that it leaves; its current start gets no more requests, whatever it announces.")
	ServerPaused           = define(224, zap.InfoLevel, "server-paused", "A backend server that rejected a request wants none from this gateway or sidecar for a time: asked is that time, until-end what is kept of it; invalid is a value that is no time and is ignored.")
	ServerCrashed          = define(225, zap.WarnLevel, "server-crashed", "Attempts at a backend server ended with their connections, or just before, and it refuses new ones or has started again; suspects is the number of requests, begun those whose answer had begun without an event, flowed those that had got an event, or had ended, and causes what they may have in common with others. It is reported to the control instances.")
	QuarantineChanged      = define(226, zap.InfoLevel, "quarantine", "A control instance sent another quarantine: what is convicted and refused, and what one more crash would convict.")
	ReportFailed           = define(227, zap.WarnLevel, "report-failed", "A gateway or a sidecar could not commit a report about crashing backend servers to the replicated log.")
	StreamTakenUp          = define(231, zap.InfoLevel, "stream-taken-up", "A caller takes up a stream; software is the version of the backend servers at which it may go on, recorded says whether that is recorded or the base version of the pool, outcome says why it may not.")
	OriginsNotRecorded     = define(232, zap.WarnLevel, "origins-not-recorded", "The software versions at which streams begin could not be recorded; their first events wait until they are, or until another gateway holds them.")
	QuarantineTrial        = define(228, zap.InfoLevel, "quarantine-trial", "A request with a convicted cause is sent, to find out whether it still crashes backend servers.")
	ServerLimited          = define(229, zap.InfoLevel, "server-limited", "A backend server named in an answer how many requests a second it takes from all gateways together, or another number than before; 0: it named none any more. invalid is a value that is no such number and is ignored.")
	ServerBrokeOff         = define(233, zap.InfoLevel, "server-broke-off", "Attempts at a backend server ended with their connections; crashed says whether it refuses new ones; waiting, begun and flowing count the attempts by how far their answers had come, suspects is how many of them are suspected.")
	SurvivalClears         = define(234, zap.InfoLevel, "survival-clears", "A backend server outlived a run that was answered whole, which speaks for its causes; the control instances are asked to take them out of the quarantine.")
	RegionsUnknown         = define(235, zap.WarnLevel, "regions-unknown", "A configuration names allowed regions that no zone of this gateway's settings has; requests that are allowed only there are refused.")
	OriginsHeld            = define(236, zap.WarnLevel, "origins-held", "The software versions at which streams begin wait to be recorded; gateways are those that were asked to hold and record them. With an error none does, and others are asked in turn; that is logged once.")
	ServerCold             = define(250, zap.InfoLevel, "server-cold", "A backend server is cold, as it announced, or as its start was first seen or its zone returned; until-end says for how long this gateway takes it for cold. Where its pool has a rate for cold servers, requests to it are paced until then.")
	LinesDropped           = define(108, zap.WarnLevel, "lines-dropped", "Log lines were dropped because the rate limit was exceeded or the reader is slow.")
	Reloaded               = define(109, zap.InfoLevel, "reloaded", "The settings file was reloaded; bytes is its size.")
	ReloadFailed           = define(110, zap.ErrorLevel, "reload-failed", "The settings file could not be reloaded; the previous settings stay in force.")
	MemoryFull             = define(111, zap.WarnLevel, "memory-full", "The memory account of the process is full: connections without progress were dropped, or requests refused before they ran; dropped and refused count them since the start, the other fields are the bytes in use. Logged once a second at most.")
	Announced              = define(300, zap.InfoLevel, "announced", "The backend server announced itself or changed its announcement.")
	Placed                 = define(301, zap.InfoLevel, "placed", "A placement decision: an attempt was queued, started or rejected.")
	AttemptEndedAtSidecar  = define(302, zap.DebugLevel, "attempt-ended", "An attempt on this sidecar's backend server ended.")
	BackendSilent          = define(303, zap.WarnLevel, "backend-silent", "The backend server stopped announcing itself.")
	BackendCrashed         = define(304, zap.ErrorLevel, "backend-crashed", "The backend server crashed with attempts in flight; their fingerprints were reported.")
	RetentionRaised        = define(306, zap.WarnLevel, "retention-raised", "The control instances keep claims for longer than this sidecar keeps attempts that must not be repeated (queue.keep-once); it keeps them as long.")
	Sealed                 = define(305, zap.InfoLevel, "sealed", "A sidecar that stops asked the quorum to bind no more claims to it; bound is the number of claims that still are, which it waits for.")
	RoleChanged            = define(400, zap.InfoLevel, "replica-role", "A control instance changed its role, or learned of a different leader.")
	NoQuorum               = define(401, zap.WarnLevel, "no-quorum", "A leader lost contact with the quorum and stepped down.")
	SnapshotTaken          = define(402, zap.InfoLevel, "snapshot", "A snapshot was taken and the journal compacted.")
	MembershipChanged      = define(403, zap.InfoLevel, "membership", "The membership of the control instances changed.")
	ChangeAccepted         = define(404, zap.InfoLevel, "change-accepted", "A change of the tables was accepted as a new revision.")
	ChangeConflicted       = define(405, zap.InfoLevel, "change-conflict", "A change was not accepted, normally because another change of the same revision was accepted first.")
	LeaseLapsed            = define(406, zap.WarnLevel, "lease-lapsed", "Leases of backend servers expired; when most expire at once, none of the servers is removed.")
	DiskFailed             = define(407, zap.ErrorLevel, "disk-failed", "A write or sync failed; the instance acknowledges nothing until its whole journal could be written anew, which it tries several times a second (disk-recovered).")
	DiskRecovered          = define(432, zap.WarnLevel, "disk-recovered", "The journal of a control instance could be written again; failed-for says how long it could not.")
	LogUnusable            = define(433, zap.ErrorLevel, "log-unusable", "A committed entry or a snapshot could not be decoded or encoded; the instance acknowledges nothing more and has to be replaced.")
	Convicted              = define(408, zap.WarnLevel, "convicted", "A fingerprint was convicted because its requests crash backend servers; they are refused everywhere for a limited time.")
	ClusterFormed          = define(409, zap.InfoLevel, "cluster-formed", "The initial membership was formed: all listed instances answered, or a majority of them at the first start of the system, and none had stored data.")
	ServerAnnounced        = define(410, zap.InfoLevel, "server-announced", "This control instance received a new or changed announcement from a backend server, or learned from another instance or the registry (from: peer, registry) that one leaves or has shut down.")
	ServerSilent           = define(411, zap.WarnLevel, "server-silent", "A backend server has not announced itself to this control instance for too long.")
	AnnouncementUnreadable = define(412, zap.WarnLevel, "announcement-unreadable", "An announcement could not be read; it was ignored.")
	CatalogPut             = define(413, zap.InfoLevel, "catalog-put", "An operator's configuration was accepted or refused, or its outcome is unknown because no quorum settled it.")
	CatalogRead            = define(414, zap.InfoLevel, "catalog-read", "An operator read the configuration, or the read failed because this instance cannot confirm which version is the latest.")
	DiskSlow               = define(415, zap.WarnLevel, "disk-slow", "A write and its sync were so slow that changes had to wait; the instance continues.")
	CrashReported          = define(416, zap.WarnLevel, "crash-reported", "A gateway or a sidecar reported crashes of backend servers; convicted names what is refused or tried from now on, strongest the suspect in the most crashes, with the outages and crashes it was in and the evidence that they come to.")
	BaseChanged            = define(418, zap.InfoLevel, "base-changed", "No backend server of a pool's base version has been seen for so long that no stream of it is left; streams without a record are of the new base version from now on.")
	DepartureRecorded      = define(419, zap.InfoLevel, "departure-recorded", "A backend server said that it leaves or has shut down; outcome tells whether a quorum has settled that, so that the instances still know it after they have restarted.")
	AnnouncementOutdated   = define(435, zap.InfoLevel, "announcement-outdated", "An announcement of a backend server was dropped, since what is known of the server is later: the start and state of both. Logged once for each change of what is known.")
	ServerSuspended        = define(436, zap.InfoLevel, "server-suspended", "A backend server is not used until its next announcement: a departure was received of a start that is a little earlier than the known one, so its clock was set back or the departure is late.")
	LeaderMissing          = define(434, zap.WarnLevel, "leader-missing", "A control instance has known no leader for some seconds: whether it has formed or joined a cluster, its role, whether its disk refuses writes, for each member in force whether it is a voter and how long ago its last message came, and the other addresses that it knows. Repeated every few seconds.")
	CausesCleared          = define(417, zap.InfoLevel, "causes-cleared", "Backend servers outlived requests with these causes; the causes are neither suspect nor convicted.")
	EvacuationsChanged     = define(251, zap.InfoLevel, "evacuations", "A gateway learned that the evacuation of a zone began or ended: the evacuated zones, and how many backend servers get nothing because of them.")
	EvacuationOrdered      = define(430, zap.InfoLevel, "evacuation-ordered", "An operator's order to begin or finish the evacuation of a zone was acknowledged or refused; outcome is caller-gone if the caller no longer waited, so that a late copy undoes no later order.")
	EvacuationSet          = define(431, zap.InfoLevel, "evacuation-set", "An order about the evacuation of a zone came in the replicated log; its outcome is conflict if another order for the zone came before it.")
	OperatorDenied         = define(500, zap.WarnLevel, "operator-denied", "A call to the operator address had no valid token.")
)

// All returns all events in the order of their definition.
func All() []Event { return events }

// Markdown returns the table of all events for docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| number | event | level | meaning |\n|---|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}
