package origin_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tanagerroad"
	"tanagerroad/core/origin"
	"tanagerroad/core/wire"
)

// TestLedger runs the sequences of records, changes of the base and questions in
// testdata/ledger.json. A ledger that is restored after each step must answer the same.
func TestLedger(t *testing.T) {
	var scripts []struct {
		What  string
		Steps []struct {
			AtMs     int64  `json:"at-ms"`
			Record   string // id of the attempt that begins a stream
			KeepMs   int64  `json:"keep-ms"`
			Software string // of the record, or expected
			Ask      string // id of the attempt that began a stream
			From, To string // a change of the base
		}
	}
	readJSON(t, "testdata/ledger.json", &scripts)
	for _, script := range scripts {
		l := origin.New()
		for i, s := range script.Steps {
			l.Expire(s.AtMs)
			switch {
			case s.Record != "":
				l.Record(s.AtMs, []*wire.Origin{{Stream: origin.Stream(s.Record), Pool: "p", Software: s.Software, KeepMillis: s.KeepMs}})
			case s.Ask != "":
				if got := l.Software("p", origin.Stream(s.Ask)); got != s.Software {
					t.Errorf("%s: step %d: stream %s began at %q, want %q", script.What, i, s.Ask, got, s.Software)
				}
			default:
				l.ChangeBase("p", s.From, s.To)
			}
			l = restored(l)
		}
	}
}

func restored(l *origin.Ledger) *origin.Ledger {
	out := origin.New()
	bases, changes := l.Bases()
	out.Restore(bases, changes, l.Origins())
	return out
}

// TestRestoredLedgersAgree checks that a ledger and one that was restored from it hold the
// same records for as long.
func TestRestoredLedgersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []*origin.Ledger{origin.New()}
		at := int64(1_700_000_000_000)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at += rapid.Int64Range(0, 3000).Draw(t, "pause")
			record := &wire.Origin{
				Stream: rapid.Uint64Range(1, 6).Draw(t, "stream"), Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
				Software: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software"), KeepMillis: rapid.Int64Range(-100, 9000).Draw(t, "keep"),
			}
			for _, l := range all {
				l.Expire(at)
				l.Record(at, []*wire.Origin{record})
			}
			all = append(all[:1], restored(all[0]))
			at += rapid.Int64Range(0, 9000).Draw(t, "wait")
			for _, l := range all {
				l.Expire(at)
			}
			a, b := all[0].Origins(), all[1].Origins()
			if !proto.Equal(&wire.RecordOrigins{Origins: a}, &wire.RecordOrigins{Origins: b}) {
				t.Fatalf("got %v, after a restore %v", a, b)
			}
			for _, o := range a {
				if o.GetUntilMillis()/1000 < at/1000 {
					t.Fatalf("%v is kept at %d", o, at)
				}
			}
		}
	})
}

// TestBaseMovesOnWhileItsStreamsLast guards against a base version that is replaced
// although a server of it was in use a short while before, so that its streams, which have
// no record, count as streams of the new one.
func TestBaseMovesOnWhileItsStreamsLast(t *testing.T) {
	var scripts []struct {
		What  string
		Steps []struct {
			AtS     int      `json:"at-s"`
			Servers []string // software versions of the known servers
			Down    []string // of those that are down
			Pause   bool     // nobody watches until the next step
			To      string   // expected
		}
	}
	readJSON(t, "testdata/bases.json", &scripts)
	for _, script := range scripts {
		base := origin.NewBase(time.Minute)
		bases := []*wire.PoolBase{{Pool: "p", Software: "v1"}}
		for i, s := range script.Steps {
			if s.Pause {
				base.Forget()
				continue
			}
			var known []tanagerroad.Announcement
			for _, software := range s.Servers {
				known = append(known, tanagerroad.Announcement{Pool: "p", Software: software, State: tanagerroad.Serving})
			}
			for _, software := range s.Down {
				known = append(known, tanagerroad.Announcement{Pool: "p", Software: software, State: tanagerroad.Down})
			}
			to := ""
			for _, c := range base.Observe(time.Duration(s.AtS)*time.Second, bases, known) {
				to = c.To
			}
			if to != s.To {
				t.Errorf("%s: step %d: the base moves on to %q, want %q", script.What, i, to, s.To)
			}
		}
	}
}

func readJSON(t *testing.T, path string, to any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(data, to); err != nil {
		t.Fatal(err)
	}
}
