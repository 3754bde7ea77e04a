package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/table"
	"tanagerroad/core/wire"
	"tanagerroad/io/control"
)

// TableChange is a change of one or both tables, as an operator sends it. An
// absent table stays as it is.
type TableChange struct {
	ChangeID     string          `json:"change-id"`
	FromRevision uint64          `json:"from-revision"`
	Operator     string          `json:"operator"`
	Routes       json.RawMessage `json:"routes,omitempty"`
	Pools        json.RawMessage `json:"pools,omitempty"`
}

// TableChangeReply is the reply to a change of the tables.
type TableChangeReply struct {
	Outcome         string               `json:"outcome"` // accepted, conflict, invalid, no-quorum or unknown
	Revision        uint64               `json:"revision"`
	Reason          string               `json:"reason,omitempty"`
	Findings        tanagerroad.Findings `json:"findings,omitempty"`
	CurrentOperator string               `json:"operator,omitempty"` // on conflict: who made the change in force
	Difference      []string             `json:"difference,omitempty"`
}

// TableRevision is one revision of the tables. The log of revisions leaves out the
// tables themselves.
type TableRevision struct {
	Number       uint64          `json:"revision"`
	ChangeID     string          `json:"change-id"`
	Operator     string          `json:"operator"`
	AcceptedAt   time.Time       `json:"at"`
	FromRevision uint64          `json:"from-revision"`
	Routes       json.RawMessage `json:"routes,omitempty"`
	Pools        json.RawMessage `json:"pools,omitempty"`
}

// TableStatus reports in how many processes the newest revision is in force.
type TableStatus struct {
	Revision    uint64           `json:"revision"`
	Processes   int              `json:"processes"`
	InForce     int              `json:"in-force"`
	Lagging     []LaggingProcess `json:"lagging"`
	Unreachable int              `json:"control-instances-not-heard"` // number that did not reply
}

// LaggingProcess is a process in which an older revision is in force.
type LaggingProcess struct {
	Process   string `json:"process"`
	Role      string `json:"role"`
	Zone      string `json:"zone"`
	Revision  uint64 `json:"revision"`
	ReportAge string `json:"heard"` // time since the process last reported, such as 1.5s
}

// TableHandlers holds the HTTP handlers for the two tables and the quarantine. They
// reach the control instances through Client.
type TableHandlers struct {
	Client        *control.Client
	InstanceCount int // number of control instances
}

// requestTimeout limits how long one request waits for the control instances.
const requestTimeout = 5 * time.Second

// Register adds the handlers to the router of the operator listener.
func (t TableHandlers) Register(mux chi.Router) {
	mux.Get("/tables", t.get)
	mux.Put("/tables", t.put)
	mux.Get("/tables/log", t.log)
	mux.Get("/tables/status", t.status)
	mux.Get("/quarantine", t.quarantine)
	mux.Delete("/quarantine/{fingerprint}", t.liftQuarantine)
}

// writeNoQuorum writes the response to a request that no leader could serve. The
// client may retry after two seconds.
func writeNoQuorum(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "2")
	WriteJSON(w, http.StatusServiceUnavailable, TableChangeReply{Outcome: registry.NoQuorum, Reason: "no leader with a quorum could be reached"})
}

// read reads from the leader. If that fails it writes an error response and
// returns nil.
func (t TableHandlers) read(w http.ResponseWriter, r *http.Request, request *wire.ReadRequest) *wire.ReadReply {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	reply, err := t.Client.Read(ctx, request)
	switch {
	case err != nil || reply.GetKind() == registry.NoQuorum || reply.GetKind() == registry.Redirect:
		writeNoQuorum(w)
		return nil
	case reply.GetKind() == "missing":
		WriteJSON(w, http.StatusNotFound, ErrorReply{"that revision is not kept any more"})
		return nil
	}
	return reply
}

func (t TableHandlers) get(w http.ResponseWriter, r *http.Request) {
	var number uint64
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if number, err = strconv.ParseUint(text, 10, 64); err != nil {
			WriteJSON(w, http.StatusBadRequest, ErrorReply{"revision is a whole number"})
			return
		}
	}
	if reply := t.read(w, r, &wire.ReadRequest{What: "tables", Revision: number}); reply != nil {
		WriteJSON(w, http.StatusOK, revisionFromWire(reply.GetRevision()))
	}
}

func revisionFromWire(v *wire.Revision) TableRevision {
	return TableRevision{
		Number: v.GetNumber(), ChangeID: v.GetChangeId(), Operator: v.GetOperator(), AcceptedAt: time.UnixMilli(v.GetAtMillis()).UTC(),
		FromRevision: v.GetBase(), Routes: v.GetRoutes(), Pools: v.GetPools(),
	}
}

func (t TableHandlers) log(w http.ResponseWriter, r *http.Request) {
	reply := t.read(w, r, &wire.ReadRequest{What: "log"})
	if reply == nil {
		return
	}
	out := []TableRevision{}
	for _, c := range reply.GetChanges() {
		out = append(out, TableRevision{
			Number: c.GetRevision(), ChangeID: c.GetChangeId(), Operator: c.GetOperator(),
			AcceptedAt: time.UnixMilli(c.GetAtMillis()).UTC(), FromRevision: c.GetBase(),
		})
	}
	WriteJSON(w, http.StatusOK, out)
}

