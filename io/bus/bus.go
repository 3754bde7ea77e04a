// Package bus is an event bus within one process, built on watermill's Go channels. It
// carries announcements, directory changes, revisions and crash reports; each topic has
// one event type. A handler is called for one event at a time, in the order of
// publishing. The request path does not use the bus.
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

// Bus delivers the events of a process to the handlers of their topics.
type Bus struct {
	channel *gochannel.GoChannel
	logger  *zap.Logger
	ctx     context.Context
}

// bufferSize is the number of events that can be queued for one handler.
const bufferSize = 64

// New returns a bus and a function that closes it.
func New(logger *zap.Logger) (*Bus, func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	config := gochannel.Config{OutputChannelBuffer: bufferSize, BlockPublishUntilSubscriberAck: true}
	b := &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{}), logger: logger, ctx: ctx}
	return b, func() error {
		cancel()
		return b.channel.Close()
	}
}

// Topic names a stream of events of one type.
type Topic[T any] string

// Publish sends an event to every handler of the topic and returns when all of them
// have handled it.
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

// Subscribe calls handler for every later event of the topic. An event that cannot be
// decoded is logged and skipped.
func Subscribe[T any](b *Bus, topic Topic[T], handler func(T)) error {
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
