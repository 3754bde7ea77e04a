package quorum_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
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

// failingDisk is a real disk whose appends, syncs or replacements of the journal can be made to
// fail, as those of a full disk or a broken device do. It keeps apart what would outlive a loss
// of power: after a failed sync, later syncs of the file succeed and make nothing durable.
type failingDisk struct {
	tanagerroad.Disk
	failAppends, failSyncs, failReplaces atomic.Bool

	mu      sync.Mutex
	tainted map[string]bool
	durable map[string][]byte
}

func newFailingDisk(d tanagerroad.Disk) *failingDisk {
	return &failingDisk{Disk: d, tainted: map[string]bool{}, durable: map[string][]byte{}}
}

var errFull = errors.New("no space left on device")

// refuse makes all writes fail, or succeed again.
func (f *failingDisk) refuse(on bool) {
	f.failAppends.Store(on)
	f.failSyncs.Store(on)
	f.failReplaces.Store(on)
}

func (f *failingDisk) Append(name string, data []byte) error {
	if f.failAppends.Load() {
		return errFull
	}
	return f.Disk.Append(name, data)
}

func (f *failingDisk) Sync(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSyncs.Load() {
		f.tainted[name] = true
		return errFull
	}
	if err := f.Disk.Sync(name); err != nil || f.tainted[name] {
		return err
	}
	data, err := f.Disk.Read(name)
	f.durable[name] = data
	return err
}

func (f *failingDisk) Replace(name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failReplaces.Load() && name == "journal" {
		return errFull
	}
	if err := f.Disk.Replace(name, data); err != nil {
		return err
	}
	f.durable[name], f.tainted[name] = data, false
	return nil
}

// losePower writes what is durable to dir.
func (f *failingDisk) losePower(t *testing.T, dir string) {
	t.Helper()
	for name, data := range f.durable {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// newSingle starts a control instance that is the only member. prepare, if not nil, is called
// with its disk before. The returned function stops it and closes its disk.
func newSingle(t *testing.T, dir string, prepare func(*failingDisk)) (*quorum.Quorum, *failingDisk, func()) {
	t.Helper()
	d, closeDisk, err := disk.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := settings.DefaultControl()
	s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
	s.Peer.Address = "127.0.0.1:1"
	s.Instances = []string{s.Peer.Address}
	s.ElectionTimeout = tanagerroad.Duration(50 * time.Millisecond)
	s.HeartbeatInterval = tanagerroad.Duration(10 * time.Millisecond)
	conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
	f := newFailingDisk(d)
	if prepare != nil {
		prepare(f)
	}
	q, closeQuorum, err := quorum.New(quorum.Config{
		Settings: s, Registry: registry.DefaultConfig(), Disk: f, Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	return q, f, func() {
		closeQuorum()
		closeConns()
		_ = closeDisk()
	}
}

// startSingle starts a control instance that is the only member, and waits until it
// leads. The returned function stops it and closes its disk.
func startSingle(t *testing.T, dir string) (*quorum.Quorum, *failingDisk, func()) {
	t.Helper()
	q, f, stop := newSingle(t, dir, nil)
	awaitLeader(t, q)
	return q, f, stop
}

// awaitLeader waits until an instance that is the only member leads.
func awaitLeader(t *testing.T, q *quorum.Quorum) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); q.View().Role != "leader" || q.View().Leader == ""; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance did not become leader within 10 s")
		}
	}
}

func proposeClaim(q *quorum.Quorum, id string) (*wire.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return q.Propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
		Request: id, Workspace: "w", Key: &wire.Key{Request: id, Attempt: 1},
	}}})
}

func granted(o *wire.Outcome, err error) bool { return err == nil && o.GetKind() == registry.Granted }

// TestFailedDiskAcknowledgesNothing checks that nothing is acknowledged from a failed write
// or sync on until the journal could be written anew, and that what was acknowledged before and
// after outlives a loss of power.
func TestFailedDiskAcknowledgesNothing(t *testing.T) {
	for operation, fail := range map[string]func(*failingDisk){
		"append": func(f *failingDisk) { f.failAppends.Store(true) },
		"sync":   func(f *failingDisk) { f.failSyncs.Store(true) },
	} {
		t.Run(operation, func(t *testing.T) {
			dir := t.TempDir()
			q, f, stop := startSingle(t, dir)
			if o, err := proposeClaim(q, "before"); !granted(o, err) {
				t.Fatalf("before the failure: %v, %v", o, err)
			}
			f.failReplaces.Store(true)
			fail(f)
			if o, err := proposeClaim(q, "during"); granted(o, err) {
				t.Error("a claim was granted although it could not be stored")
			}
			f.failAppends.Store(false)
			f.failSyncs.Store(false)
			time.Sleep(500 * time.Millisecond)
			if o, err := proposeClaim(q, "still"); granted(o, err) || !q.View().DiskFailed || q.View().Leader != "" {
				t.Error("before the journal was written anew: a claim was granted, or View shows no failed disk, or a leader")
			}
			f.failReplaces.Store(false)
			awaitLeader(t, q)
			if o, err := proposeClaim(q, "after"); !granted(o, err) {
				t.Errorf("after the disk took writes again: %v, %v", o, err)
			}
			acknowledged := q.View().Claims
			stop()
			f.losePower(t, dir)
			q, _, stop = startSingle(t, dir)
			defer stop()
			awaitClaims(t, q, acknowledged)
			for _, id := range []string{"before", "after"} {
				o, err := proposeClaim(q, id)
				if !granted(o, err) || o.GetClaim().GetKey().GetRequest() != id {
					t.Errorf("%s, after a loss of power: %v, %v", id, o, err)
				}
			}
		})
	}
}

