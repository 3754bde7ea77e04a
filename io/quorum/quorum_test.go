package quorum_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/registry"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/disk"
	"tanagerroad/io/peer"
	"tanagerroad/io/quorum"
)

// failing is a real folder whose appends or syncs fail from some moment on, as
// with a full disk or a device that gives up.
type failing struct {
	tanagerroad.Disk
	appends, syncs atomic.Bool
}

var errFull = errors.New("no space left on device")

func (f *failing) Append(name string, data []byte) error {
	if f.appends.Load() {
		return errFull
	}
	return f.Disk.Append(name, data)
}

func (f *failing) Sync(name string) error {
	if f.syncs.Load() {
		return errFull
	}
	return f.Disk.Sync(name)
}

// alone starts a control instance that is its own quorum.
func alone(t *testing.T, folder string) (*quorum.Quorum, *failing, func()) {
	t.Helper()
	d, closeDisk, err := disk.New(folder)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.DefaultControl()
	s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
	s.Peer.Address = "127.0.0.1:1"
	s.Instances = []string{s.Peer.Address}
	s.ElectionTimeout = tanagerroad.Duration(50 * time.Millisecond)
	s.HeartbeatInterval = tanagerroad.Duration(10 * time.Millisecond)
	links, closeLinks := peer.NewConnPool(peer.NewMeter(), 1<<20)
	f := &failing{Disk: d}
	q, closeQuorum, err := quorum.New(quorum.Config{
		Settings: s, Registry: registry.DefaultConfig(), Disk: f, Clock: tanagerroad.NewSystemClock(), Links: links, Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := func() {
		closeQuorum()
		closeLinks()
		_ = closeDisk()
	}
	for end := time.Now().Add(10 * time.Second); q.View().Role != "leader"; {
		if time.Now().After(end) {
			t.Fatal("it does not lead")
		}
		time.Sleep(5 * time.Millisecond)
	}
	return q, f, stop
}

func claim(q *quorum.Quorum, id string) (*wire.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return q.Propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: id, Workspace: "w", Key: &wire.Key{Request: id, Attempt: 1},
	}}})
}

func granted(o *wire.Outcome, err error) bool { return err == nil && o.GetKind() == registry.Granted }

// TestFailedDiskAcknowledgesNothing: after a write or sync failed nothing more is
// acknowledged, and what was acknowledged before is there after a restart.
func TestFailedDiskAcknowledgesNothing(t *testing.T) {
	for _, what := range []string{"append", "sync"} {
		t.Run(what, func(t *testing.T) {
			folder := t.TempDir()
			q, f, stop := alone(t, folder)
			if o, err := claim(q, "before"); !granted(o, err) {
				t.Fatalf("before the failure: %v, %v", o, err)
			}
			if what == "append" {
				f.appends.Store(true)
			} else {
				f.syncs.Store(true)
			}
			if o, err := claim(q, "during"); granted(o, err) {
				t.Error("a claim was granted although it could not be kept")
			}
			f.appends.Store(false)
			f.syncs.Store(false)
			if o, err := claim(q, "after"); granted(o, err) || !q.View().DiskFailed {
				t.Error("a claim was granted behind one that was not kept")
			}
			stop()
			q, _, stop = alone(t, folder)
			defer stop()
			o, err := claim(q, "before")
			if !granted(o, err) || o.GetClaim().GetKey().GetRequest() != "before" {
				t.Errorf("after a restart: %v, %v", o, err)
			}
		})
	}
}

// TestDamagedJournals: a torn tail is cut, damage in the middle is refused with
// its place, and a second process on the folder is refused.
func TestDamagedJournals(t *testing.T) {
	folder := t.TempDir()
	q, _, stop := alone(t, folder)
	for _, id := range []string{"a", "b", "c"} {
		if o, err := claim(q, id); !granted(o, err) {
			t.Fatalf("%s: %v, %v", id, o, err)
		}
	}
	if _, _, err := disk.New(folder); !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("a second process on the folder: %v", err)
	}
	stop()
	journal := filepath.Join(folder, "journal")
	whole, err := os.ReadFile(journal)
	if err != nil {
		t.Fatal(err)
	}
	write := func(data []byte) {
		if err := os.WriteFile(journal, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(append(append([]byte{}, whole...), whole[:7]...)) // a torn frame
	q, _, stop = alone(t, folder)
	if o, err := claim(q, "c"); !granted(o, err) || o.GetClaim().GetKey().GetRequest() != "c" {
		t.Errorf("behind a torn tail: %v, %v", o, err)
	}
	stop()
	damaged := append([]byte{}, whole...)
	damaged[len(damaged)/2] ^= 1
	write(damaged)
	d, closeDisk, err := disk.New(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closeDisk() }()
	_, _, err = quorum.New(quorum.Config{
		Settings: settings.DefaultControl(), Registry: registry.DefaultConfig(), Disk: d, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(),
	})
	if err == nil || !strings.Contains(err.Error(), "journal: corrupt record at offset") {
		t.Errorf("damage in the middle: %v", err)
	}
}
