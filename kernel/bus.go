package kernel

import (
	"context"
	"fmt"
	"reflect"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Bus delivers typed events between the services of one process. Every
// subscriber of an event's type receives it. Events are passed as Go values and
// are not encoded, so subscribers must not modify them.
type Bus struct {
	channel    *gochannel.GoChannel
	router     *message.Router
	routerDone chan struct{}
	startOnce  sync.Once
}

// subscriberBufferEvents is the number of events buffered for one subscriber.
// Each event beyond it waits in a goroutine of its own.
const subscriberBufferEvents = 256

func newBus() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{}, logger)
	if err != nil {
		return nil, err
	}
	channel := gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer: subscriberBufferEvents,
		PreserveContext:     true,
	}, logger)
	return &Bus{channel: channel, router: router, routerDone: make(chan struct{})}, nil
}

// start runs the router unless it already runs, and returns once it is running.
func (b *Bus) start() {
	b.startOnce.Do(func() {
		go func() {
			defer close(b.routerDone)
			_ = b.router.Run(context.Background())
		}()
		<-b.router.Running()
	})
}

func (b *Bus) close() error {
	b.start() // Close requires a router that has been started
	err := b.router.Close()
	<-b.routerDone
	if closeErr := b.channel.Close(); err == nil {
		err = closeErr
	}
	return err
}

// eventKey is the context key under which a message carries its event.
type eventKey struct{}

// topic returns the topic for events of type E, which is the name of the type.
func topic[E any]() string { return reflect.TypeFor[E]().String() }

// Publish sends ev to all current subscribers of its type without waiting for
// them. The order of delivery between events is not guaranteed.
func Publish[E any](b *Bus, ev E) error { return b.publish(topic[E](), ev) }

// PublishAny is like Publish, but selects the subscribers by the dynamic type
// of ev.
func PublishAny(b *Bus, ev any) error { return b.publish(reflect.TypeOf(ev).String(), ev) }

func (b *Bus) publish(topic string, ev any) error {
	msg := message.NewMessage(watermill.NewShortUUID(), nil)
	msg.SetContext(context.WithValue(context.Background(), eventKey{}, ev))
	return b.channel.Publish(topic, msg)
}

// Subscribe calls handle for every event of type E published after it returns.
// Calls for one subscription are sequential, so a handler that does I/O should
// do it in another goroutine. The name must be unique on the bus.
func Subscribe[E any](b *Bus, name string, handle func(ctx context.Context, ev E)) error {
	b.router.AddConsumerHandler(name, topic[E](), b.channel, func(msg *message.Message) error {
		if ev, ok := msg.Context().Value(eventKey{}).(E); ok {
			handle(msg.Context(), ev)
		}
		return nil
	})
	if err := b.router.RunHandlers(context.Background()); err != nil {
		return fmt.Errorf("subscribe %q: %w", name, err)
	}
	return nil
}
