package registry_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

func putCatalog(version uint64, content string) *wire.Command {
	return &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
		Catalog: &wire.Catalog{Version: version, Content: []byte(content)},
	}}}
}

// TestHighestCatalogVersionWins checks that catalogs may arrive in any order and
// repeatedly: all are accepted, the version never decreases, the first content
// of a version is kept, and a restored registry has the same catalog.
func TestHighestCatalogVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registry.New(registry.DefaultConfig())
		var highest uint64
		var content string
		for i := range rapid.IntRange(1, 20).Draw(t, "offers") {
			version := uint64(rapid.IntRange(1, 9).Draw(t, "version"))
			text := rapid.StringMatching(`[a-c]{1,2}`).Draw(t, "content")
			outcome := r.Apply(uint64(i+1), putCatalog(version, text))
			if outcome.GetKind() != registry.Accepted {
				t.Fatalf("catalog version %d: outcome %q, want accepted", version, outcome.GetKind())
			}
			if version > highest {
				highest, content = version, text
			}
			if got := r.Catalog(); got.GetVersion() != highest || string(got.GetContent()) != content {
				t.Fatalf("current catalog is version %d, content %q; want version %d, content %q", got.GetVersion(), got.GetContent(), highest, content)
			}
		}
		image, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored := registry.New(registry.DefaultConfig())
		if err := restored.Restore(image); err != nil {
			t.Fatal(err)
		}
		restoredImage, err := restored.Snapshot()
		if err != nil || !bytes.Equal(image, restoredImage) || restored.Catalog().GetVersion() != highest {
			t.Fatalf("the restored registry differs (error: %v)", err)
		}
	})
}
