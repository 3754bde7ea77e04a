package registry_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
)

// FuzzApply checks that no command, however malformed, panics, lacks an outcome
// or leads to a state whose image cannot be restored.
func FuzzApply(f *testing.F) {
	for _, c := range []*wire.Command{putTables("a", 0), claim("a", 1), settle("a", "complete", 1, []byte("x")), {}} {
		data, err := proto.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		r := registry.New(registry.DefaultConfig())
		for i, data := range [][]byte{first, second, first} {
			var c wire.Command
			if proto.Unmarshal(data, &c) != nil {
				continue
			}
			if r.Apply(uint64(i), &c).GetKind() == "" {
				t.Error("Apply returned an outcome without a kind")
			}
		}
		image, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := registry.New(registry.DefaultConfig()).Restore(image); err != nil {
			t.Error(err)
		}
	})
}
