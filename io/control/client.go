package control

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/quarantine"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// Timeouts and delays of the client.
const (
	watchSilenceTimeout = 3 * time.Second // without an update, before the next instance is tried
	callTimeout         = time.Second     // for one call to one instance
	// silenceTimeout is how long a call waits before its connection counts as dead. It is
	// below proposalTimeout, the shortest time that a caller waits.
	silenceTimeout  = 350 * time.Millisecond
	readHedgeDelay  = 200 * time.Millisecond // before a read is also sent to the next instance
	retryDelay      = 50 * time.Millisecond
	watchRetryDelay = 200 * time.Millisecond
	reportDelay     = 20 * time.Millisecond // by which the leader's clock must have passed the settle time
)

// Client sends commands and reads to the control instance that leads. It finds the
// leader by trying the instances in order and following their redirects.
type Client struct {
	conns  *peer.ConnPool
	logger *zap.Logger

	mu        sync.Mutex
	addresses []string
	leader    string
}

var _ tanagerroad.Proposer = (*Client)(nil)

// NewClient returns a client of the control instances at addresses, ordered from the
// nearest to the farthest.
func NewClient(conns *peer.ConnPool, addresses []string, logger *zap.Logger) *Client {
	return &Client{conns: conns, addresses: addresses, logger: logger}
}

// SetAddresses replaces the addresses of the control instances.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// SetLeader records the address of the leader, which is tried first. An empty address
// means that the leader is unknown.
func (c *Client) SetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// clearLeader forgets the leader if it is at address.
func (c *Client) clearLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// addressesToTry returns the addresses of all instances, each once, the leader's first if it
// is known.
func (c *Client) addressesToTry() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.addresses
	}
	others := slices.DeleteFunc(slices.Clone(c.addresses), func(address string) bool { return address == c.leader })
	return append([]string{c.leader}, others...)
}

// Propose sends a command to the leader and, if that fails, to the other instances
// until ctx ends. A command may be sent twice when a reply is lost: commands are
// idempotent in the registry, so the second one gets the outcome of the first. An
// error means that it is unknown whether the command was applied.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error) {
	var lastErr error             // once it is set, the command may have been applied
	latest := map[string]string{} // result by address
	for ctx.Err() == nil {
		answered := false
		all := c.addressesToTry()
		for _, address := range all {
			if latest[address] == "" {
				latest[address] = address + ": not asked"
			}
		}
		for _, address := range all {
			if ctx.Err() != nil {
				break
			}
			outcome, err := call(ctx, c, address, func(ctx context.Context, instance wire.ControlClient) (*wire.Outcome, error) {
				return instance.Propose(ctx, command)
			})
			latest[address] = describeResult(address, outcome.GetKind(), outcome.GetReason(), outcome.GetLeader(), err)
			switch {
			case err != nil:
				lastErr = err
				c.clearLeader(address)
				continue
			case outcome.GetKind() == registry.Redirect:
				c.SetLeader(outcome.GetLeader())
				answered = true
			case outcome.GetKind() == registry.NoQuorum:
				answered = true
				continue
			default:
				c.SetLeader(address)
				return outcome, nil
			}
			break
		}
		if !answered && lastErr == nil {
			break
		}
		sleep(ctx, retryDelay)
	}
	if lastErr != nil {
		return nil, fmt.Errorf("propose: %w; %s", lastErr, describeResults(latest))
	}
	return &wire.Outcome{Kind: registry.NoQuorum, Reason: "no leader with a quorum could be reached: " + describeResults(latest)}, nil
}

// describeResult describes an instance's reply to a call, or why there is none.
func describeResult(address, kind, reason, leader string, err error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("%s: %v", address, err)
	case leader != "":
		return fmt.Sprintf("%s: %s to %s", address, kind, leader)
	case reason != "":
		return fmt.Sprintf("%s: %s, %s", address, kind, reason)
	}
	return fmt.Sprintf("%s: %s", address, kind)
}

// describeResults joins the latest results of all addresses.
func describeResults(latest map[string]string) string {
	return strings.Join(slices.Sorted(maps.Values(latest)), "; ")
}

