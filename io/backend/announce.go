package backend

import (
	"encoding/json"
	"net/http"
	"slices"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/document"
	"tanagerroad/core/event"
	"tanagerroad/core/stage"
	"tanagerroad/core/table"
	"tanagerroad/io/bus"
)

// Announcement is what a backend server says of itself, at its start and then
// every second or so.
type Announcement struct {
	Pool       string   `json:"pool" required:"true"`
	Kind       string   `json:"kind" required:"true"` // model-engine or service
	Models     []string `json:"models,omitempty"`
	Capacity   int      `json:"capacity" required:"true"` // calls that it runs at once
	Address    string   `json:"address" required:"true"`  // host:port
	Generation int      `json:"generation"`               // differs after a restart
	State      string   `json:"state"`                    // serving, the default, or leaving
}

// PathAnnounce is where announcements are posted.
const PathAnnounce = "/announce"

// maxAnnouncement is the largest announcement taken, in bytes.
const maxAnnouncement = 64 << 10

// ParseAnnouncement reads and checks an announcement.
func ParseAnnouncement(data []byte) (Announcement, tanagerroad.Findings) {
	a := Announcement{State: string(tanagerroad.Serving)}
	findings := document.Decode("announcement", data, &a)
	fault := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: "announcement", Path: path, Found: found, Want: want})
	}
	if !table.ValidName(a.Pool) {
		fault("pool", a.Pool, "a pool's name")
	}
	if a.Kind != table.ModelEngine && a.Kind != table.Service {
		fault("kind", a.Kind, "model-engine or service")
	}
	if a.Capacity < 1 {
		fault("capacity", "none", "at least 1")
	}
	if a.State != string(tanagerroad.Serving) && a.State != string(tanagerroad.Leaving) {
		fault("state", a.State, "serving or leaving")
	}
	return a, findings
}

// Handler serves the loopback door towards the backend server.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var raw json.RawMessage
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&raw); err != nil {
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

// announce takes an announcement from the bus.
func (s *Sidecar) announce(a Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.announced
	restarted := before.Pool != "" && before.Generation != a.Generation
	if restarted {
		// What ran there is gone with the backend server's process.
		s.step(stage.Event{Kind: stage.Crash})
	}
	if s.client == nil || before.Address != a.Address {
		if s.client != nil {
			s.client.close()
		}
		b := s.config.Settings.Backend
		s.client = newClient(a.Address, b.SilenceTimeout.Std(), int64(b.MaxBody), b.MaxResumes)
	}
	s.announced, s.heard = a, s.config.Clock.Now()
	state := s.desk.State()
	s.step(stage.Event{Kind: stage.Announce, Capacity: a.Capacity, State: tanagerroad.ServerState(a.State)})
	if !sameAnnouncement(a, before) || state != s.desk.State() {
		event.Announced.Log(s.config.Logger, zap.String("pool", a.Pool), zap.Strings("models", a.Models),
			zap.Int("capacity", a.Capacity), zap.String("state", a.State), zap.Int("generation", a.Generation))
		s.nudge.Give()
	}
}

func sameAnnouncement(a, b Announcement) bool {
	return a.Pool == b.Pool && a.Kind == b.Kind && a.Capacity == b.Capacity && a.Address == b.Address &&
		a.Generation == b.Generation && a.State == b.State && slices.Equal(a.Models, b.Models)
}
