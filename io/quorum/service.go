package quorum

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"tanagerroad/core/wire"
)

// Service is the gRPC service that other control instances connect to.
type Service struct {
	wire.UnimplementedQuorumServer
	Quorum *Quorum
}

// Hello returns this instance's identity and whether it has no stored data yet.
func (s *Service) Hello(context.Context, *wire.HelloRequest) (*wire.HelloReply, error) {
	return s.Quorum.Hello(), nil
}

// Exchange receives messages until the stream ends. At regular intervals it sends an
// empty message, so that the sender can detect a dead connection.
func (s *Service) Exchange(stream grpc.BidiStreamingServer[wire.Message, wire.Message]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		ticker := time.NewTicker(KeepaliveInterval)
		defer ticker.Stop()
		for {
			if err := stream.Send(&wire.Message{}); err != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		s.Quorum.Receive(m)
	}
}