// reportRetention bounds the attempts to commit a report.
const reportRetention = 5 * time.Second

// ReportCrash reports the crash of a backend server, and once more when the reports of
// other processes must have arrived.
func (c *Client) ReportCrash(ctx context.Context, report *wire.CrashReport) error {
	ctx, cancel := context.WithTimeout(ctx, reportRetention)
	defer cancel()
	if err := c.ReportCrashes(ctx, []*wire.CrashReport{report}); err != nil {
		return err
	}
	return c.SettleCrashes(ctx)
}

// ReportCrashes reports the crashes of backend servers. They count after SettleCrashes.
func (c *Client) ReportCrashes(ctx context.Context, reports []*wire.CrashReport) error {
	return c.commit(ctx, &wire.Command{Body: &wire.Command_CrashReports{CrashReports: &wire.CrashReports{Reports: reports}}})
}

// SettleCrashes has the crashes counted that were reported, when the reports of other
// processes must have arrived.
func (c *Client) SettleCrashes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportRetention)
	defer cancel()
	sleep(ctx, quarantine.DefaultConfig().SettleTime+reportDelay)
	return c.ReportCrashes(ctx, nil)
}

// EndTrial ends the trial of a convicted cause. sent says whether something with the cause
// may have run.
func (c *Client) EndTrial(ctx context.Context, fingerprint uint64, sent bool) error {
	ctx, cancel := context.WithTimeout(ctx, reportRetention)
	defer cancel()
	return c.commit(ctx, &wire.Command{Body: &wire.Command_EndTrial{EndTrial: &wire.EndTrial{Fingerprint: fingerprint, Sent: sent}}})
}

// ClearCauses takes causes out of the quarantine.
func (c *Client) ClearCauses(ctx context.Context, fingerprints []uint64) error {
	ctx, cancel := context.WithTimeout(ctx, reportRetention)
	defer cancel()
	return c.commit(ctx, &wire.Command{Body: &wire.Command_ClearCauses{ClearCauses: &wire.ClearCauses{Fingerprints: fingerprints}}})
}

// RecordOrigins records at which software versions streams begin.
func (c *Client) RecordOrigins(ctx context.Context, origins []*wire.Origin) error {
	return c.commit(ctx, &wire.Command{Body: &wire.Command_RecordOrigins{RecordOrigins: &wire.RecordOrigins{Origins: origins}}})
}

// Origin returns the software version at which a stream of a pool began, which is empty if
// nothing is known of the pool, and whether that is recorded or the pool's base version. ok is
// false if no quorum confirmed it before ctx ended.
func (c *Client) Origin(ctx context.Context, pool string, stream uint64) (software string, recorded, ok bool) {
	reply, err := c.Read(ctx, &wire.ReadRequest{What: readOrigin, Pool: pool, Stream: stream})
	return reply.GetSoftware(), reply.GetRecorded(), err == nil && reply.GetKind() == "ok"
}

