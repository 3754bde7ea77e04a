package backend

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/document"
	"tanagerroad/core/event"
	"tanagerroad/core/stage"
	"tanagerroad/core/table"
	"tanagerroad/io/bus"
	"tanagerroad/io/http1"
)

// Announcement describes a backend server. The server posts it to its sidecar
// when it starts and then about once a second; the sidecar considers it down
// when announcements stop. Backend servers without a sidecar announce themselves to
// the control instances instead; see tanagerroad.Announcement.
type Announcement struct {
	Pool       string   `json:"pool" required:"true"`
	Kind       string   `json:"kind" required:"true"` // model-engine or service
	Models     []string `json:"models,omitempty"`
	Capacity   int      `json:"capacity" required:"true"` // maximum number of concurrent calls
	Address    string   `json:"address" required:"true"`  // host:port
	Generation int      `json:"generation"`               // changes with every restart
	State      string   `json:"state"`                    // serving (the default) or leaving
}

// PathAnnounce is the path of the sidecar's listener that announcements are
// posted to.
const PathAnnounce = "/announce"

// maxAnnouncementBytes is the largest accepted request body.
const maxAnnouncementBytes = 64 << 10

// ParseAnnouncement decodes and validates a JSON announcement. The announcement
// is valid if there are no findings.
func ParseAnnouncement(data []byte) (Announcement, tanagerroad.Findings) {
	a := Announcement{State: string(tanagerroad.Serving)}
	findings := document.Decode("announcement", data, &a)
	addFinding := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: "announcement", Path: path, Found: found, Want: want})
	}
	if !table.ValidName(a.Pool) {
		addFinding("pool", a.Pool, "a pool's name")
	}
	if a.Kind != table.ModelEngine && a.Kind != table.Service {
		addFinding("kind", a.Kind, "model-engine or service")
	}
	if a.Capacity < 1 {
		addFinding("capacity", "none", "at least 1")
	}
	if a.State != string(tanagerroad.Serving) && a.State != string(tanagerroad.Leaving) {
		addFinding("state", a.State, "serving or leaving")
	}
	return a, findings
}

// Handler returns the handler for the sidecar's loopback listener, where the
// backend server posts its announcements. It answers 204 when an announcement
// was applied, 400 when it is invalid and 503 when it cannot be published.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var raw json.RawMessage
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&raw); err != nil {
			http.Error(w, "an announcement is one JSON object: "+err.Error(), http.StatusBadRequest)
			return
		}
		a, findings := ParseAnnouncement(raw)
		if len(findings) > 0 {
			http.Error(w, findings.Error(), http.StatusBadRequest)
			return
		}
		if err := bus.Publish(s.config.Bus, TopicAnnounced, a); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// applyAnnouncement handles an announcement published on the bus: it updates the
// scheduler, replaces the client if the address changed, and sends a notice to
// the control instances if anything changed. A new generation means that the
// backend server restarted.
func (s *Sidecar) applyAnnouncement(a Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.announced
	restarted := previous.Pool != "" && previous.Generation != a.Generation
	if restarted {
		// The calls in flight died with the previous process.
		s.step(stage.Event{Kind: stage.Crash, LastSeen: s.announcedAt, Planned: s.scheduler.State() == tanagerroad.Leaving})
		s.setLimit(0)
	}
	if s.client == nil || previous.Address != a.Address {
		if s.client != nil {
			s.client.close()
		}
		b := s.config.Settings.Backend
		s.client = newClient(a.Address, b.SilenceTimeout.Std(), int64(b.MaxBody), b.MaxResumes)
		s.client.handleAnswer = s.handleAnswer
	}
	s.announced, s.announcedAt = a, s.config.Clock.Now()
	previousState := s.scheduler.State()
	s.step(stage.Event{Kind: stage.Announce, Capacity: a.Capacity, State: tanagerroad.ServerState(a.State), Start: a.Generation})
	if !equalAnnouncements(a, previous) || previousState != s.scheduler.State() {
		event.Announced.Log(s.config.Logger, zap.String("pool", a.Pool), zap.Strings("models", a.Models),
			zap.Int("capacity", a.Capacity), zap.String("state", a.State), zap.Int("generation", a.Generation))
		s.noticeDue.Broadcast()
	}
}

// handleAnswer applies what the backend server says about itself in the header of an
// answer to a call. start is the generation that the call was sent to.
func (s *Sidecar) handleAnswer(start int, method string, answer *http1.Response) {
	s.handleLeaving(start, answer.Header)
	if method == http.MethodDelete {
		return // the answer to a cancellation says nothing about new work
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		s.handleRetryAfter(start, answer.Header.Get(HeaderRetryAfter))
	}
	s.handleLimit(answer.Header.Get(HeaderLimit))
}

// handleLeaving marks the backend server as leaving if the header says so.
func (s *Sidecar) handleLeaving(start int, h http.Header) {
	if h.Get(HeaderLeaving) != "1" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.scheduler.State()
	s.step(stage.Event{Kind: stage.Leave, Start: start})
	if s.scheduler.State() != previous {
		s.incCounter("servers.departing")
		event.ServerDeparting.Log(s.config.Logger, zap.String("server", s.config.Settings.Process), zap.String("pool", s.announced.Pool), zap.Int("start", start))
		s.noticeDue.Broadcast()
	}
}

// handleRetryAfter pauses the backend server, if it names a time.
func (s *Sidecar) handleRetryAfter(start int, text string) {
	if text == "" {
		return
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds >= 0) || math.IsInf(seconds, 0) {
		event.ServerPaused.Log(s.config.Logger, zap.String("server", s.config.Settings.Process), zap.String("invalid", text))
		return
	}
	asked := time.Duration(min(seconds, math.MaxInt32) * float64(time.Second))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(stage.Event{Kind: stage.Pause, Start: start, Pause: asked})
	s.incCounter("servers.paused")
	event.ServerPaused.Log(s.config.Logger, zap.String("server", s.config.Settings.Process), zap.String("pool", s.announced.Pool),
		zap.Duration("asked", asked), zap.Duration("until-end", s.scheduler.Load(s.config.Clock.Now()).Pause))
	s.noticeDue.Broadcast()
}

// handleLimit applies the limit in an answer of the backend server, or that it named none.
func (s *Sidecar) handleLimit(text string) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if text != "" && (err != nil || !(perSecond > 0) || math.IsInf(perSecond, 0)) {
		event.ServerLimited.Log(s.config.Logger, zap.String("server", s.config.Settings.Process), zap.String("invalid", text))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLimit(perSecond)
}

// setLimit sets how many attempts a second may start; 0: any number. The caller holds the
// lock.
func (s *Sidecar) setLimit(perSecond float64) {
	if s.limit == perSecond {
		return
	}
	s.limit = perSecond
	event.ServerLimited.Log(s.config.Logger, zap.String("server", s.config.Settings.Process), zap.String("pool", s.announced.Pool), zap.Float64("limit", perSecond))
	s.step(stage.Event{Kind: stage.SetLimit, PerSecond: perSecond})
}

// equalAnnouncements reports whether all fields are equal.
func equalAnnouncements(a, b Announcement) bool {
	return a.Pool == b.Pool && a.Kind == b.Kind && a.Capacity == b.Capacity && a.Address == b.Address &&
		a.Generation == b.Generation && a.State == b.State && slices.Equal(a.Models, b.Models)
}
