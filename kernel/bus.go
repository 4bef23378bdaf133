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

// Bus carries typed events between the services of one process. An event goes
// to every subscriber of its type. Events are passed as Go values and are not
// encoded; receivers must not change them.
type Bus struct {
	channel *gochannel.GoChannel
	router  *message.Router
	ended   chan struct{}
	once    sync.Once
}

// busBuffer is the number of events that may wait for one subscriber before
// further events wait in their own goroutines.
const busBuffer = 256

func newBus() (*Bus, error) {
	logger := watermill.NopLogger{}
	router, err := message.NewRouter(message.RouterConfig{}, logger)
	if err != nil {
		return nil, err
	}
	channel := gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer: busBuffer,
		PreserveContext:     true,
	}, logger)
	return &Bus{channel: channel, router: router, ended: make(chan struct{})}, nil
}

func (b *Bus) run() {
	b.once.Do(func() {
		go func() {
			defer close(b.ended)
			_ = b.router.Run(context.Background())
		}()
		<-b.router.Running()
	})
}

func (b *Bus) close() error {
	b.run() // an unstarted router can't be closed
	err := b.router.Close()
	<-b.ended
	if closeErr := b.channel.Close(); err == nil {
		err = closeErr
	}
	return err
}

type eventKey struct{}

func topic[E any]() string { return reflect.TypeFor[E]().String() }

// Publish sends ev to all current subscribers of its type and does not wait
// for them. Delivery order between events is not guaranteed.
func Publish[E any](b *Bus, ev E) error { return b.publish(topic[E](), ev) }

// PublishAny is Publish for an event whose type is known only when it is sent:
// it goes to the subscribers of its dynamic type.
func PublishAny(b *Bus, ev any) error { return b.publish(reflect.TypeOf(ev).String(), ev) }

func (b *Bus) publish(topic string, ev any) error {
	msg := message.NewMessage(watermill.NewShortUUID(), nil)
	msg.SetContext(context.WithValue(context.Background(), eventKey{}, ev))
	return b.channel.Publish(topic, msg)
}

// Subscribe calls handle for every event of type E from now on. Calls for one
// subscription are made one after another, so a handler that does I/O should
// hand the work to another goroutine. The name must be unique on the bus.
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
