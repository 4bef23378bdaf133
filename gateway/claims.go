package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/control"
	"github.com/hyssophaven/hyssophaven/idempotency"
	"github.com/hyssophaven/hyssophaven/idempotency/claimrecord"
)

const (
	// claimKeepTime is the age of the oldest copy of the table service whose restore
	// loses no claim of a running instance.
	claimKeepTime = 10 * time.Minute
	// maxKeptClaims limits the memory for kept claims to about 25 MB.
	maxKeptClaims = 20_000
	// maxKeptBody is the size of the largest answer that is kept with its claim. A
	// repeat of a call with a larger one is told that it was executed.
	maxKeptBody = 1 << 10

	claimBatch         = 128 // claims per store call when they are written again
	minRewriteAttempts = 8   // per batch; every attempt but the first follows a pause of rewriteDelay
	rewriteDelay       = 250 * time.Millisecond
)

// keptClaims holds the newest claim records that this instance has written, so that
// they can be written again after a restore of the table service. It is safe for
// concurrent use.
type keptClaims struct {
	mu      sync.Mutex
	records map[string]idempotency.Record // by key
	order   []keptKey                     // by time of the first record
}

type keptKey struct {
	key string
	at  time.Time
}

// keep stores the newest record of a call. A call that may have been sent keeps its
// key: a later one was refused.
func (k *keptClaims) keep(now time.Time, key string, r idempotency.Record) {
	if len(r.Answer.Body) > maxKeptBody {
		r.Answer.Body, r.Answer.BodyLost = nil, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.records == nil {
		k.records = make(map[string]idempotency.Record)
	}
	old, ok := k.records[key]
	if ok && old.Owner != r.Owner && old.Status != idempotency.Released {
		return
	}
	if !ok {
		k.order = append(k.order, keptKey{key, now})
	}
	k.records[key] = r
	for len(k.order) > maxKeptClaims || now.Sub(k.order[0].at) > claimKeepTime {
		delete(k.records, k.order[0].key)
		k.order = k.order[1:]
	}
}

// all returns the kept records by key, in batches.
func (k *keptClaims) all() (batches []map[string]idempotency.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, r := range k.records {
		if len(batches) == 0 || len(batches[len(batches)-1]) == claimBatch {
			batches = append(batches, make(map[string]idempotency.Record, claimBatch))
		}
		batches[len(batches)-1][key] = r
	}
	return batches
}

// writeClaimsAgain writes the kept claims that a restore of the table service lost.
func (g *Gateway) writeClaimsAgain(ctx context.Context, a control.WriteClaimsAgain) {
	var kept, written, failed, taken int
	for _, batch := range g.claims.all() {
		kept += len(batch)
		w, t, err := g.writeBatchAgain(ctx, batch)
		written, taken = written+w, taken+t
		if err != nil {
			failed += len(batch) - w
		}
	}
	g.counters.claimsWrittenAgain.Add(int64(written))
	g.counters.claimsLost.Add(int64(failed + taken))
	line := g.cfg.Log.Info
	if failed+taken > 0 {
		line = g.cfg.Log.Error
	}
	line("claims checked after a restore of the table service", "era", a.Era,
		"kept", kept, "written_again", written, "not_written", failed, "taken_by_other_calls", taken)
}

// writeBatchAgain writes the lost ones among the claims. It repeats that while the
// store fails or other writes come in between, at least until the store is settled,
// because the keys of lost claims can be claimed from then on. taken counts the keys that now
// belong to another call.
func (g *Gateway) writeBatchAgain(ctx context.Context, claims map[string]idempotency.Record) (written, taken int, err error) {
	for attempt := 0; attempt < minRewriteAttempts || g.control.Snapshot().StoreUnsettled; attempt++ {
		if attempt > 0 && !pause(ctx, rewriteDelay) {
			return 0, taken, ctx.Err()
		}
		var txn backing.Txn
		if txn, taken, err = g.lostClaims(ctx, claims); err != nil {
			continue
		}
		if len(txn.Writes) == 0 {
			return written, taken, nil
		}
		if _, err = g.cfg.Table.Commit(ctx, txn); err == nil {
			return len(txn.Writes), taken, nil
		}
	}
	return 0, taken, err
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// lostClaims returns the transaction that writes the lost ones among the claims, and
// the number of keys that belong to another call.
func (g *Gateway) lostClaims(ctx context.Context, claims map[string]idempotency.Record) (txn backing.Txn, taken int, err error) {
	keys := make([]string, 0, len(claims))
	for key := range claims {
		keys = append(keys, key)
	}
	records, err := g.cfg.Table.Read(ctx, backing.Query{Keys: keys})
	if err != nil {
		return txn, 0, err
	}
	stored := make(map[string]idempotency.ReadResult, len(records))
	for _, r := range records {
		decoded, err := claimrecord.Decode(r.Value)
		if err != nil {
			return txn, 0, err
		}
		stored[r.Key] = idempotency.ReadResult{Found: true, Version: r.Version, Record: decoded}
	}
	for key, own := range claims {
		s := stored[key]
		if !idempotency.MustWriteAgain(own, s) {
			if own.Status != idempotency.Released && s.Record.Owner != own.Owner {
				taken++
			}
			continue
		}
		value, err := claimrecord.Encode(own)
		if err != nil {
			return txn, 0, err
		}
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: key, Version: s.Version})
		txn.Writes = append(txn.Writes, backing.Write{Key: key, Value: value})
	}
	return txn, taken, nil
}
