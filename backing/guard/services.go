package guard

import (
	"context"
	"expvar"

	"github.com/hyssophaven/hyssophaven/backing"
)

// TableStore returns s with the limits of c. It adds its counters to vars.
func TableStore(s backing.TableStore, c Config, vars *expvar.Map) backing.TableStore {
	return &tableStore{next: s, guard: newGuard(c, vars)}
}

type tableStore struct {
	next  backing.TableStore
	guard *guard
}

func (t *tableStore) Read(ctx context.Context, q backing.Query) (records []backing.Record, err error) {
	err = t.guard.do(ctx, func(ctx context.Context) error {
		records, err = t.next.Read(ctx, q)
		return err
	})
	return records, err
}

func (t *tableStore) Commit(ctx context.Context, txn backing.Txn) (versions []uint64, err error) {
	err = t.guard.do(ctx, func(ctx context.Context) error {
		versions, err = t.next.Commit(ctx, txn)
		return err
	})
	return versions, err
}

func (t *tableStore) Era() uint64 { return t.next.Era() }

// ObjectStore returns s with the limits of c. It adds its counters to vars.
func ObjectStore(s backing.ObjectStore, c Config, vars *expvar.Map) backing.ObjectStore {
	return &objectStore{next: s, guard: newGuard(c, vars)}
}

type objectStore struct {
	next  backing.ObjectStore
	guard *guard
}

func (o *objectStore) Put(ctx context.Context, name string, data []byte) error {
	return o.guard.do(ctx, func(ctx context.Context) error { return o.next.Put(ctx, name, data) })
}

func (o *objectStore) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.guard.do(ctx, func(ctx context.Context) error {
		data, err = o.next.Get(ctx, name)
		return err
	})
	return data, err
}

func (o *objectStore) List(ctx context.Context, prefix string) (names []string, err error) {
	err = o.guard.do(ctx, func(ctx context.Context) error {
		names, err = o.next.List(ctx, prefix)
		return err
	})
	return names, err
}

func (o *objectStore) Delete(ctx context.Context, name string) error {
	return o.guard.do(ctx, func(ctx context.Context) error { return o.next.Delete(ctx, name) })
}
