package quorum

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"tanagerroad/core/wire"
)

// Service is the door that other control instances knock at.
type Service struct {
	wire.UnimplementedQuorumServer
	Quorum *Quorum
}

// Hello answers who this instance is.
func (s *Service) Hello(context.Context, *wire.HelloRequest) (*wire.HelloReply, error) {
	return s.Quorum.Hello(), nil
}

// Exchange takes messages until the stream ends, and shows the sender that
// somebody listens.
func (s *Service) Exchange(stream grpc.BidiStreamingServer[wire.Message, wire.Message]) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go func() {
		ticker := time.NewTicker(BeatEvery)
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
