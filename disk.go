package tanagerroad

// Disk stores the files of one data directory. Written bytes survive a crash
// only once they are synced.
type Disk interface {
	// Append adds bytes to the file's end without syncing them.
	Append(name string, data []byte) error
	// Sync makes everything appended to the file durable.
	Sync(name string) error
	// Replace sets the file's content to data, durably and atomically: after a
	// crash the file holds either the old bytes or the new.
	Replace(name string, data []byte) error
	// Read returns the file's bytes, or nil and no error if it does not exist.
	Read(name string) ([]byte, error)
}
