package replica_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerroad/core/replica"
	"tanagerroad/core/schedule"
	"tanagerroad/core/wire"
)

// Times of a core whose instances are replaced, in the simulation's time: its election
// timeout stands for the 600 ms of the deploy file.
const (
	second       = electionTimeout * 10 / 6
	catchUp      = 4 * second // catchUpS of the smallest deployments: from then on an instance that is back, or a successor, counts
	recovery     = 12 * second
	graceTime    = 4 * second // after which a process that stops ends anyway
	simTick      = heartbeat / 2
	maxGone      = 3 * second // from the end of an instance to the start of its successor
	seedCount    = 3
	helloPeriod  = second
	eventsPerRun = 6
)

// replacedCore is a simulation of a core whose instances restart, freeze, have full disks, lose
// them and are replaced by others at new addresses, never more of them at once than it tolerates.
type replacedCore struct {
	*simulation
	now       time.Duration
	lost      map[string]time.Duration  // by address: until when an instance, or one that has no successor yet, counts as lost
	known     map[*node]map[string]bool // identities whose address a node knows
	seeds     map[*node][]string        // addresses that the settings of a node list
	replaced  map[*node]bool            // those that stop for good
	hello     map[*node]time.Duration   // when a node asked its seeds last
	later     map[time.Duration][]func()
	addresses int
}

const forever = time.Duration(1 << 62)

func newReplacedCore(t *rapid.T, n int) *replacedCore {
	c := &replacedCore{
		simulation: newSimulation(t, n, 5*second), lost: map[string]time.Duration{}, known: map[*node]map[string]bool{},
		seeds: map[*node][]string{}, hello: map[*node]time.Duration{}, later: map[time.Duration][]func(){}, replaced: map[*node]bool{},
	}
	c.tolerate = (n - 1) / 2
	c.peers = c.peersOf
	c.onReceive = func(nd *node, m *wire.Message) { c.known[nd][m.GetFrom()] = true }
	c.onEmptyStart = func(nd *node) { c.known[nd] = map[string]bool{} }
	for _, nd := range c.nodes {
		c.known[nd], c.seeds[nd] = map[string]bool{}, c.drawSeeds()
		c.start(nd) // with the failures to tolerate
	}
	return c
}

// drawSeeds returns the addresses of some of the instances that have not been replaced.
func (c *replacedCore) drawSeeds() []string {
	var all []string
	for _, nd := range c.nodes {
		all = append(all, nd.address)
	}
	return rapid.Permutation(all).Draw(c.t, "seeds")[:min(seedCount, len(all))]
}

// peersOf returns the members and the identities that a node has heard from.
func (c *replacedCore) peersOf(nd *node) []string {
	for _, m := range nd.replica.Members() {
		c.known[nd][m.GetId()] = true
	}
	var ids []string
	for id := range c.known[nd] {
		if id != nd.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// askSeeds lets a node without a leader learn who is at the addresses that it knows, from its
// settings or from messages, as io/quorum does, and start if it is empty and one of them
// belongs to a cluster.
func (c *replacedCore) askSeeds(nd *node) {
	unformed := false
	if !nd.up {
		_, empty, err := nd.store.Load()
		c.must(err)
		unformed = empty
	}
	if nd.frozen || !unformed && (!nd.up || nd.replica.LeaderAddress() != "") || c.now-c.hello[nd] < helloPeriod {
		return
	}
	c.hello[nd] = c.now
	for _, other := range c.nodes {
		if other == nd || !slices.Contains(c.seeds[nd], other.address) && !c.known[nd][other.id] || !other.up || other.frozen || c.cutLinks[nd.address+">"+other.address] {
			continue
		}
		c.known[nd][other.id] = true
		if unformed {
			unformed = false
			c.start(nd)
		}
	}
}

// run advances the time.
func (c *replacedCore) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += simTick
		for _, f := range c.later[c.now] {
			f()
		}
		delete(c.later, c.now)
		for _, nd := range c.nodes {
			c.tick(nd, simTick)
			if nd.leaving && nd.up && nd.replica.SafeToStop() {
				c.crash(nd)
			}
			c.askSeeds(nd)
		}
		for range len(c.inFlight) {
			c.deliver(0, false)
		}
	}
}

