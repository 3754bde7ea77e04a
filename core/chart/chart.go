// Package chart interprets state charts that stand in JSON files. A chart is a
// table of arrows; the code asks it for the next state and treats an event
// without an arrow as a finding. It keeps no present state: its users do.
package chart

import (
	"fmt"
	"sort"

	"tanagerroad"
	"tanagerroad/core/document"
)

// file is the layout of a chart's file.
type file struct {
	Name    string                       `json:"name" required:"true"`
	Initial string                       `json:"initial" required:"true"`
	Final   []string                     `json:"final"`
	States  map[string]map[string]string `json:"states" required:"true"` // state, event, next state
}

// Chart is a checked state chart.
type Chart struct {
	Name    string
	Initial string
	states  map[string]map[string]string
	final   map[string]bool
}

// Unexpected reports an event that has no arrow from the present state.
type Unexpected struct {
	Chart, State, Event string
}

func (u *Unexpected) Error() string {
	return fmt.Sprintf("chart %s: no arrow for event %s from state %s", u.Chart, u.Event, u.State)
}

// Parse reads a chart and checks that every arrow ends at a state, that every
// state can be reached and that final states have no way out.
func Parse(name string, data []byte) (*Chart, error) {
	var f file
	findings := document.Decode(name, data, &f)
	c := &Chart{Name: f.Name, Initial: f.Initial, states: f.States, final: map[string]bool{}}
	for _, s := range f.Final {
		c.final[s] = true
	}
	findings = append(findings, c.check(name)...)
	return c, findings.Err()
}

// MustParse is Parse for a chart embedded in the program; it panics on a fault,
// which every test run would show.
func MustParse(name string, data []byte) *Chart {
	c, err := Parse(name, data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check(name string) tanagerroad.Findings {
	var findings tanagerroad.Findings
	fault := func(path, found, want string) {
		findings = append(findings, tanagerroad.Finding{File: name, Path: path, Found: found, Want: want})
	}
	for state, arrows := range c.states {
		if c.final[state] && len(arrows) > 0 {
			fault("states."+state, "a way out of a final state", "none")
		}
		for event, next := range arrows {
			if _, ok := c.states[next]; !ok {
				fault("states."+state+"."+event, next, "a state of the chart")
			}
		}
	}
	reached := c.reach()
	for _, state := range c.States() {
		if !reached[state] {
			fault("states."+state, "a state that no arrow leads to", "a way from "+c.Initial)
		}
	}
	return findings
}

func (c *Chart) reach() map[string]bool {
	reached := map[string]bool{c.Initial: true}
	work := []string{c.Initial}
	for len(work) > 0 {
		state := work[len(work)-1]
		work = work[:len(work)-1]
		for _, next := range c.states[state] {
			if !reached[next] {
				reached[next] = true
				work = append(work, next)
			}
		}
	}
	return reached
}

// States lists all states, sorted.
func (c *Chart) States() []string {
	out := make([]string, 0, len(c.states))
	for s := range c.states {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Next is the state after event. An event without an arrow leaves the state
// as it is and returns *Unexpected.
func (c *Chart) Next(state, event string) (string, error) {
	next, ok := c.states[state][event]
	if !ok {
		return state, &Unexpected{c.Name, state, event}
	}
	return next, nil
}

// IsFinal reports whether the state has no way out.
func (c *Chart) IsFinal(state string) bool { return c.final[state] }
