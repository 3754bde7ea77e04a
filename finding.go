package tanagerroad

import (
	"fmt"
	"strings"
)

// Finding is one fault in a file that an operator wrote.
type Finding struct {
	File  string `json:"file"`
	Line  int    `json:"line"`  // counted from 1; 0 when the whole file is meant
	Path  string `json:"path"`  // such as routes[2].stages[0].pool
	Found string `json:"found"` // what stands there
	Want  string `json:"want"`  // what would be right
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, want %s", f.File, f.Line, f.Path, f.Found, f.Want)
}

// Findings is every fault found in one check, reported together.
type Findings []Finding

// Error lists the findings, one a line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
