// Package region holds the regions in which a request may be served, cached and stored.
// It is built for work that the law or a contract binds to regions: whatever is not known
// to be in an allowed region counts as outside.
package region

import "slices"

// Set is a set of allowed regions. The zero Set allows all, and also places whose region is
// not known.
type Set struct {
	names      []string
	restricted bool // only names are allowed
}

// Intersect returns what both a route and a workspace allow. A list without names allows all.
func Intersect(route, workspace []string) Set {
	switch {
	case len(workspace) == 0:
		return Set{route, len(route) > 0}
	case len(route) == 0:
		return Set{workspace, true}
	}
	var both []string
	for _, name := range route {
		if slices.Contains(workspace, name) {
			both = append(both, name)
		}
	}
	return Set{both, true}
}

// Decode returns the set of a message: none if it says so, else the named regions, or all if
// it names none.
func Decode(names []string, none bool) Set {
	if none {
		return Set{restricted: true}
	}
	return Set{names, len(names) > 0}
}

// Encode is the inverse of Decode.
func (s Set) Encode() (names []string, none bool) {
	return s.names, s.restricted && len(s.names) == 0
}

// Equal reports whether two sets come from the same names.
func (s Set) Equal(other Set) bool {
	return s.restricted == other.restricted && slices.Equal(s.names, other.names)
}

// AllowsAll reports whether the set allows every region.
func (s Set) AllowsAll() bool { return !s.restricted }

// Allows reports whether the set allows a region; empty: one that is not known.
func (s Set) Allows(region string) bool {
	return !s.restricted || region != "" && slices.Contains(s.names, region)
}
