package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"tanagerroad"
	"tanagerroad/core/settings"
	"tanagerroad/core/wire"
	"tanagerroad/io/peer"
)

// newOwner returns a gateway that owns the pieces of another one, that one, the address of
// its callers' listener, and functions that stop the owner's peer listener, and that make
// it accept streams and do nothing with them.
func newOwner(t *testing.T, servers ...*backend) (owner, asking *Gateway, address string, stop, freeze func()) {
	t.Helper()
	var service lateService
	ownAddress, stop := newPeer(t, func(s *grpc.Server) { wire.RegisterGatewayServer(s, &service) })
	owner, _ = newGatewayAt(t, ownAddress, zap.NewNop(), servers...)
	service.gateway.Store(owner)
	other := "127.0.0.1:1"
	for port := 2; xxhash.Sum64String(other) > xxhash.Sum64String(ownAddress); port++ {
		other = fmt.Sprintf("127.0.0.1:%d", port)
	}
	asking, address = newGatewayAt(t, other, zap.NewNop(), servers...)
	for _, g := range []*Gateway{owner, asking} {
		g.mu.Lock()
		g.gateways = []tanagerroad.Gateway{{Address: ownAddress, Zone: "z"}, {Address: other, Zone: "z"}}
		g.owners.setGateways(g.now(), g.gateways)
		g.mu.Unlock()
	}
	if asking.owners.owner("") != ownAddress {
		t.Fatal("the asking gateway has chosen itself")
	}
	return owner, asking, address, stop, func() { service.gateway.Store(nil) }
}

// newPeer serves what register adds, and returns its address and a function that stops it.
func newPeer(t *testing.T, register func(*grpc.Server)) (address string, stop func()) {
	t.Helper()
	server, stopServer, err := peer.NewServer(settings.PeerListener{Address: "127.0.0.1:0", MaxStreams: 100, MaxMessage: 1 << 20}, peer.NewMeter(), register)
	if err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(t.Context())
	end()
	stop = sync.OnceFunc(func() { stopServer(ended) })
	t.Cleanup(stop)
	return server.Address, stop
}

// lateService passes calls on to a gateway that is made after the listener.
type lateService struct {
	wire.UnimplementedGatewayServer
	gateway atomic.Pointer[Gateway]
}

func (l *lateService) Pieces(stream grpc.BidiStreamingServer[wire.PieceJob, wire.PieceResult]) error {
	g := l.gateway.Load()
	if g == nil {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	return g.Pieces(stream)
}

func (l *lateService) HoldOrigins(ctx context.Context, request *wire.RecordOrigins) (*wire.HoldOriginsReply, error) {
	g := l.gateway.Load()
	if g == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return g.HoldOrigins(ctx, request)
}

func (b *pieceBatcher) jobCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.jobs)
}

// TestPiecesOfAnotherOwner guards against requests that fail because another gateway batches
// their pieces, and against results that it does not free.
func TestPiecesOfAnotherOwner(t *testing.T) {
	p := newPieceServer(t)
	servers, _ := newScripted(t, 3, useResults(p))
	owner, asking, address, _, _ := newOwner(t, append(servers, p.backend, p.second)...)
	for i := range 3 {
		status, body, err := call(t, address, "/staged/", fmt.Sprint(i), headerPieces, "2", headerPieceKey, "key")
		if status != http.StatusOK || body != wholeStream || err != nil {
			t.Errorf("got %d %q (%v), want the whole stream", status, body, err)
		}
	}
	if !eventually(func() bool { return len(p.unfreed()) == 0 && owner.batcher("").jobCount() == 0 }) {
		t.Errorf("%d jobs left at the owner, %v", owner.batcher("").jobCount(), p.unfreed())
	}
	if len(asking.allBatchers()) != 0 {
		t.Error("the asking gateway has made pieces itself")
	}
	asking.owners.mu.Lock()
	defer asking.owners.mu.Unlock()
	for _, stream := range asking.owners.streams {
		if len(stream.pending) > 0 {
			t.Errorf("%d jobs are still pending", len(stream.pending))
		}
	}
}

// TestJobsOfEndedRequestsStay guards against jobs that stay at their owner when the request
// has ended.
func TestJobsOfEndedRequestsStay(t *testing.T) {
	p := newPieceServer(t)
	hold := make(chan struct{})
	p.status = func(int64) int { <-hold; return 0 }
	owner, _, address, _, _ := newOwner(t, p.backend)
	ended := make(chan struct{})
	for i := range 2 {
		go func() {
			_, _, _ = call(t, address, "/staged/", fmt.Sprint(i), headerPieces, "2", headerLeft, "150") // 503
			ended <- struct{}{}
		}()
	}
	if !eventually(func() bool { return owner.batcher("").jobCount() == 2 }) {
		t.Errorf("%d jobs at the owner, want 2", owner.batcher("").jobCount())
	}
	<-ended
	<-ended
	if !eventually(func() bool { return owner.batcher("").jobCount() == 0 }) {
		t.Errorf("%d jobs of ended requests at the owner, want none", owner.batcher("").jobCount())
	}
	close(hold)
}

// TestRequestsOfALostOwner guards against requests that fail, or wait until their deadlines,
// when the gateway that batches their pieces has gone or is silent.
func TestRequestsOfALostOwner(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		p := newPieceServer(t)
		held := make(chan struct{})
		p.status = func(call int64) int {
			if call == 1 {
				if !frozen {
					close(held)
				}
				time.Sleep(50 * time.Millisecond) // until the owner has stopped
			}
			return 0
		}
		servers, _ := newScripted(t, 3, useResults(p))
		_, asking, address, stop, freeze := newOwner(t, append(servers, p.backend, p.second)...)
		if frozen {
			freeze()
			close(held)
		}
		done := make(chan string)
		began := time.Now()
		go func() {
			status, body, err := call(t, address, "/staged/", "a", headerPieces, "2")
			done <- fmt.Sprint(status, body, err)
		}()
		<-held
		if !frozen {
			stop()
		}
		if got := <-done; got != fmt.Sprint(http.StatusOK, wholeStream, nil) {
			t.Errorf("frozen %t: got %s after %v", frozen, got, time.Since(began))
		}
		asking.owners.mu.Lock()
		if streams := len(asking.owners.streams); streams > 0 {
			t.Errorf("frozen %t: %d streams to the lost owner", frozen, streams)
		}
		asking.owners.mu.Unlock()
	}
}

// TestRequestsOfASaturatedOwner guards against a request that is held until its deadline by
// an owner whose heartbeats come, and which takes no jobs.
func TestRequestsOfASaturatedOwner(t *testing.T) {
	p := newPieceServer(t)
	servers, _ := newScripted(t, 1, useResults(p))
	owner, _, address, _, _ := newOwner(t, append(servers, p.backend)...)
	owner.batcher("").mu.Lock()
	defer owner.batcher("").mu.Unlock()
	const needed = 36 * time.Millisecond // for a call of one piece, and the request
	for _, c := range []struct {
		left time.Duration
		want int
	}{
		{400 * time.Millisecond, http.StatusServiceUnavailable}, // before another owner is chosen
		{time.Second, http.StatusOK},                            // by the next owner
	} {
		began := time.Now()
		status, body, err := call(t, address, "/staged/", "a", headerPieces, "2", headerLeft, strconv.Itoa(int(c.left.Milliseconds())))
		if took := time.Since(began); status != c.want || took > c.left-needed {
			t.Errorf("%v left: got %d %q (%v) after %v, want %d before it can no longer be served", c.left, status, body, err, took, c.want)
		}
	}
}
