// Package demo runs a whole cluster in one process on loopback: control instances,
// entries, sidecars and stand-in backend servers. It is a first example to run, and
// the fixture of end-to-end tests.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/io/operator"
	"tanagerroad/io/process"
	"tanagerroad/io/standin"
)

// Backend configures a stand-in backend server and the place of its sidecar, which
// Start adds to it.
type Backend struct {
	Place tanagerroad.Place
	settings.StandInServer
}

// Config describes the cluster that Start starts.
type Config struct {
	Places       []tanagerroad.Place // one entry each; control instances are spread over them in turn
	ControlCount int                 // number of control instances; 0 means 3
	Backends     []Backend
	DataDir      string // parent of the control instances' data directories
	Routes       []byte // routes table, as JSON
	Pools        []byte // pools table, as JSON
	Logger       *zap.Logger
	// These functions, if set, change the settings of each process of the role before it
	// starts.
	AdjustSidecar func(*settings.Sidecar)
	AdjustEntry   func(*settings.Entry)
	AdjustControl func(*settings.Control)
}

// Cluster is a running cluster. Index i of a slice belongs to the process of that role
// whose name ends in i+1.
type Cluster struct {
	Entries  []*process.Process
	Sidecars []*process.Process
	Controls []*process.Process
	StandIns []*standin.Server

	EntryURLs            []string // base URLs for callers
	EntryOperatorAddrs   []string // operator addresses of the entries
	ControlOperatorAddrs []string // operator addresses of the control instances
	ControlPeerAddrs     []string // peer addresses of the control instances
	SidecarPeerAddrs     []string // peer addresses of the sidecars
	controlConfig        []settings.Control
	entryConfig          []settings.Entry
	sidecarConfig        []settings.Sidecar
	env                  process.Environment
	closers              []func()
	client               *http.Client
}

// Start starts a cluster, puts its tables and waits until every entry is ready. The
// returned function closes the cluster.
func Start(ctx context.Context, config Config) (*Cluster, func(), error) {
	c := &Cluster{env: process.Environment{Logger: config.Logger}, client: &http.Client{Timeout: 10 * time.Second}}
	steps := []func(context.Context, Config) error{c.startControls, c.startBackends, c.startEntries, c.putTables, c.awaitReady}
	for _, step := range steps {
		if err := step(ctx, config); err != nil {
			c.Close()
			return nil, nil, err
		}
	}
	return c, c.Close, nil
}

// Close closes every process and stand-in without draining them.
func (c *Cluster) Close() {
	for _, list := range [][]*process.Process{c.Entries, c.Sidecars, c.Controls} {
		for _, p := range list {
			p.Close()
		}
	}
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	c.client.CloseIdleConnections()
}

func commonSettings(name string, place tanagerroad.Place) settings.Common {
	return settings.Common{Process: name, Zone: place.Zone, Region: place.Region}
}

func (c *Cluster) startControls(_ context.Context, config Config) error {
	n := config.ControlCount
	if n == 0 {
		n = 3
	}
	peers, err := FreeAddresses(2 * n)
	if err != nil {
		return err
	}
	c.ControlPeerAddrs, c.ControlOperatorAddrs = peers[:n], peers[n:]
	for i := range n {
		s := settings.DefaultControl()
		s.Role, s.Common = settings.RoleControl, commonSettings(fmt.Sprintf("control-%d", i+1), config.Places[i%len(config.Places)])
		s.Peer.Address, s.Operator.Address, s.Instances = c.ControlPeerAddrs[i], c.ControlOperatorAddrs[i], c.ControlPeerAddrs
		s.DataDir = filepath.Join(config.DataDir, s.Process)
		s.Stop.Grace = 0
		if config.AdjustControl != nil {
			config.AdjustControl(&s)
		}
		c.controlConfig = append(c.controlConfig, s)
		p, err := process.NewControl(c.env, s)
		if err != nil {
			return err
		}
		c.Controls = append(c.Controls, p)
	}
	return nil
}

// RestartControl starts a closed control instance again. If wiped is true, its data
// directory is removed first, as if its disk had been lost.
func (c *Cluster) RestartControl(i int, wiped bool) error {
	if wiped {
		if err := os.RemoveAll(c.controlConfig[i].DataDir); err != nil {
			return fmt.Errorf("remove data directory: %w", err)
		}
	}
	p, err := process.NewControl(c.env, c.controlConfig[i])
	if err != nil {
		return err
	}
	c.Controls[i] = p
	return nil
}

// RestartEntry starts a closed entry again.
func (c *Cluster) RestartEntry(i int) error {
	p, err := process.NewEntry(c.env, c.entryConfig[i])
	if err != nil {
		return err
	}
	c.Entries[i] = p
	return nil
}

