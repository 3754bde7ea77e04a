// Package registrar contains the HTTP handlers that a control instance offers to a
// platform, with the paths and JSON documents of the platform's dialect. Backend
// servers announce themselves there, and operators read and replace the configuration
// of the gateways, which the code calls the catalog, and evacuate availability zones.
package registrar

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/catalog"
	"tanagerroad/core/event"
	"tanagerroad/core/memory"
	"tanagerroad/core/registry"
	"tanagerroad/core/roster"
	"tanagerroad/core/wire"
	"tanagerroad/io/httpserver"
	"tanagerroad/io/operator"
)

const (
	// putTimeout limits a change of the configuration. It is longer than the second
	// after which callers without an answer try another instance.
	putTimeout = 3 * time.Second
	// readTimeout is below that second, so that a caller gets the error reply of an
	// instance that cannot confirm the configuration.
	readTimeout = 900 * time.Millisecond
	// maxAnnouncementBytes is the size limit of an announcement's body.
	maxAnnouncementBytes = 64 << 10
	// announcementTimeout and configurationTimeout limit how long a caller may take to send
	// a body. A backend server announces itself every 1.2 s.
	announcementTimeout  = 2 * time.Second
	configurationTimeout = 10 * time.Second
	// idParam is the path parameter with the backend server's id.
	idParam = "id"
)

// AnnouncementRecorder records the announcements of backend servers. An announcement must
// not be acknowledged if RecordAnnouncement returns an error.
type AnnouncementRecorder interface {
	RecordAnnouncement(ctx context.Context, a tanagerroad.Announcement) error
}

// ControlClient proposes configurations to the replicated registry and reads the
// current one.
type ControlClient interface {
	tanagerroad.Proposer
	Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
}

// Config holds the dependencies and limits of the handler.
type Config struct {
	Dialect      tanagerroad.Dialect
	Recorder     AnnouncementRecorder
	Client       ControlClient
	Orders       operator.EvacuationOrders
	Logger       *zap.Logger
	MaxBodyBytes int64 // size limit of a configuration, in bytes
}

// Handler returns the HTTP handler for the dialect's paths.
func (c Config) Handler() http.Handler {
	paths := c.Dialect.Paths()
	mux := chi.NewRouter()
	mux.Post(paths.Announce+"{"+idParam+"}", c.announcementHandler(c.Dialect.DecodeAnnouncement))
	mux.Post(paths.Deregister+"{"+idParam+"}", c.announcementHandler(c.Dialect.DecodeDeparture))
	mux.Post(paths.PutCatalog, c.putCatalog)
	mux.Get(paths.ReadCatalog, c.readCatalog)
	evacuations := operator.EvacuationHandlers{Orders: c.Orders}
	mux.Post(paths.BeginEvacuation+"{"+operator.ZoneParam+"}", evacuations.Order(true))
	mux.Post(paths.FinishEvacuation+"{"+operator.ZoneParam+"}", evacuations.Order(false))
	return mux
}

// announcementHandler returns a handler that records an announcement or a departure of
// a backend server.
func (c Config) announcementHandler(decode func(id string, body []byte) (tanagerroad.Announcement, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := chi.URLParam(r, idParam)
		body, err := httpserver.ReadBody(w, r, maxAnnouncementBytes, time.Now().Add(announcementTimeout))
		if err != nil {
			writeBodyError(w, err)
			return
		}
		announcement, err := decode(id, body)
		if err == nil {
			err = roster.Check(time.Now().UnixMilli(), announcement)
		}
		if err != nil {
			event.AnnouncementUnreadable.Log(c.Logger, zap.String("server", id), zap.Error(err))
			operator.WriteJSON(w, http.StatusBadRequest, operator.ErrorReply{Reason: err.Error()})
			return
		}
		if err := c.Recorder.RecordAnnouncement(r.Context(), announcement); err != nil {
			operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorReply{Reason: err.Error()})
			return
		}
		operator.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

// writeBodyError answers a request whose body could not be read; it has had no effect.
func writeBodyError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, memory.ErrFull) || errors.Is(err, memory.ErrDropped):
		status = http.StatusServiceUnavailable
	case errors.Is(err, httpserver.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, httpserver.ErrTooSlow):
		status = http.StatusRequestTimeout
	}
	operator.WriteJSON(w, status, operator.ErrorReply{Reason: err.Error()})
}