func (t TableHandlers) put(w http.ResponseWriter, r *http.Request) {
	var change TableChange
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes)).Decode(&change); err != nil {
		WriteJSON(w, http.StatusBadRequest, TableChangeReply{Outcome: registry.Invalid, Reason: "a change is one JSON object: " + err.Error()})
		return
	}
	if change.ChangeID == "" || change.Operator == "" || len(change.Routes)+len(change.Pools) == 0 {
		WriteJSON(w, http.StatusBadRequest, TableChangeReply{Outcome: registry.Invalid, Reason: "change-id, operator and at least one of routes and pools are needed"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	outcome, err := t.Client.Propose(ctx, &wire.Command{Body: &wire.Command_PutTables{PutTables: &wire.PutTables{
		ChangeId: change.ChangeID, FromRevision: change.FromRevision, Operator: change.Operator, Routes: change.Routes, Pools: change.Pools,
	}}})
	if err != nil {
		w.Header().Set("Retry-After", "2")
		WriteJSON(w, http.StatusGatewayTimeout, TableChangeReply{Outcome: "unknown", Reason: "the change may have been accepted; send it again under the same change-id"})
		return
	}
	t.writeOutcome(ctx, w, change, outcome)
}

func (t TableHandlers) writeOutcome(ctx context.Context, w http.ResponseWriter, change TableChange, outcome *wire.Outcome) {
	reply := TableChangeReply{Outcome: outcome.GetKind(), Revision: outcome.GetRevision(), Reason: outcome.GetReason()}
	switch outcome.GetKind() {
	case registry.Accepted:
		WriteJSON(w, http.StatusOK, reply)
	case registry.Conflict:
		reply.CurrentOperator = outcome.GetReason()
		reply.Reason = fmt.Sprintf("revision %d is in force, not %d that the change was made from", reply.Revision, change.FromRevision)
		reply.Difference = t.difference(ctx, change)
		WriteJSON(w, http.StatusConflict, reply)
	case registry.Invalid:
		_ = json.Unmarshal(outcome.GetFindings(), &reply.Findings) // if this fails, Reason still explains the outcome
		WriteJSON(w, http.StatusUnprocessableEntity, reply)
	default:
		writeNoQuorum(w)
	}
}

// difference lists the routes and pools in which the revision in force differs
// from the rejected change. It returns nil if that revision cannot be read or
// either has findings.
func (t TableHandlers) difference(ctx context.Context, change TableChange) []string {
	reply, err := t.Client.Read(ctx, &wire.ReadRequest{What: "tables"})
	if err != nil || reply.GetRevision() == nil {
		return nil
	}
	v := reply.GetRevision()
	routes, pools := v.GetRoutes(), v.GetPools()
	if len(change.Routes) > 0 {
		routes = change.Routes
	}
	if len(change.Pools) > 0 {
		pools = change.Pools
	}
	proposed, proposedFindings := table.Parse("routes.json", routes, "pools.json", pools)
	inForce, inForceFindings := table.Parse("routes.json", v.GetRoutes(), "pools.json", v.GetPools())
	if len(proposedFindings)+len(inForceFindings) > 0 {
		return nil
	}
	return append(compareByName("route", proposed.Routes, inForce.Routes), compareByName("pool", proposed.Pools, inForce.Pools)...)
}

// compareByName lists, by name and sorted, the entries of one table in which the
// rejected change and the revision in force differ. The latter is called the winner
// in these texts, which operators read.
func compareByName[T any](kind string, proposed, inForce map[string]T) []string {
	var out []string
	for name, wanted := range proposed {
		current, ok := inForce[name]
		if !ok {
			out = append(out, fmt.Sprintf("%s %s: not in the winner's", kind, name))
		} else if jsonText(wanted) != jsonText(current) {
			out = append(out, fmt.Sprintf("%s %s: winner has %s", kind, name, jsonText(current)))
		}
	}
	for name := range inForce {
		if _, ok := proposed[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s: only in the winner's", kind, name))
		}
	}
	slices.Sort(out)
	return out
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(data)
}

func (t TableHandlers) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	statuses := t.Client.Statuses(ctx)
	status := TableStatus{Unreachable: t.InstanceCount - len(statuses), Lagging: []LaggingProcess{}}
	latest := map[string]*wire.ProcessStatus{}
	for _, s := range statuses {
		status.Revision = max(status.Revision, s.GetRevision())
		for _, p := range s.GetProcesses() {
			if previous := latest[p.GetProcess()]; previous == nil || p.GetHeardMillis() < previous.GetHeardMillis() {
				latest[p.GetProcess()] = p
			}
		}
	}
	for _, p := range latest {
		status.Processes++
		if p.GetRevision() == status.Revision {
			status.InForce++
			continue
		}
		status.Lagging = append(status.Lagging, LaggingProcess{
			Process: p.GetProcess(), Role: p.GetRole(), Zone: p.GetZone(), Revision: p.GetRevision(),
			ReportAge: (time.Duration(p.GetHeardMillis()) * time.Millisecond).String(),
		})
	}
	slices.SortFunc(status.Lagging, func(a, b LaggingProcess) int {
		if a.Zone+a.Process < b.Zone+b.Process {
			return -1
		}
		return 1
	})
	WriteJSON(w, http.StatusOK, status)
}

func (t TableHandlers) quarantine(w http.ResponseWriter, r *http.Request) {
	if reply := t.read(w, r, &wire.ReadRequest{What: "tables"}); reply != nil {
		WriteJSON(w, http.StatusOK, reply.GetQuarantine().GetConvictions())
	}
}

func (t TableHandlers) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(chi.URLParam(r, "fingerprint"), 10, 64)
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, ErrorReply{"a fingerprint is a whole number"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	outcome, err := t.Client.Propose(ctx, &wire.Command{Body: &wire.Command_Lift{Lift: &wire.Lift{Fingerprint: fingerprint}}})
	if err != nil || outcome.GetKind() != registry.Accepted {
		writeNoQuorum(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
