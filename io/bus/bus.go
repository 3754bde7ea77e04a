// Package bus is the event bus inside one process, on watermill's Go channels:
// announcements, directory changes, revisions and crash reports travel on it,
// each topic with one type. Handlers of a topic run one at a time and in the
// order of publishing. The request path does not use it.
package bus

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"go.uber.org/zap"

	"tanagerroad/core/event"
)

// Bus carries events between the parts of a process.
type Bus struct {
	channel *gochannel.GoChannel
	logger  *zap.Logger
	ctx     context.Context
}

// buffer is the number of events that may wait at one handler.
const buffer = 64

// New returns a bus and the function that ends it.
func New(logger *zap.Logger) (*Bus, func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	config := gochannel.Config{OutputChannelBuffer: buffer, BlockPublishUntilSubscriberAck: true}
	b := &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{}), logger: logger, ctx: ctx}
	return b, func() error {
		cancel()
		return b.channel.Close()
	}
}

// Topic names a stream of events of one type.
type Topic[T any] string

// Publish hands an event to every handler of the topic and returns when all
// have taken it.
func Publish[T any](b *Bus, topic Topic[T], event T) error {
	payload, err := json.Marshal(event)
	if err != nil {
		return fmt.Errorf("bus: %s: %w", topic, err)
	}
	if err := b.channel.Publish(string(topic), message.NewMessage(watermill.NewUUID(), payload)); err != nil {
		return fmt.Errorf("bus: %s: %w", topic, err)
	}
	return nil
}

// Handle calls handler for every event of the topic from now on.
func Handle[T any](b *Bus, topic Topic[T], handler func(T)) error {
	messages, err := b.channel.Subscribe(b.ctx, string(topic))
	if err != nil {
		return fmt.Errorf("bus: %s: %w", topic, err)
	}
	go func() {
		for m := range messages {
			var e T
			if err := json.Unmarshal(m.Payload, &e); err != nil {
				event.BusFailed.Log(b.logger, zap.String("topic", string(topic)), zap.Error(err))
			} else {
				handler(e)
			}
			m.Ack()
		}
	}()
	return nil
}
