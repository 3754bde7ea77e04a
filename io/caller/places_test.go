package caller

import (
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// TestPlacesOfGoneServersAreKept guards against an entry whose memory grows with each start
// of a backend server under a new id.
func TestPlacesOfGoneServersAreKept(t *testing.T) {
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	defer closeConns()
	s := settings.DefaultEntry()
	s.Control = []string{"127.0.0.1:1"}
	e, closeEntry, err := New(Config{Settings: s, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(), Conns: conns, Metrics: metrics.NewRegistry()})
	if err != nil {
		t.Fatal(err)
	}
	defer closeEntry()
	const births, goneKept = 20000, 2048
	for i := range births {
		update := &wire.Update{Sequence: uint64(i + 1), Servers: []*wire.Server{peer.ServerToWire(tanagerroad.Server{
			ID: fmt.Sprint("s", i), Pool: "p", Generation: 1, Sequence: 1, State: tanagerroad.Serving, Place: tanagerroad.Place{Zone: "z", Region: "r"},
		})}}
		if i > 0 {
			update.Removed = []string{fmt.Sprint("s", i-1)}
		}
		e.mu.Lock()
		e.applyDirectory(update)
		n := len(e.places)
		e.mu.Unlock()
		if n > goneKept {
			t.Fatalf("%d places after %d births", n, i+1)
		}
	}
	if place := e.serverPlace(fmt.Sprint("s", births-1)); place.Zone != "z" {
		t.Errorf("the latest server's place is %v", place)
	}
	if place := e.serverPlace(fmt.Sprint("s", births-2)); place.Zone != "z" {
		t.Errorf("the place of a server that has just gone is %v: its calls may still be in flight", place)
	}
}
