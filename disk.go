package tanagerroad

// Disk is one data folder. Bytes written last only once they are synced.
type Disk interface {
	// Append adds bytes to the file's end, unsynced.
	Append(name string, data []byte) error
	// Sync makes everything appended to the file durable.
	Sync(name string) error
	// Replace makes the file hold exactly data, durably and in one step:
	// after a crash it holds the old bytes or the new, never a mixture.
	Replace(name string, data []byte) error
	// Read returns the file's bytes, or nil and no error when there is none.
	Read(name string) ([]byte, error)
	// Truncate cuts the file to size bytes, durably.
	Truncate(name string, size int64) error
}
