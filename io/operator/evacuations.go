package operator

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"tanagerroad/core/wire"
	"tanagerroad/io/control"
)

// ZoneParam is the path parameter of an order about an evacuation with the availability
// zone.
const ZoneParam = "zone"

// EvacuationOrders gives orders about evacuations, and reads them. See control.Orders.
type EvacuationOrders interface {
	Evacuate(ctx context.Context, zone string, active bool) error
	Evacuations(ctx context.Context) (zones []*wire.Evacuation, ok bool)
}

// Evacuation is the state of an availability zone that an order was given for.
type Evacuation struct {
	Zone      string    `json:"zone"`
	Active    bool      `json:"active"`
	ChangedAt time.Time `json:"changed-at"`
	Version   uint64    `json:"version"` // counts the orders
}

// EvacuationHandlers holds the HTTP handlers for the evacuations of availability zones.
type EvacuationHandlers struct {
	Orders EvacuationOrders
}

// Register adds the handlers to the router of the operator listener.
func (e EvacuationHandlers) Register(mux chi.Router) {
	mux.Get("/evacuations", e.list)
	mux.Post("/evacuations/{"+ZoneParam+"}", e.Order(true))
	mux.Delete("/evacuations/{"+ZoneParam+"}", e.Order(false))
}

// Order returns a handler that begins or finishes the evacuation of a zone. An order has no
// body. One that is announced is not waited for.
func (e EvacuationHandlers) Order(active bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close") // else net/http reads the body before it sends the reply
		}
		zone, err := url.PathUnescape(chi.URLParam(r, ZoneParam))
		if err == nil {
			err = e.Orders.Evacuate(r.Context(), zone, active)
		}
		switch {
		case err == nil:
			WriteJSON(w, http.StatusOK, struct{}{})
		case errors.Is(err, control.ErrUnknownZone):
			WriteJSON(w, http.StatusNotFound, ErrorReply{Reason: err.Error()})
		case errors.Is(err, control.ErrOrderFailed):
			WriteJSON(w, http.StatusServiceUnavailable, ErrorReply{Reason: err.Error()})
		default:
			WriteJSON(w, http.StatusBadRequest, ErrorReply{Reason: err.Error()})
		}
	}
}

func (e EvacuationHandlers) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	zones, ok := e.Orders.Evacuations(ctx)
	if !ok {
		writeNoQuorum(w)
		return
	}
	out := []Evacuation{}
	for _, z := range zones {
		out = append(out, Evacuation{Zone: z.GetZone(), Active: z.GetActive(), ChangedAt: time.UnixMilli(z.GetAtMillis()).UTC(), Version: z.GetVersion()})
	}
	WriteJSON(w, http.StatusOK, out)
}
