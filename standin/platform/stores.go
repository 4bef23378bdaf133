package standinplatform

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/backing/version"
)

type tableStore struct{ p *Platform }

// Read implements backing.TableStore.
func (t tableStore) Read(ctx context.Context, q backing.Query) ([]backing.Record, error) {
	var out []backing.Record
	err := t.p.call(ctx, Tables, false, func() error {
		out = t.p.selectRecords(q)
		return nil
	})
	return out, err
}

// Commit implements backing.TableStore.
func (t tableStore) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	var versions []uint64
	err := t.p.call(ctx, Tables, true, func() error {
		var err error
		versions, err = t.p.commit(txn)
		return err
	})
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// selectRecords returns the records that match q, ordered by key. It must run on
// the owner goroutine.
func (p *Platform) selectRecords(q backing.Query) []backing.Record {
	var out []backing.Record
	if q.Prefix != "" {
		for key, r := range p.records {
			if strings.HasPrefix(key, q.Prefix) {
				out = append(out, r)
			}
		}
	}
	for _, key := range q.Keys {
		if r, ok := p.records[key]; ok {
			out = append(out, r)
		}
	}
	for i := range out {
		out[i].Version = version.New(p.era, out[i].Version)
	}
	slices.SortFunc(out, func(a, b backing.Record) int { return cmp.Compare(a.Key, b.Key) })
	return slices.CompactFunc(out, func(a, b backing.Record) bool { return a.Key == b.Key })
}

// commit applies t if all its conditions hold, and returns the new version of each
// written record. It must run on the owner goroutine.
func (p *Platform) commit(t backing.Txn) ([]uint64, error) {
	for _, c := range t.Conditions {
		current := p.records[c.Key].Version
		if current > 0 {
			current = version.New(p.era, current)
		}
		if current != c.Version {
			n := p.counts[Tables]
			n.Conflicts++
			p.counts[Tables] = n
			return nil, fmt.Errorf("%w: record %q has version %d, not %d", backing.ErrConflict, c.Key, current, c.Version)
		}
	}
	versions := make([]uint64, len(t.Writes))
	for i, w := range t.Writes {
		last := max(p.records[w.Key].Version, p.deletedVersions[w.Key])
		if w.Delete {
			delete(p.records, w.Key)
			p.deletedVersions[w.Key] = last
			continue
		}
		delete(p.deletedVersions, w.Key)
		p.records[w.Key] = backing.Record{Key: w.Key, Value: bytes.Clone(w.Value), Version: last + 1}
		versions[i] = version.New(p.era, last+1)
	}
	return versions, nil
}

// TableCopy is a copy of the records of the table service. The zero value has none.
type TableCopy struct {
	records         map[string]backing.Record
	deletedVersions map[string]uint64
}

// CopyTables returns a copy of the records of the table service.
func (p *Platform) CopyTables() TableCopy {
	var c TableCopy
	p.owner.Do(func() { c = TableCopy{maps.Clone(p.records), maps.Clone(p.deletedVersions)} })
	return c
}

// RestoreTables replaces the records of the table service by a copy, and raises its
// era. Later writes are lost, and their versions are used again in the new era.
func (p *Platform) RestoreTables(c TableCopy) {
	p.owner.Do(func() {
		p.records, p.deletedVersions = make(map[string]backing.Record), make(map[string]uint64)
		maps.Copy(p.records, c.records)
		maps.Copy(p.deletedVersions, c.deletedVersions)
		p.era++
	})
}

// Era implements backing.TableStore.
func (t tableStore) Era() uint64 {
	var era uint64
	t.p.owner.Do(func() { era = t.p.era })
	return era
}

type objectStore struct{ p *Platform }

// Put implements backing.ObjectStore.
func (o objectStore) Put(ctx context.Context, name string, data []byte) error {
	return o.p.call(ctx, Objects, true, func() error {
		o.p.objects[name] = bytes.Clone(data)
		return nil
	})
}

// Get implements backing.ObjectStore.
func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	var out []byte
	err := o.p.call(ctx, Objects, false, func() error {
		data, ok := o.p.objects[name]
		if !ok {
			return fmt.Errorf("%w: object %q", backing.ErrNotFound, name)
		}
		out = bytes.Clone(data)
		return nil
	})
	return out, err
}

// List implements backing.ObjectStore.
func (o objectStore) List(ctx context.Context, prefix string) ([]string, error) {
	var out []string
	err := o.p.call(ctx, Objects, false, func() error {
		for name := range maps.Keys(o.p.objects) {
			if strings.HasPrefix(name, prefix) {
				out = append(out, name)
			}
		}
		slices.Sort(out)
		return nil
	})
	return out, err
}

// Delete implements backing.ObjectStore.
func (o objectStore) Delete(ctx context.Context, name string) error {
	return o.p.call(ctx, Objects, true, func() error {
		delete(o.p.objects, name)
		return nil
	})
}
