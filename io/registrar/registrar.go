// Package registrar is a control instance's door for those who speak the
// dialect of the place: backend servers announce themselves there, and
// operators read and replace the gateways' configuration.
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
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/operator"
)

const (
	// putPatience is how long a change may take: callers go elsewhere after
	// a second without an answer.
	putPatience = 3 * time.Second
	// readPatience is below that second, so that a caller hears of an
	// instance that cannot be sure.
	readPatience = 900 * time.Millisecond
	// announcementMost is the largest announcement read, in bytes.
	announcementMost = 64 << 10
	// idParam is the path's last part.
	idParam = "id"
)

// Directory takes what backend servers say.
type Directory interface {
	Announced(a tanagerroad.Announcement)
}

// Quorum settles and confirms configurations.
type Quorum interface {
	tanagerroad.Proposer
	Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error)
}

// Config is what the door needs.
type Config struct {
	Dialect   tanagerroad.Dialect
	Directory Directory
	Quorum    Quorum
	Logger    *zap.Logger
	MaxBody   int64
}

// Handler serves the door.
func (c Config) Handler() http.Handler {
	paths := c.Dialect.Paths()
	mux := chi.NewRouter()
	mux.Post(paths.Announce+"{"+idParam+"}", c.hear(c.Dialect.DecodeAnnouncement))
	mux.Post(paths.Deregister+"{"+idParam+"}", c.hear(c.Dialect.DecodeDeparture))
	mux.Post(paths.PutCatalog, c.put)
	mux.Get(paths.ReadCatalog, c.read)
	return mux
}

// hear takes an announcement or a departure.
func (c Config) hear(decode func(id string, body []byte) (tanagerroad.Announcement, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := chi.URLParam(r, idParam)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, announcementMost))
		if err != nil {
			operator.Reply(w, http.StatusBadRequest, operator.Problem{Reason: "the body could not be read"})
			return
		}
		said, err := decode(id, body)
		if err != nil {
			event.AnnouncementUnreadable.Log(c.Logger, zap.String("server", id), zap.Error(err))
			operator.Reply(w, http.StatusBadRequest, operator.Problem{Reason: err.Error()})
			return
		}
		c.Directory.Announced(said)
		operator.Reply(w, http.StatusOK, struct{}{})
	}
}

// put offers a configuration to the quorum.
func (c Config) put(w http.ResponseWriter, r *http.Request) {
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.MaxBody))
	if err != nil {
		var large *http.MaxBytesError
		status := http.StatusBadRequest
		if errors.As(err, &large) {
			status = http.StatusRequestEntityTooLarge
		}
		operator.Reply(w, status, operator.Problem{Reason: "the configuration could not be read in full"})
		return
	}
	parsed, err := c.Dialect.DecodeCatalog(document)
	if err == nil {
		err = catalog.Check("configuration", parsed).Err()
	}
	if err != nil {
		event.CatalogPut.Log(c.Logger, zap.String("outcome", registry.Invalid), zap.Error(err))
		operator.Reply(w, http.StatusBadRequest, operator.Problem{Reason: err.Error()})
		return
	}
	content, err := compress(document)
	if err != nil {
		operator.Reply(w, http.StatusInternalServerError, operator.Problem{Reason: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), putPatience)
	defer cancel()
	outcome, err := c.Quorum.Propose(ctx, &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
		Catalog: &wire.Catalog{Version: parsed.Version, Content: content, Digest: xxhash.Sum64(document)},
	}}})
	event.CatalogPut.Log(c.Logger, zap.Uint64("version", parsed.Version), zap.String("outcome", outcome.GetKind()),
		zap.Uint64("in-force", outcome.GetRevision()), zap.Int("bytes", len(content)), zap.Error(err))
	if err != nil || outcome.GetKind() != registry.Accepted {
		operator.Reply(w, http.StatusServiceUnavailable, operator.Problem{Reason: "no quorum settled the change; send it again"})
		return
	}
	operator.Reply(w, http.StatusOK, struct{}{})
}

// read answers with the configuration that a quorum confirms.
func (c Config) read(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), readPatience)
	defer cancel()
	reply, err := c.Quorum.Read(ctx, &wire.ReadRequest{What: "tables"})
	if err != nil || reply.GetKind() != "ok" || reply.GetCatalog() == nil {
		event.CatalogRead.Log(c.Logger, zap.String("outcome", reply.GetKind()), zap.Error(err))
		operator.Reply(w, http.StatusServiceUnavailable, operator.Problem{Reason: "this instance cannot tell which configuration is the newest"})
		return
	}
	document, err := Document(reply.GetCatalog())
	if err != nil {
		event.CatalogRead.Log(c.Logger, zap.String("outcome", "unreadable"), zap.Error(err))
		operator.Reply(w, http.StatusInternalServerError, operator.Problem{Reason: err.Error()})
		return
	}
	event.CatalogRead.Log(c.Logger, zap.String("outcome", "ok"), zap.Uint64("version", reply.GetCatalog().GetVersion()))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document) // the caller may be gone
}

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

// documentMost bounds a decompressed configuration, in bytes.
const documentMost = 64 << 20

// Document is the configuration as the operator sent it.
func Document(c *wire.Catalog) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.GetContent())), documentMost))
	if err != nil {
		return nil, fmt.Errorf("configuration %d: %w", c.GetVersion(), err)
	}
	if xxhash.Sum64(document) != c.GetDigest() {
		return nil, fmt.Errorf("configuration %d: its content is damaged", c.GetVersion())
	}
	return document, nil
}
