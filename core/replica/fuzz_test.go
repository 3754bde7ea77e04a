package replica_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"tanagerroad/core/wire"
)

// FuzzStep checks that no message from another control instance, however
// malformed, makes Step panic or lowers the commit index.
func FuzzStep(f *testing.F) {
	for _, kind := range []string{"append", "append-reply", "vote", "pre-vote", "snapshot", "snapshot-reply", "join", "take-over"} {
		m := &wire.Message{Kind: kind, From: "b", To: "a", Term: 3, Index: 1, LogTerm: 1, Entries: []*wire.Entry{{Index: 2, Term: 3}}, Last: true, SnapshotIndex: 1}
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	for _, indexes := range [][]uint64{{0}, {4}, {3, 3}, {2, 4}} {
		m := &wire.Message{Kind: "append", From: "b", To: "a", Term: 3, Index: 2, LogTerm: 2}
		for _, i := range indexes {
			m.Entries = append(m.Entries, &wire.Entry{Index: i, Term: 3})
		}
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		var m wire.Message
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		r := newFollower(threeVoters, entry(1, 1), entry(2, 2))
		at := 10 * electionTimeout
		if leads {
			at = electLeader(t, r)
			ack(r, at, "b", 3, 0)
		}
		m.To = "a"
		before := r.CommitIndex()
		r.Step(at, &m)
		r.Tick(at + heartbeat)
		if r.CommitIndex() < before {
			t.Errorf("the commit index fell from %d to %d", before, r.CommitIndex())
		}
	})
}
