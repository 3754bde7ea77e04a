package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tanagerroad"
	"tanagerroad/core/event"
	"tanagerroad/core/registry"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
	"tanagerroad/io/signal"
)

// Times of the client.
const (
	watchSilence = 3 * time.Second // of a watch, before another instance is tried
	tryTimeout   = time.Second     // for one question to one instance
	retryPause   = 50 * time.Millisecond
	watchPause   = 200 * time.Millisecond
)

// Client carries commands to whichever instance leads.
type Client struct {
	links  *peer.ConnPool
	logger *zap.Logger

	mu        sync.Mutex
	addresses []string
	leader    string
}

var _ tanagerroad.Proposer = (*Client)(nil)

// NewClient returns a client of the instances at addresses, the nearest first.
func NewClient(links *peer.ConnPool, addresses []string, logger *zap.Logger) *Client {
	return &Client{links: links, addresses: addresses, logger: logger}
}

// SetAddresses replaces the instances that are asked.
func (c *Client) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

// SetLeader notes where a watch says that the leader is.
func (c *Client) SetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

// forget drops the note of a leader that did not answer.
func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// order lists the addresses to try, the leader first.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return c.addresses
	}
	return append([]string{c.leader}, c.addresses...)
}

// Propose tries the leader and, until the context ends, the others. Commands
// are idempotent in the registry, so that a second try after a lost answer
// gets the first one's outcome.
func (c *Client) Propose(ctx context.Context, command *wire.Command) (*wire.Outcome, error) {
	var unsure error
	for ctx.Err() == nil {
		sawAnswer := false
		for _, address := range c.order() {
			outcome, err := call(ctx, c, address, func(ctx context.Context, instance wire.ControlClient) (*wire.Outcome, error) {
				return instance.Propose(ctx, command)
			})
			switch {
			case err != nil:
				unsure = err
				c.forget(address)
				continue
			case outcome.GetKind() == registry.Redirect:
				c.SetLeader(outcome.GetLeader())
				sawAnswer = true
			case outcome.GetKind() == registry.NoQuorum:
				sawAnswer = true
				continue
			default:
				c.SetLeader(address)
				return outcome, nil
			}
			break
		}
		if !sawAnswer && unsure == nil {
			break
		}
		pause(ctx, retryPause)
	}
	if unsure != nil {
		return nil, fmt.Errorf("propose: %w", unsure)
	}
	return &wire.Outcome{Kind: registry.NoQuorum, Reason: "no leader with a quorum could be reached"}, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// call asks one instance. A connection on which no answer came in time is
// replaced: it may be dead without knowing it.
func call[T any](ctx context.Context, c *Client, address string, ask func(context.Context, wire.ControlClient) (T, error)) (T, error) {
	conn, err := c.links.Get(address)
	if err != nil {
		var none T
		return none, err
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	answer, err := ask(ctx, wire.NewControlClient(conn))
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		event.LinkSilent.Log(c.logger, zap.String("peer", address))
		c.links.Replace(address, conn)
	}
	return answer, err
}

// Read asks the leader for what a quorum confirms.
func (c *Client) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadReply, error) {
	last := &wire.ReadReply{Kind: registry.NoQuorum}
	for ctx.Err() == nil {
		for _, address := range c.order() {
			reply, err := call(ctx, c, address, func(ctx context.Context, instance wire.ControlClient) (*wire.ReadReply, error) {
				return instance.Read(ctx, request)
			})
			if err != nil {
				c.forget(address)
				continue
			}
			if reply.GetKind() == "ok" || reply.GetKind() == "missing" {
				c.SetLeader(address)
				return reply, nil
			}
			if reply.GetKind() == registry.Redirect {
				c.SetLeader(reply.GetLeader())
			}
			last = reply
		}
		pause(ctx, retryPause)
	}
	return last, nil
}

// askAll asks every instance at once and returns the answers by address; who
// does not answer in time is left out.
func askAll[T any](ctx context.Context, c *Client, ask func(context.Context, wire.ControlClient) (T, error)) map[string]T {
	var mu sync.Mutex
	var group sync.WaitGroup
	answers := map[string]T{}
	c.mu.Lock()
	addresses := c.addresses
	c.mu.Unlock()
	for _, address := range addresses {
		group.Go(func() {
			answer, err := call(ctx, c, address, ask)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[address] = answer
		})
	}
	group.Wait()
	return answers
}

// Newest asks every instance for the revision that it holds beyond the known one.
// It returns the highest, nil if there is none, and how many instances answered.
func (c *Client) Newest(ctx context.Context, known uint64) (highest *wire.Revision, answered int) {
	replies := askAll(ctx, c, func(ctx context.Context, instance wire.ControlClient) (*wire.ReadReply, error) {
		return instance.Read(ctx, &wire.ReadRequest{What: readNewest, Revision: known})
	})
	for _, reply := range replies {
		if reply.GetRevision().GetNumber() > highest.GetNumber() {
			highest = reply.GetRevision()
		}
	}
	return highest, len(replies)
}

// Statuses asks every instance for its status.
func (c *Client) Statuses(ctx context.Context) map[string]*wire.StatusReply {
	return askAll(ctx, c, func(ctx context.Context, instance wire.ControlClient) (*wire.StatusReply, error) {
		return instance.Status(ctx, &wire.StatusRequest{})
	})
}

// Watcher keeps a watch at a control instance.
type Watcher struct {
	Client *Client
	// Notice says what to tell the instance now.
	Notice func() *wire.Notice
	// Every is the time between notices; a change of Nudge asks for one at
	// once.
	Every time.Duration
	Nudge *signal.Signal
	// Take is handed every update.
	Take func(*wire.Update)
}

// Watch watches the instance at one of the addresses until the context ends,
// going on to the next when one is silent.
func (w Watcher) Watch(ctx context.Context, addresses []string) {
	for i := 0; ctx.Err() == nil; i++ {
		w.once(ctx, addresses[i%len(addresses)])
		pause(ctx, watchPause)
	}
}

func (w Watcher) once(ctx context.Context, address string) {
	conn, err := w.Client.links.Get(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, func() {
		event.LinkSilent.Log(w.Client.logger, zap.String("peer", address))
		w.Client.links.Replace(address, conn)
		cancel()
	})
	defer silence.Stop()
	stream, err := wire.NewControlClient(conn).Watch(ctx)
	if err != nil {
		return
	}
	go func() {
		defer cancel()
		w.tell(ctx, stream)
	}()
	for {
		update, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(watchSilence)
		w.Take(update)
	}
}

func (w Watcher) tell(ctx context.Context, stream grpc.BidiStreamingClient[wire.Notice, wire.Update]) {
	ticker := time.NewTicker(w.Every)
	defer ticker.Stop()
	var told *wire.Server
	for {
		changed := w.Nudge.Changed()
		notice := w.Notice()
		told = shorten(notice, told)
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

// shorten leaves a server out of a notice that would only repeat what this watch
// was told before; it returns what the watch has been told by now.
func shorten(notice *wire.Notice, told *wire.Server) *wire.Server {
	server := notice.GetServer()
	if server == nil || told == nil {
		return server
	}
	told.Sequence = server.GetSequence()
	if proto.Equal(server, told) {
		notice.Server, notice.Renew = nil, true
		return told
	}
	return server
}