// TestUnsyncedJournalIsTrusted guards against an instance that takes what it reads at its
// start for durable, although the process before it ended after a sync had failed.
func TestUnsyncedJournalIsTrusted(t *testing.T) {
	dir := t.TempDir()
	q, before, stop := startSingle(t, dir)
	before.failSyncs.Store(true)
	before.failReplaces.Store(true)
	_, _ = proposeClaim(q, "unsynced")
	stop()
	q, after, stop := newSingle(t, dir, func(f *failingDisk) { f.tainted, f.durable = before.tainted, before.durable })
	awaitLeader(t, q)
	if o, err := proposeClaim(q, "synced"); !granted(o, err) {
		t.Fatalf("after a restart: %v, %v", o, err)
	}
	want := q.View().Claims
	stop()
	after.losePower(t, dir)
	q, _, stop = startSingle(t, dir)
	defer stop()
	awaitClaims(t, q, want)
}

// awaitClaims waits until an instance that lost its power holds the claims that it held before.
func awaitClaims(t *testing.T, q *quorum.Quorum, want int) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); q.View().Claims < want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d claims after a loss of power, want the %d that were acknowledged or read before", q.View().Claims, want)
		}
	}
}

// TestPendingCallsOutliveTheirInstance guards against proposals and reads that wait for
// their own timeouts although the instance has stopped, or its disk has failed.
func TestPendingCallsOutliveTheirInstance(t *testing.T) {
	for name, end := range map[string]func(f *failingDisk, stop func()){
		"stopped":     func(_ *failingDisk, stop func()) { stop() },
		"failed disk": func(f *failingDisk, _ func()) { f.failAppends.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			q, f, stop := startSingle(t, t.TempDir())
			stopOnce := sync.OnceFunc(stop)
			defer stopOnce()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			started := time.Now()
			var group sync.WaitGroup
			for i := range 50 {
				group.Go(func() {
					for n := 0; time.Since(started) < 500*time.Millisecond; n++ {
						_, _ = q.Propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: &wire.Claim{
							Request: fmt.Sprint(i, "-", n), Workspace: "w", Key: &wire.Key{Request: fmt.Sprint(i, "-", n), Attempt: 1},
						}}})
						q.Read(ctx, func(*registry.Registry) {})
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			end(f, stopOnce)
			group.Wait()
			if took := time.Since(started); took > 3*time.Second {
				t.Errorf("the last call ended after %v, want it when the instance had ended", took)
			}
		})
	}
}

// TestDamagedJournals checks that an incomplete record at the end of the journal is
// cut off, that a corrupt record in the middle is an error that states its offset, and
// that a second process cannot open the same directory.
func TestDamagedJournals(t *testing.T) {
	dir := t.TempDir()
	q, _, stop := startSingle(t, dir)
	for _, id := range []string{"a", "b", "c"} {
		if o, err := proposeClaim(q, id); !granted(o, err) {
			t.Fatalf("%s: %v, %v", id, o, err)
		}
	}
	if _, _, err := disk.Open(dir); !strings.Contains(err.Error(), "in use by another process") {
		t.Errorf("opening the directory a second time: %v", err)
	}
	stop()
	journal := filepath.Join(dir, "journal")
	intact, err := os.ReadFile(journal)
	if err != nil {
		t.Fatal(err)
	}
	write := func(data []byte) {
		if err := os.WriteFile(journal, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(append(append([]byte{}, intact...), intact[:7]...)) // an incomplete record
	q, _, stop = startSingle(t, dir)
	if o, err := proposeClaim(q, "c"); !granted(o, err) || o.GetClaim().GetKey().GetRequest() != "c" {
		t.Errorf("after an incomplete record at the end: %v, %v", o, err)
	}
	stop()
	damaged := append([]byte{}, intact...)
	damaged[len(damaged)/2] ^= 1
	write(damaged)
	d, closeDisk, err := disk.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closeDisk() }()
	_, _, err = quorum.New(quorum.Config{
		Settings: settings.DefaultControl(), Registry: registry.DefaultConfig(), Disk: d, Clock: tanagerroad.NewSystemClock(), Logger: zap.NewNop(),
	})
	if err == nil || !strings.Contains(err.Error(), "journal: corrupt record at offset") {
		t.Errorf("corrupt record in the middle: %v", err)
	}
}
