package tanagerroad

import (
	"fmt"
	"strings"
)

// Finding is one error in a file that an operator wrote.
type Finding struct {
	File  string `json:"file"`
	Line  int    `json:"line"`  // counted from 1; 0 if the finding concerns the whole file
	Path  string `json:"path"`  // such as routes[2].stages[0].pool
	Found string `json:"found"` // the value in the file
	Want  string `json:"want"`  // a description of valid values
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, want %s", f.File, f.Line, f.Path, f.Found, f.Want)
}

// Findings holds all errors found by one check.
type Findings []Finding

// Error returns the findings, one per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