// after calls f once d has passed.
func (c *replacedCore) after(d time.Duration, f func()) {
	at := c.now + max(simTick, d/simTick*simTick)
	c.later[at] = append(c.later[at], f)
}

// mayLose reports whether one more instance may be lost.
func (c *replacedCore) mayLose(nd *node) bool {
	count := 0
	for _, until := range c.lost {
		if until > c.now {
			count++
		}
	}
	return c.lost[nd.address] <= c.now && count < c.tolerate
}

// back restarts a node that was killed, or whose disk was lost.
func (c *replacedCore) back(nd *node) {
	if !nd.up {
		c.restart(nd)
	}
	c.lost[nd.address] = c.now + catchUp
}

// remove takes a node away for good.
func (c *replacedCore) remove(nd *node) {
	if nd.up {
		c.crash(nd)
	}
	c.nodes = slices.DeleteFunc(c.nodes, func(other *node) bool { return other == nd })
}

// addSuccessor starts an empty instance at an address that was not in use.
func (c *replacedCore) addSuccessor() *node {
	c.addresses++
	next := &node{address: fmt.Sprintf("b%d", c.addresses), disk: newFakeDisk(), clock: c.now}
	c.seeds[next] = c.drawSeeds()
	c.nodes = append(c.nodes, next)
	c.restart(next)
	return next
}

var (
	diskEvents = []string{"full", "sync", "replace"} // all writes or the syncs fail for a while
	allEvents  = append([]string{"replace-planned", "kill", "stop", "wipe", "freeze", "cut", "power"}, diskEvents...)
)

// disturb begins one of the events at an instance, if no more are lost then than are tolerated.
func (c *replacedCore) disturb(events []string) {
	nd := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(c.t, "node")]
	away := time.Duration(rapid.Int64Range(0, int64(maxGone)).Draw(c.t, "away"))
	kind := rapid.SampledFrom(events).Draw(c.t, "kind")
	if kind == "power" { // of all; the machine of an instance that was to be replaced does not come back
		for _, each := range slices.Clone(c.nodes) {
			if each.leaving && c.replaced[each] {
				c.remove(each)
				continue
			}
			c.lost[each.address] = max(c.lost[each.address], c.now+second+catchUp)
			wasUp := each.up
			c.crash(each)
			if wasUp {
				c.after(second, func() {
					if !each.up && c.lost[each.address] != forever {
						c.restart(each)
					}
				})
			}
		}
		return
	}
	if !nd.up || nd.frozen || nd.leaving || !c.mayLose(nd) {
		return
	}
	c.lost[nd.address] = forever
	switch kind {
	case "replace":
		c.remove(nd)
		c.after(away, func() {
			c.addSuccessor()
			c.lost[nd.address] = c.now + catchUp
		})
	case "replace-planned":
		delete(c.lost, nd.address)
		c.addSuccessor()
		counts := c.now + catchUp
		c.after(away, func() {
			if !nd.up || !slices.Contains(c.nodes, nd) || !c.mayLose(nd) {
				return // it is not replaced after all
			}
			c.lost[nd.address], c.replaced[nd] = max(counts, c.lost[nd.address]), true
			nd.replica.Leave()
			nd.leaving = true
			c.after(graceTime, func() { c.remove(nd) })
		})
	case "stop":
		nd.replica.Leave()
		nd.leaving = true
		c.after(graceTime, func() {
			if nd.up {
				c.kill(nd)
			}
			c.back(nd)
		})
	case "freeze":
		nd.frozen = true
		c.after(away, func() {
			nd.frozen = false
			c.back(nd)
		})
	case "cut":
		for _, other := range c.nodes {
			c.cutLinks[nd.address+">"+other.address], c.cutLinks[other.address+">"+nd.address] = true, true
		}
		c.after(2*away, func() {
			for _, other := range c.nodes {
				delete(c.cutLinks, nd.address+">"+other.address)
				delete(c.cutLinks, other.address+">"+nd.address)
			}
			c.back(nd)
		})
	case "wipe":
		c.crash(nd)
		nd.disk = newFakeDisk()
		c.after(away, func() { c.back(nd) })
	case "full", "sync":
		nd.disk.refuses = refusesBytes
		if kind == "sync" {
			nd.disk.refuses = refusesSyncs
		}
		c.after(away/2, c.proposeAll)
		c.after(away, func() {
			nd.disk.refuses = refusesNothing
			if rapid.Bool().Draw(c.t, "killed") {
				nd.up = false // what it wrote can be read at its start
			}
			c.back(nd)
		})
	default:
		c.kill(nd)
		c.after(away, func() { c.back(nd) })
	}
}

