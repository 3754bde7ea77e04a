package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/journal"
	"tanagerroad/core/wire"
)

// Names of the files on a control instance's disk.
const (
	journalFile  = "journal"
	identityFile = "identity"
)

// Store reads and writes a replica's identity and journal on a disk.
type Store struct {
	disk tanagerroad.Disk
	// suspect is set while bytes of the journal can be read that may not be durable:
	// after a failed write or sync, and after a start, since the process that wrote them
	// may have ended before it synced them. A later sync that succeeds proves nothing
	// about them.
	suspect bool
}

// NewStore returns a Store that uses disk.
func NewStore(disk tanagerroad.Disk) *Store { return &Store{disk: disk} }

// Identity returns the instance's identity. If the disk has none, Identity calls
// newID for one and saves it before it returns.
func (s *Store) Identity(newID func() string) (string, error) {
	data, err := s.disk.Read(identityFile)
	if err != nil {
		return "", err
	}
	payloads, _, err := journal.Scan(data)
	if err != nil {
		return "", fmt.Errorf("%s: %w", identityFile, err)
	}
	if len(payloads) > 0 {
		return string(payloads[0]), nil
	}
	if len(data) > 0 {
		return "", fmt.Errorf("%s: the only record is damaged", identityFile)
	}
	id := newID()
	return id, s.disk.Replace(identityFile, journal.Append(nil, []byte(id)))
}

// Load reads the journal up to a torn tail. It reports empty if the journal holds no
// records. The next Persist replaces the journal.
func (s *Store) Load() (stored Stored, empty bool, err error) {
	data, err := s.disk.Read(journalFile)
	if err != nil {
		return Stored{}, false, err
	}
	payloads, _, err := journal.Scan(data)
	if err != nil {
		return Stored{}, false, fmt.Errorf("%s: %w", journalFile, err)
	}
	var records []*wire.Record
	for _, payload := range payloads {
		var batch wire.Batch
		if err := proto.Unmarshal(payload, &batch); err != nil {
			return Stored{}, false, fmt.Errorf("%s: %w", journalFile, err)
		}
		records = append(records, batch.GetRecords()...)
	}
	stored, err = Replay(records)
	s.suspect = len(data) > 0
	return stored, len(records) == 0, err
}

// Persist makes the records of out durable. all returns the records of a journal that
// holds the replica's whole state, out included; they replace a journal that may not be
// durable. Persist returns the number of bytes that it wrote, without those of Install. If
// it fails, nothing of out may be sent or applied before a later Persist succeeds.
func (s *Store) Persist(out Output, all func() []*wire.Record) (written int, err error) {
	if s.suspect {
		return s.replace(all())
	}
	if out.Install != nil {
		if err := s.Replace(out.Install); err != nil {
			return 0, err
		}
	}
	if len(out.Save) == 0 {
		return 0, nil
	}
	return s.save(out.Save)
}

// save appends records to the journal as one frame and syncs it. It returns the size of
// the frame in bytes.
func (s *Store) save(records []*wire.Record) (int, error) {
	frame, err := encodeFrame(records)
	if err != nil {
		return 0, err
	}
	s.suspect = true
	if err := s.disk.Append(journalFile, frame); err != nil {
		return 0, err
	}
	if err := s.disk.Sync(journalFile); err != nil {
		return 0, err
	}
	s.suspect = false
	return len(frame), nil
}

// Replace replaces the whole journal with records, in a new file.
func (s *Store) Replace(records []*wire.Record) error {
	_, err := s.replace(records)
	return err
}

// replace is Replace; it returns the size of the new file in bytes.
func (s *Store) replace(records []*wire.Record) (int, error) {
	frame, err := encodeFrame(records)
	if err != nil {
		return 0, err
	}
	s.suspect = true
	if err := s.disk.Replace(journalFile, frame); err != nil {
		return 0, err
	}
	s.suspect = false
	return len(frame), nil
}

// encodeFrame returns the journal frame that holds records.
func encodeFrame(records []*wire.Record) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Batch{Records: records})
	if err != nil {
		return nil, fmt.Errorf("encode journal frame: %w", err)
	}
	return journal.Append(nil, payload), nil
}
