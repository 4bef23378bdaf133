package upstream

import (
	"context"
	"time"
)

// Dedicated makes each call on a connection of its own. It is for calls whose answers
// don't name them: on a kept connection, a second copy of an answer could be taken for the
// answer to the next call. It is safe for concurrent use.
type Dedicated struct{ dialer }

// NewDedicated returns a client without connections.
func NewDedicated(dial DialFunc) *Dedicated { return &Dedicated{dialer{dial: dial}} }

// Do sends call to address and returns the head of the answer. It waits for the head for
// answerTimeout at most. When ctx ends, the connection is closed immediately, even while
// the body is being read.
func (d *Dedicated) Do(ctx context.Context, address string, call *Call, answerTimeout time.Duration) (*Answer, error) {
	c, err := d.open(ctx, address)
	if err != nil {
		return nil, err
	}
	a := &Answer{conn: c, cutOff: &d.cutOff}
	if err := a.start(ctx, call); err != nil {
		return nil, err
	}
	if err := a.ReadHead(ctx, answerTimeout); err != nil {
		a.Close(false)
		return nil, err
	}
	return a, nil
}
