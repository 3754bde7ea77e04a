package quorum_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
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

// smallDisk is a real disk that holds a bounded number of bytes.
type smallDisk struct {
	tanagerroad.Disk
	dir      string
	capacity int64
}

func (s *smallDisk) used() (n int64) {
	files, _ := os.ReadDir(s.dir)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += info.Size()
		}
	}
	return n
}

var errNoRoom = errors.New("no space left on device")

func (s *smallDisk) Append(name string, data []byte) error {
	if s.used()+int64(len(data)) > s.capacity {
		return errNoRoom
	}
	return s.Disk.Append(name, data)
}

func (s *smallDisk) Replace(name string, data []byte) error {
	if s.used()+int64(len(data)) > s.capacity { // the old file is there until the new one is complete
		return errNoRoom
	}
	return s.Disk.Replace(name, data)
}

// TestRestartsFillTheDisk guards against a journal that grows with each restart, since only what
// was appended since the start counts for its compaction, until the disk has no room for the
// copy that a start writes.
func TestRestartsFillTheDisk(t *testing.T) {
	const compactAt = 64 << 10
	dir := t.TempDir()
	for life := range 8 {
		d, closeDisk, err := disk.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		s := settings.DefaultControl()
		s.Common = settings.Common{Process: "control", Zone: "a", Region: "west"}
		s.Peer.Address = "127.0.0.1:1"
		s.Instances = []string{s.Peer.Address}
		s.CompactAtSize = compactAt
		s.ElectionTimeout = tanagerroad.Duration(50 * time.Millisecond)
		s.HeartbeatInterval = tanagerroad.Duration(10 * time.Millisecond)
		conns, closeConns := peer.NewConnPool(peer.NewMeter(), 1<<20)
		q, closeQuorum, err := quorum.New(quorum.Config{
			Settings: s, Registry: registry.DefaultConfig(), Disk: &smallDisk{d, dir, 8 * compactAt}, Clock: tanagerroad.NewSystemClock(), Conns: conns, Logger: zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		stop := func() { closeQuorum(); closeConns(); _ = closeDisk() }
		for end := time.Now().Add(5 * time.Second); q.View().Role != "leader" || q.View().Leader == ""; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				info, _ := os.Stat(filepath.Join(dir, "journal"))
				t.Errorf("life %d: no leader within 5 s, disk failed %v, journal of %d bytes, compacted at %d, disk of %d",
					life, q.View().DiskFailed, info.Size(), compactAt, 8*compactAt)
				stop()
				return
			}
		}
		for written := 0; written < compactAt*9/10; written += 4 << 10 {
			outcome, err := q.Propose(t.Context(), &wire.Command{Body: &wire.Command_PutCatalog{PutCatalog: &wire.PutCatalog{
				Catalog: &wire.Catalog{Version: uint64(life*100 + written>>10 + 1), Content: []byte(strings.Repeat("x", 4<<10))},
			}}})
			if err != nil || outcome.GetKind() != registry.Accepted {
				t.Fatalf("life %d: %v, %v", life, outcome, err)
			}
		}
		info, _ := os.Stat(filepath.Join(dir, "journal"))
		t.Logf("life %d: journal of %d bytes, %d entries", life, info.Size(), q.View().LogEntries)
		stop()
	}
}