// loseAll takes the power from all instances, and as many disks as may be lost. All are back
// a second later.
func (c *replacedCore) loseAll() {
	for _, nd := range slices.Clone(c.nodes) {
		wiped := nd.up && c.mayLose(nd) && rapid.IntRange(0, 2).Draw(c.t, "wiped") > 0
		c.crash(nd)
		if wiped {
			c.lost[nd.address] = forever
			nd.disk = newFakeDisk()
		}
	}
	clear(c.later)
	c.run(second)
	for _, nd := range c.nodes {
		nd.frozen, nd.disk.refuses = false, refusesNothing
		if !nd.up {
			c.restart(nd)
		}
	}
	c.cutLinks = map[string]bool{}
}

// state describes the nodes for failure messages.
func (c *replacedCore) state() string {
	out := ""
	for _, nd := range c.nodes {
		out += fmt.Sprintf("%s %s up=%v role=%s commit=%d voters:", nd.address, nd.id, nd.up, nd.replica.Role(), nd.replica.CommitIndex())
		for _, m := range nd.replica.Members() {
			out += fmt.Sprintf(" %s/%s/%v", m.GetId(), m.GetAddress(), m.GetVoter())
		}
		out += "\n"
	}
	return out
}

// TestReplacedInstancesCostTheQuorum guards against a cluster that stays without a quorum,
// although no more of its instances were lost than it tolerates: members that were replaced
// still counted for the quorum, or their successors had not become members in time.
func TestReplacedInstancesCostTheQuorum(t *testing.T) {
	for n := 3; n <= 7; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			schedule.Divided(t, 100, func() { rapid.Check(t, func(rt *rapid.T) { playReplacements(rt, n) }) })
		})
	}
}

// TestDiskThatWasFullStaysLost guards against an instance whose disk refused a write once and that
// takes no part any more, so that later losses within what is tolerated cost the quorum.
func TestDiskThatWasFullStaysLost(t *testing.T) {
	for n := 3; n <= 7; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			schedule.Divided(t, 100, func() {
				rapid.Check(t, func(rt *rapid.T) {
					c := newReplacedCore(rt, n)
					c.play(diskEvents)
					c.run(maxGone + catchUp) // all disks take bytes, and all successors count
					c.checkLed()
					c.heal()
					c.checkConverged()
					c.loseAll()
					c.checkLed()
					c.heal()
					c.checkConverged()
				})
			})
		})
	}
}

func playReplacements(t *rapid.T, n int) {
	c := newReplacedCore(t, n)
	c.play(allEvents)
	c.loseAll()
	c.checkLed()
	c.heal()
	c.checkConverged()
}

// play lets events happen while changes are proposed.
func (c *replacedCore) play(events []string) {
	c.run(2 * second)
	for range eventsPerRun {
		c.disturb(events)
		c.run(time.Duration(rapid.Int64Range(0, int64(6*second)).Draw(c.t, "pause")))
		c.proposeAll()
	}
}

func (c *replacedCore) proposeAll() {
	for _, nd := range c.nodes {
		c.propose(nd, fmt.Sprintf("c%d", rapid.IntRange(0, 40).Draw(c.t, "change")))
	}
}

// checkLed checks that somebody leads in time, now that all are back.
func (c *replacedCore) checkLed() {
	c.run(recovery)
	led := slices.ContainsFunc(c.nodes, func(nd *node) bool { return nd.working() && nd.replica.Role() == replica.Leader })
	if !led {
		c.t.Fatalf("nobody leads %v after all are back\n%s", recovery, c.state())
	}
}