// putCatalog checks a configuration and proposes it to the quorum.
func (c Config) putCatalog(w http.ResponseWriter, r *http.Request) {
	document, err := httpserver.ReadBody(w, r, c.MaxBodyBytes, time.Now().Add(configurationTimeout))
	if err != nil {
		writeBodyError(w, err)
		return
	}
	parsed, err := c.Dialect.DecodeCatalog(document)
	if err == nil {
		err = catalog.Check("configuration", parsed).Err()
	}
	if err != nil {
		event.CatalogPut.Log(c.Logger, zap.String("outcome", registry.Invalid), zap.Error(err))
		operator.WriteJSON(w, http.StatusBadRequest, operator.ErrorReply{Reason: err.Error()})
		return
	}
	content, err := compress(document)
	if err != nil {
		operator.WriteJSON(w, http.StatusInternalServerError, operator.ErrorReply{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putTimeout)
	defer cancel()
	outcome, err := c.Client.Propose(ctx, &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
		Catalog: &wire.Catalog{Version: parsed.Version, Content: content, Digest: xxhash.Sum64(document), Pools: catalog.PoolNames(parsed)},
	}}})
	event.CatalogPut.Log(c.Logger, zap.Uint64("version", parsed.Version), zap.String("outcome", outcome.GetKind()),
		zap.Uint64("in-force", outcome.GetRevision()), zap.Int("bytes", len(content)), zap.String("reason", outcome.GetReason()), zap.Error(err))
	if err != nil || outcome.GetKind() != registry.Accepted {
		operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorReply{Reason: "no quorum settled the change; send it again"})
		return
	}
	operator.WriteJSON(w, http.StatusOK, struct{}{})
}

// readCatalog replies with the configuration that a quorum has confirmed.
func (c Config) readCatalog(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	reply, err := c.Client.Read(ctx, &wire.ReadRequest{What: "tables"})
	if err != nil || reply.GetKind() != "ok" || reply.GetCatalog() == nil {
		event.CatalogRead.Log(c.Logger, zap.String("outcome", reply.GetKind()), zap.Error(err))
		operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorReply{Reason: "this instance cannot tell which configuration is the newest"})
		return
	}
	document, err := CatalogDocument(reply.GetCatalog())
	if err != nil {
		event.CatalogRead.Log(c.Logger, zap.String("outcome", "unreadable"), zap.Error(err))
		operator.WriteJSON(w, http.StatusInternalServerError, operator.ErrorReply{Reason: err.Error()})
		return
	}
	event.CatalogRead.Log(c.Logger, zap.String("outcome", "ok"), zap.Uint64("version", reply.GetCatalog().GetVersion()))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document) // the caller may have disconnected
}

// compress returns the document in DEFLATE format.
func compress(document []byte) ([]byte, error) {
	var b bytes.Buffer
	writer, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := writer.Write(document); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

// maxDocumentBytes is the size limit of a decompressed configuration.
const maxDocumentBytes = 64 << 20

// CatalogDocument returns the configuration document as the operator sent it. It
// returns an error if the stored content cannot be decompressed or does not match its
// digest.
func CatalogDocument(c *wire.Catalog) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.GetContent())), maxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("configuration %d: %w", c.GetVersion(), err)
	}
	if xxhash.Sum64(document) != c.GetDigest() {
		return nil, fmt.Errorf("configuration %d: the stored content does not match its digest", c.GetVersion())
	}
	return document, nil
}
