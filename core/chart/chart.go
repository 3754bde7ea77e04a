// Package chart interprets state charts defined in JSON files. A chart is a table
// of transitions between states. Its users store the current state, ask the chart
// for the next one, and report an event without a transition as an error.
package chart

import (
	"fmt"
	"sort"

	"tanagerroad"
	"tanagerroad/core/document"
)

// chartFile is the JSON layout of a chart.
type chartFile struct {
	Name    string                       `json:"name" required:"true"`
	Initial string                       `json:"initial" required:"true"`
	Final   []string                     `json:"final"`
	States  map[string]map[string]string `json:"states" required:"true"` // state -> event -> next state
}

// Chart is a state chart.
type Chart struct {
	Name    string
	Initial string
	states  map[string]map[string]string
	final   map[string]bool
}

// UnexpectedEventError is the error for an event that has no transition from the
// current state.
type UnexpectedEventError struct {
	Chart, State, Event string
}

// Error returns a text that recorded traces hold as a reason, so its wording
// can't change; "arrow" in it means a transition.
func (e *UnexpectedEventError) Error() string {
	return fmt.Sprintf("chart %s: no arrow for event %s from state %s", e.Chart, e.Event, e.State)
}

// Parse reads a chart and checks that every transition leads to a state of the
// chart, that every state can be reached from the initial one, and that final
// states have no transitions. name is the file name given in the findings. A
// non-nil error is of type tanagerroad.Findings.
func Parse(name string, data []byte) (*Chart, error) {
	var f chartFile
	findings := document.Decode(name, data, &f)
	c := &Chart{Name: f.Name, Initial: f.Initial, states: f.States, final: map[string]bool{}}
	for _, s := range f.Final {
		c.final[s] = true
	}
	findings = append(findings, c.check(name)...)
	return c, findings.Err()
}

// MustParse is like Parse but panics on an error. It is for charts embedded in
// the program, where any test run reveals the fault.
func MustParse(name string, data []byte) *Chart {
	c, err := Parse(name, data)
	if err != nil {
		panic(err)
	}
	return c
}

// check returns the faults of a parsed chart.
func (c *Chart) check(name string) tanagerroad.Findings {
	var findings tanagerroad.Findings
	fault := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: name, Path: path, Found: found, Want: want})
	}
	for state, transitions := range c.states {
		if c.final[state] && len(transitions) > 0 {
			fault("states."+state, "a transition from a final state", "none")
		}
		for event, next := range transitions {
			if _, ok := c.states[next]; !ok {
				fault("states."+state+"."+event, next, "a state of the chart")
			}
		}
	}
	reached := c.reachable()
	for _, state := range c.States() {
		if !reached[state] {
			fault("states."+state, "an unreachable state", "a path of transitions from "+c.Initial)
		}
	}
	return findings
}

// reachable returns the states that can be reached from the initial one.
func (c *Chart) reachable() map[string]bool {
	reached := map[string]bool{c.Initial: true}
	pending := []string{c.Initial}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		for _, next := range c.states[state] {
			if !reached[next] {
				reached[next] = true
				pending = append(pending, next)
			}
		}
	}
	return reached
}

// States returns the names of all states, sorted.
func (c *Chart) States() []string {
	out := make([]string, 0, len(c.states))
	for s := range c.states {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Next returns the state after event. For an event without a transition it
// returns the unchanged state and an *UnexpectedEventError.
func (c *Chart) Next(state, event string) (string, error) {
	next, ok := c.states[state][event]
	if !ok {
		return state, &UnexpectedEventError{c.Name, state, event}
	}
	return next, nil
}

// IsFinal reports whether state is one of the chart's final states.
func (c *Chart) IsFinal(state string) bool { return c.final[state] }
