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
type Store struct{ disk tanagerroad.Disk }

// NewStore returns a Store that uses disk.
func NewStore(disk tanagerroad.Disk) *Store { return &Store{disk} }

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

// Load reads the journal and truncates a torn tail. It reports empty if the
// journal holds no records.
func (s *Store) Load() (stored Stored, empty bool, err error) {
	data, err := s.disk.Read(journalFile)
	if err != nil {
		return Stored{}, false, err
	}
	payloads, end, err := journal.Scan(data)
	if err != nil {
		return Stored{}, false, fmt.Errorf("%s: %w", journalFile, err)
	}
	if end < int64(len(data)) {
		if err := s.disk.Truncate(journalFile, end); err != nil {
			return Stored{}, false, err
		}
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
	return stored, len(records) == 0, err
}

// Save appends records to the journal as one frame and syncs it. It returns the
// size of the frame in bytes.
func (s *Store) Save(records []*wire.Record) (int, error) {
	frame, err := encodeFrame(records)
	if err != nil {
		return 0, err
	}
	if err := s.disk.Append(journalFile, frame); err != nil {
		return 0, err
	}
	return len(frame), s.disk.Sync(journalFile)
}

// Replace replaces the whole journal with records.
func (s *Store) Replace(records []*wire.Record) error {
	frame, err := encodeFrame(records)
	if err != nil {
		return err
	}
	return s.disk.Replace(journalFile, frame)
}

// encodeFrame returns the journal frame that holds records.
func encodeFrame(records []*wire.Record) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Batch{Records: records})
	if err != nil {
		return nil, fmt.Errorf("encode journal frame: %w", err)
	}
	return journal.Append(nil, payload), nil
}
