// Package operator is the operator's door of every process: health, metrics
// and status over HTTP, and on control instances the two tables. It is not the
// callers' door, and asks for a token when one is set.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad/core/event"
	"tanagerroad/core/settings"
)

// Bounds of the door.
const (
	headerTimeout = 5 * time.Second
	maxHeader     = 16 << 10
	maxTable      = 4 << 20
)

// Config is what the door shows.
type Config struct {
	Settings settings.Operator
	Logger   *zap.Logger
	Metrics  metrics.Registry
	Ready    func() bool
	Status   func(context.Context) any
	// Routes adds what only some processes have; nil: nothing.
	Routes func(chi.Router)
}

// New listens on the operator's address and returns it with the function that
// closes the door; with no address in the settings it does nothing.
func New(config Config) (string, func(), error) {
	if config.Settings.Address == "" {
		return "", func() {}, nil
	}
	listener, err := net.Listen("tcp", config.Settings.Address)
	if err != nil {
		return "", nil, fmt.Errorf("operator's door: %w", err)
	}
	server := &http.Server{Handler: config.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.BusFailed.Log(config.Logger, zap.Error(err))
		}
	}()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

func (c Config) handler() http.Handler {
	mux := chi.NewRouter()
	// A balancer asks for health without a token.
	mux.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Group(func(guarded chi.Router) {
		guarded.Use(c.guard)
		guarded.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { Reply(w, http.StatusOK, c.Metrics.GetAll()) })
		guarded.Get("/status", func(w http.ResponseWriter, r *http.Request) { Reply(w, http.StatusOK, c.Status(r.Context())) })
		if c.Routes != nil {
			c.Routes(guarded)
		}
	})
	return mux
}

// guard asks for the token. Neither it nor what was shown is ever logged.
func (c Config) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if c.Settings.Token != "" && subtle.ConstantTimeCompare([]byte(shown), []byte(c.Settings.Token)) != 1 {
			event.OperatorDenied.Log(c.Logger, zap.String("path", r.URL.Path), zap.String("from", r.RemoteAddr))
			Reply(w, http.StatusUnauthorized, Problem{Reason: "an operator's token is needed: Authorization: Bearer TOKEN"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Problem is the JSON of an answer that is no success.
type Problem struct {
	Reason string `json:"reason"`
}

// Reply answers with JSON.
func Reply(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}