// commit proposes a command. An outcome other than Accepted is an error.
func (c *Client) commit(ctx context.Context, command *wire.Command) error {
	outcome, err := c.Propose(ctx, command)
	if err == nil && outcome.GetKind() != registry.Accepted {
		err = errors.New(outcome.GetReason())
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// call makes one call to one instance. The connection is replaced after silenceTimeout without
// a reply, since it may be dead without having reported an error. A shorter wait, because ctx
// ended, says nothing about the connection, which others use too.
func call[T any](ctx context.Context, c *Client, address string, do func(context.Context, wire.ControlClient) (T, error)) (T, error) {
	conn, err := c.conns.Get(address)
	if err != nil {
		var zero T
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := time.Now()
	reply, err := do(ctx, wire.NewControlClient(conn))
	if took := time.Since(started); err != nil && ctx.Err() != nil && took >= silenceTimeout {
		event.LinkSilent.Log(c.logger, zap.String("peer", address), zap.Duration("silence", took))
		c.conns.Replace(address, conn)
	}
	return reply, err
}

// callAll calls every instance in parallel and returns the replies by address. An
// instance that does not reply in time is left out.
func callAll[T any](ctx context.Context, c *Client, do func(context.Context, wire.ControlClient) (T, error)) map[string]T {
	var mu sync.Mutex
	var group sync.WaitGroup
	replies := map[string]T{}
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	for _, address := range addresses {
		group.Go(func() {
			reply, err := call(ctx, c, address, do)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies[address] = reply
		})
	}
	group.Wait()
	return replies
}

// NewestRevision asks every instance for its current revision if that is newer than
// known, whether or not a quorum confirms it. It returns the newest of them, nil if
// there is none, and the number of instances that replied.
func (c *Client) NewestRevision(ctx context.Context, known uint64) (newest *wire.Revision, replied int) {
	replies := callAll(ctx, c, func(ctx context.Context, instance wire.ControlClient) (*wire.ReadReply, error) {
		return instance.Read(ctx, &wire.ReadRequest{What: readNewest, Revision: known})
	})
	for _, reply := range replies {
		if reply.GetRevision().GetNumber() > newest.GetNumber() {
			newest = reply.GetRevision()
		}
	}
	return newest, len(replies)
}

// Statuses returns the status of every instance that replies in time, by address.
func (c *Client) Statuses(ctx context.Context) map[string]*wire.StatusReply {
	return callAll(ctx, c, func(ctx context.Context, instance wire.ControlClient) (*wire.StatusReply, error) {
		return instance.Status(ctx, &wire.StatusRequest{})
	})
}

// Watcher keeps a watch stream open to a control instance: it sends notices about its
// own process and receives updates.
type Watcher struct {
	Client *Client
	// NewNotice builds the next notice.
	NewNotice func() *wire.Notice
	// NoticeInterval is the interval between notices.
	NoticeInterval time.Duration
	// NoticeDue triggers a notice at once.
	NoticeDue *signal.Signal
	// HandleUpdate handles each update.
	HandleUpdate func(*wire.Update)
}

// Watch keeps a watch open to one of the addresses until ctx ends. When a watch breaks
// or is silent for too long, the next address is tried.
func (w Watcher) Watch(ctx context.Context, addresses []string) {
	for i := 0; ctx.Err() == nil; i++ {
		w.watchOnce(ctx, addresses[i%len(addresses)])
		sleep(ctx, watchRetryDelay)
	}
}

// watchOnce runs one watch until it breaks, is silent for too long, or ctx ends.
func (w Watcher) watchOnce(ctx context.Context, address string) {
	conn, err := w.Client.conns.Get(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(watchSilenceTimeout, func() {
		event.LinkSilent.Log(w.Client.logger, zap.String("peer", address))
		w.Client.conns.Replace(address, conn)
		cancel()
	})
	defer watchdog.Stop()
	stream, err := wire.NewControlClient(conn).Watch(ctx)
	if err != nil {
		return
	}
	go func() {
		defer cancel()
		w.sendNotices(ctx, stream)
	}()
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		watchdog.Reset(watchSilenceTimeout)
		w.HandleUpdate(update)
	}
}

// sendNotices sends notices until the stream breaks or ctx ends.
func (w Watcher) sendNotices(ctx context.Context, stream grpc.BidiStreamingClient[wire.Notice, wire.Update]) {
	ticker := time.NewTicker(w.NoticeInterval)
	defer ticker.Stop()
	var announced *wire.Server
	for {
		changed := w.NoticeDue.Changed()
		notice := w.NewNotice()
		announced = omitUnchangedServer(notice, announced)
		if err := stream.Send(notice); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

// omitUnchangedServer replaces the server in a notice by a renewal if it equals the
// server that this watch announced last, its sequence number aside. It returns the
// server that is announced once the notice is sent.
func omitUnchangedServer(notice *wire.Notice, announced *wire.Server) *wire.Server {
	server := notice.GetServer()
	if server == nil || announced == nil {
		return server
	}
	announced.Sequence = server.GetSequence()
	if proto.Equal(server, announced) {
		notice.Server, notice.Renew = nil, true
		return announced
	}
	return server
}
