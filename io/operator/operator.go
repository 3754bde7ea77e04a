// Package operator implements the HTTP listener for operators that each process
// can have: health, metrics and status, and on control instances the two tables
// and the quarantine. It is separate from the listener for callers and requires
// a bearer token if the settings set one.
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

// Limits of the operator listener; sizes are in bytes.
const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
	maxChangeBytes = 4 << 20 // of a change of the tables, with both of them
)

// Config holds the settings of the operator listener and the sources of what it
// serves.
type Config struct {
	Settings settings.Operator
	Logger   *zap.Logger
	Metrics  metrics.Registry
	Ready    func() bool
	Status   func(context.Context) any
	// RegisterHandlers adds handlers that only some roles have; they require the
	// token as well. nil: none.
	RegisterHandlers func(chi.Router)
	// Limit applies limits on memory to the server and returns the listener to serve on.
	// nil: there are none.
	Limit func(*http.Server, net.Listener) net.Listener
}

// Start opens the operator listener and serves on it. It returns the address that
// it listens on and a function that closes the listener and all connections. If
// the settings have no operator address, it does nothing.
func Start(config Config) (string, func(), error) {
	if config.Settings.Address == "" {
		return "", func() {}, nil
	}
	listener, err := net.Listen("tcp", config.Settings.Address)
	if err != nil {
		return "", nil, fmt.Errorf("operator listener: %w", err)
	}
	server := &http.Server{Handler: config.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	address := listener.Addr().String()
	if config.Limit != nil {
		listener = config.Limit(server, listener)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.BusFailed.Log(config.Logger, zap.Error(err))
		}
	}()
	return address, func() { _ = server.Close() }, nil
}

func (c Config) handler() http.Handler {
	mux := chi.NewRouter()
	// Load balancers check health without a token.
	mux.Get("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("live\n")) })
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Group(func(authorized chi.Router) {
		authorized.Use(c.requireToken)
		authorized.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, c.Metrics.GetAll()) })
		authorized.Get("/status", func(w http.ResponseWriter, r *http.Request) { WriteJSON(w, http.StatusOK, c.Status(r.Context())) })
		if c.RegisterHandlers != nil {
			c.RegisterHandlers(authorized)
		}
	})
	return mux
}

// requireToken rejects requests without the token, if one is set. Neither the
// token nor what a request presented is ever logged.
func (c Config) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if c.Settings.Token != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(c.Settings.Token)) != 1 {
			event.OperatorDenied.Log(c.Logger, zap.String("path", r.URL.Path), zap.String("from", r.RemoteAddr))
			WriteJSON(w, http.StatusUnauthorized, ErrorReply{Reason: "an operator's token is needed: Authorization: Bearer TOKEN"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ErrorReply is the JSON body of an error response.
type ErrorReply struct {
	Reason string `json:"reason"`
}

// WriteJSON writes v as a JSON response with the given status code.
func WriteJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}
