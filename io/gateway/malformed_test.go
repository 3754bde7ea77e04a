package gateway

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"tanagerroad/core/wire"
)

// names are values that make a random message reach further than random text would.
var names = []string{"", "prep", "last", "p", "127.0.0.1:1", "127.0.0.1:2", "z", "y", "serving", "r", "\xff\x00", "no such"}

// fill sets random fields of a message to random values, extreme ones among them.
func fill(t *rapid.T, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsMap() || rapid.IntRange(0, 2).Draw(t, "skip") == 0 {
			continue
		}
		if !field.IsList() {
			if field.Kind() != protoreflect.MessageKind {
				m.Set(field, value(t, field.Kind()))
			} else if depth > 0 {
				fill(t, m.Mutable(field).Message(), depth-1)
			}
			continue
		}
		list := m.Mutable(field).List()
		for range rapid.IntRange(0, 3).Draw(t, "length") {
			if field.Kind() != protoreflect.MessageKind {
				list.Append(value(t, field.Kind()))
			} else if element := list.AppendMutable().Message(); depth > 0 {
				fill(t, element, depth-1)
			}
		}
	}
}

func value(t *rapid.T, kind protoreflect.Kind) protoreflect.Value {
	number := rapid.SampledFrom([]int64{0, 1, 2, -1, 1000, math.MaxInt64, math.MinInt64}).Draw(t, "number")
	switch kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(number%2 == 0)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(rapid.SampledFrom(names).Draw(t, "text"))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(rapid.SampledFrom(names).Draw(t, "bytes")))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(rapid.SampledFrom([]float64{0, 1, -1, math.NaN(), math.Inf(1), 1e300}).Draw(t, "float"))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(number)
	}
	return protoreflect.ValueOfUint64(uint64(number)) // uint64 and fixed64
}

// TestMalformedMessages guards against a message of another process that ends this one, or
// after which it serves nobody any more.
func TestMalformedMessages(t *testing.T) {
	p := newPieceServer(t)
	servers, _ := newScripted(t, 1000, useResults(p))
	g, address := newTestGateway(t, append(servers, p.backend)...)
	rapid.Check(t, func(t *rapid.T) {
		var job wire.PieceJob
		fill(t, job.ProtoReflect(), 2)
		switch {
		case len(job.GetFree()) > 0:
			g.batcher(job.GetShard()).release(job.GetFree())
		case job.GetCancel():
			g.batcher(job.GetShard()).cancel("a", job.GetNumber())
		default:
			g.batcher(job.GetShard()).submit("a", proto.CloneOf(&job), func(*wire.PieceResult) {})
		}
		var update wire.Update
		fill(t, update.ProtoReflect(), 2)
		update.Instances = nil // watches of them would go on after the test
		update.Quarantine = nil
		g.applyUpdate("127.0.0.1:1", &update)
		g.housekeep()
	})
	g.cancelAllJobs("a")
	g.mu.Lock()
	g.roster.Retain("127.0.0.1:1", nil)
	g.applyRoster(g.now())
	g.mu.Unlock()
	// The results of the random jobs take up memory until they expire, after 4 s.
	var status int
	for end := time.Now().Add(8 * time.Second); status != 200 && time.Now().Before(end); {
		status, _, _ = call(t, address, "/staged/", "a", headerPieces, "2")
	}
	if status != 200 {
		t.Errorf("got %d after the messages, want 200", status)
	}
}
