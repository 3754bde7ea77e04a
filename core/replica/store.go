package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/journal"
	"tanagerroad/core/wire"
)

// Names of a control instance's files.
const (
	journalName  = "journal"
	identityName = "identity"
)

// Store keeps a replica's journal on a disk.
type Store struct{ disk tanagerroad.Disk }

// NewStore returns the store on disk.
func NewStore(disk tanagerroad.Disk) *Store { return &Store{disk} }

// Identity returns the instance's identity. An emptied disk gets a new one, by
// mint, and keeps it before anything else happens.
func (s *Store) Identity(mint func() string) (string, error) {
	data, err := s.disk.Read(identityName)
	if err != nil {
		return "", err
	}
	payloads, _, err := journal.Scan(data)
	if err != nil {
		return "", fmt.Errorf("%s: %w", identityName, err)
	}
	if len(payloads) > 0 {
		return string(payloads[0]), nil
	}
	if len(data) > 0 {
		return "", fmt.Errorf("%s: its only record is damaged", identityName)
	}
	id := mint()
	return id, s.disk.Replace(identityName, journal.Append(nil, []byte(id)))
}

// Load reads the journal and cuts a torn tail. empty says that nothing was ever
// kept there.
func (s *Store) Load() (stored Stored, empty bool, err error) {
	data, err := s.disk.Read(journalName)
	if err != nil {
		return Stored{}, false, err
	}
	payloads, end, err := journal.Scan(data)
	if err != nil {
		return Stored{}, false, fmt.Errorf("%s: %w", journalName, err)
	}
	if end < int64(len(data)) {
		if err := s.disk.Truncate(journalName, end); err != nil {
			return Stored{}, false, err
		}
	}
	var records []*wire.Record
	for _, payload := range payloads {
		var batch wire.Batch
		if err := proto.Unmarshal(payload, &batch); err != nil {
			return Stored{}, false, fmt.Errorf("%s: %w", journalName, err)
		}
		records = append(records, batch.GetRecords()...)
	}
	stored, err = Fold(records)
	return stored, len(records) == 0, err
}

// Save appends records as one frame and syncs them. It returns the frame's
// size in bytes.
func (s *Store) Save(records []*wire.Record) (int, error) {
	frame, err := frameOf(records)
	if err != nil {
		return 0, err
	}
	if err := s.disk.Append(journalName, frame); err != nil {
		return 0, err
	}
	return len(frame), s.disk.Sync(journalName)
}

// Replace makes records the whole journal.
func (s *Store) Replace(records []*wire.Record) error {
	frame, err := frameOf(records)
	if err != nil {
		return err
	}
	return s.disk.Replace(journalName, frame)
}

func frameOf(records []*wire.Record) ([]byte, error) {
	payload, err := proto.Marshal(&wire.Batch{Records: records})
	if err != nil {
		return nil, fmt.Errorf("journal frame: %w", err)
	}
	return journal.Append(nil, payload), nil
}
