package registry_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

func offer(version uint64, content string) *wire.Command {
	return &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
		Catalog: &wire.Catalog{Version: version, Content: []byte(content)},
	}}}
}

// TestHighestCatalogStays: in whatever order configurations are offered and
// repeated, every one is acknowledged, the version never goes back, the first
// content under a version stays, and a restored registry holds the same.
func TestHighestCatalogStays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := registry.New(registry.DefaultConfig())
		var highest uint64
		var content string
		for i := range rapid.IntRange(1, 20).Draw(t, "offers") {
			version := uint64(rapid.IntRange(1, 9).Draw(t, "version"))
			text := rapid.StringMatching(`[a-c]{1,2}`).Draw(t, "content")
			outcome := r.Apply(uint64(i+1), offer(version, text))
			if outcome.GetKind() != registry.Accepted {
				t.Fatalf("version %d: %s", version, outcome.GetKind())
			}
			if version > highest {
				highest, content = version, text
			}
			if got := r.Catalog(); got.GetVersion() != highest || string(got.GetContent()) != content {
				t.Fatalf("holds %d %q, want %d %q", got.GetVersion(), got.GetContent(), highest, content)
			}
		}
		image, err := r.Image()
		if err != nil {
			t.Fatal(err)
		}
		restored := registry.New(registry.DefaultConfig())
		if err := restored.Restore(image); err != nil {
			t.Fatal(err)
		}
		again, err := restored.Image()
		if err != nil || !bytes.Equal(image, again) || restored.Catalog().GetVersion() != highest {
			t.Fatalf("a restored registry differs: %v", err)
		}
	})
}