// RestartSidecar starts a closed sidecar again.
func (c *Cluster) RestartSidecar(i int) error {
	p, err := process.NewSidecar(c.env, c.sidecarConfig[i])
	if err != nil {
		return err
	}
	c.Sidecars[i] = p
	return nil
}

// startBackends starts a sidecar and a stand-in for each backend.
func (c *Cluster) startBackends(_ context.Context, config Config) error {
	addresses, err := FreeAddresses(3 * len(config.Backends))
	if err != nil {
		return err
	}
	for i, b := range config.Backends {
		peer, announce, serve := addresses[3*i], addresses[3*i+1], addresses[3*i+2]
		s := settings.DefaultSidecar()
		s.Role, s.Common = settings.RoleSidecar, commonSettings(fmt.Sprintf("%s-%d", b.Pool, i+1), b.Place)
		s.Peer.Address, s.Backend.Address, s.Control = peer, announce, c.ControlPeerAddrs
		s.Stop.Grace = 0
		if config.AdjustSidecar != nil {
			config.AdjustSidecar(&s)
		}
		c.sidecarConfig = append(c.sidecarConfig, s)
		p, err := process.NewSidecar(c.env, s)
		if err != nil {
			return err
		}
		c.Sidecars = append(c.Sidecars, p)
		c.SidecarPeerAddrs = append(c.SidecarPeerAddrs, peer)
		b.Announce, b.Address = announce, serve
		server, closeServer, err := standin.New(b.StandInServer)
		if err != nil {
			return err
		}
		c.closers = append(c.closers, closeServer)
		c.StandIns = append(c.StandIns, server)
	}
	return nil
}

func (c *Cluster) startEntries(_ context.Context, config Config) error {
	addresses, err := FreeAddresses(2 * len(config.Places))
	if err != nil {
		return err
	}
	for i, place := range config.Places {
		s := settings.DefaultEntry()
		s.Role, s.Common = settings.RoleEntry, commonSettings(fmt.Sprintf("entry-%d", i+1), place)
		s.Caller.Address, s.Operator.Address, s.Control = addresses[2*i], addresses[2*i+1], rotate(c.ControlPeerAddrs, i)
		s.Stop.Grace = 0
		if config.AdjustEntry != nil {
			config.AdjustEntry(&s)
		}
		c.entryConfig = append(c.entryConfig, s)
		p, err := process.NewEntry(c.env, s)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, p)
		c.EntryURLs = append(c.EntryURLs, "http://"+s.Caller.Address)
		c.EntryOperatorAddrs = append(c.EntryOperatorAddrs, s.Operator.Address)
	}
	return nil
}

// rotate returns addresses rotated left by i, so that entries prefer different
// control instances.
func rotate(addresses []string, i int) []string {
	i %= len(addresses)
	return append(append([]string{}, addresses[i:]...), addresses[:i]...)
}

const pollInterval = 50 * time.Millisecond

// poll calls ok until it returns true or the context ends. what names the awaited condition
// in the error.
func poll(ctx context.Context, what string, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// putTables puts the tables, with retries until the control instances have a quorum.
func (c *Cluster) putTables(ctx context.Context, config Config) error {
	put := operator.TableChange{ChangeID: "demo-1", Operator: "demo", Routes: config.Routes, Pools: config.Pools}
	var reply operator.TableChangeReply
	var putErr error
	err := poll(ctx, "a quorum", func() bool {
		reply, putErr = operator.PutTables(ctx, c.client, c.ControlOperatorAddrs[0], "", put)
		return putErr == nil && reply.Outcome != "no-quorum" && reply.Outcome != "unknown"
	})
	if err != nil {
		return fmt.Errorf("%w (%v)", err, putErr)
	}
	if reply.Outcome != "accepted" {
		return fmt.Errorf("tables not accepted: %s: %s", reply.Outcome, reply.Reason)
	}
	return nil
}

// awaitReady waits until every entry has the tables and the state of every backend
// server.
func (c *Cluster) awaitReady(ctx context.Context, config Config) error {
	return poll(ctx, "entries to be ready", func() bool {
		for _, address := range c.EntryOperatorAddrs {
			if !c.isReady(ctx, address, len(config.Backends)) {
				return false
			}
		}
		return true
	})
}

// isReady reports whether the entry with this operator address is ready and has at
// least this number of backend servers in its directory.
func (c *Cluster) isReady(ctx context.Context, address string, servers int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var status process.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return false
	}
	return status.Ready && status.Servers >= servers
}
