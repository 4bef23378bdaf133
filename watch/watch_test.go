package watch

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/catalog"
	"github.com/hyssophaven/hyssophaven/controlplane"
	"github.com/hyssophaven/hyssophaven/kernel"
	"github.com/hyssophaven/hyssophaven/metrics"
	"github.com/hyssophaven/hyssophaven/nodeconfig"
	"github.com/hyssophaven/hyssophaven/rowstore"
)

// feedCall is a call of the feed of a lossyStore.
type feedCall struct {
	at       time.Time
	wait     time.Duration
	answered bool
}

// lossyStore is a store without rows. It does not answer the second call of the feed.
type lossyStore struct {
	rowstore.Store // nil: other calls are not made
	calls          chan feedCall
	count          int
}

func (s *lossyStore) Read(context.Context, string) (rowstore.Page, error) {
	return rowstore.Page{Version: 1}, nil
}

func (s *lossyStore) Feed(ctx context.Context, _ string, after rowstore.Version, wait time.Duration) (rowstore.Page, error) {
	s.count++
	call := feedCall{at: time.Now(), wait: wait, answered: s.count != 2}
	s.calls <- call
	if !call.answered {
		<-ctx.Done()
		return rowstore.Page{}, ctx.Err()
	}
	select {
	case <-time.After(wait):
		return rowstore.Page{Version: after}, nil
	case <-ctx.Done():
		return rowstore.Page{}, ctx.Err()
	}
}

// Guards against a call that is never answered and is not replaced before the list counts
// as outdated, and against a next call that waits for changes although it has to show
// whether the store answers.
func TestLostCallIsReplacedByOneThatDoesNotWait(t *testing.T) {
	is := is.New(t)
	logger, registry := log.New(io.Discard), metrics.New()
	store := &lossyStore{calls: make(chan feedCall, 16)}
	source := Source{ReplicaTable: "replicas", DecodeReplica: func(string, []byte) (*catalog.Replica, error) { return nil, nil }}
	source.ListWait, source.ListAnswerTime = controlplane.ListCallLimits(nodeconfig.Bounds{})
	s := New(store, source, logger, registry)
	k, err := kernel.New()
	is.NoErr(err)
	s.control = controlplane.New(nodeconfig.Node{ID: "self"}, logger, registry)
	k.Register(s.control)
	is.NoErr(k.Start(t.Context()))
	defer func() { _ = k.Stop(context.Background()) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.follow(ctx, &feed{table: "replicas", wait: source.ListWait, answerTime: source.ListAnswerTime, backoff: minRetryBackoff, handlePage: s.handleReplicaRows})
	var calls []feedCall
	for range 4 {
		calls = append(calls, <-store.calls)
	}
	is.True(!calls[1].answered)
	is.True(calls[1].wait > 0)
	is.Equal(calls[2].wait, time.Duration(0))
	is.True(calls[2].at.Sub(calls[1].at) < 2*time.Second)
	is.True(calls[3].wait > 0)
}
