package quorum_test

import (
	"strings"
	"testing"
	"time"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// TestRestartOnAFullDiskForgetsTheSnapshot guards against an instance that starts while its
// disk refuses writes and does not restore its own snapshot, which a quorum had committed:
// gateways that start get no configuration from it, and it knows no departures.
func TestRestartOnAFullDiskForgetsTheSnapshot(t *testing.T) {
	dir := t.TempDir()
	q, _, stop := startSingle(t, dir)
	for i := range 40 { // beyond compaction at 8 MiB
		o, err := q.Propose(t.Context(), &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
			Catalog: &wire.Catalog{Version: uint64(i + 1), Content: []byte(strings.Repeat("x", 256<<10))},
		}}})
		if err != nil || o.GetKind() != registry.Accepted {
			t.Fatal(o, err)
		}
	}
	stop()
	q, _, stop = newSingle(t, dir, func(f *failingDisk) { f.refuse(true) })
	defer stop()
	time.Sleep(time.Second)
	if v := q.View(); v.Catalog.GetVersion() == 0 {
		t.Errorf("1 s after a start on a full disk the instance holds no configuration (disk failed %v), although its snapshot has one", v.DiskFailed)
	}
}
