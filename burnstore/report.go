package burnstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hyssophaven/hyssophaven/backing"
	"github.com/hyssophaven/hyssophaven/burn"
	"github.com/hyssophaven/hyssophaven/burn/burncodec"
	"github.com/hyssophaven/hyssophaven/rendezvous"
)

const (
	// readAge is how long the documents that were read serve for reports, so
	// that operators who watch reports don't multiply the reads.
	// With many documents they serve for readShare times as long as it took to
	// read them, which bounds the time that is spent on reading to 5%.
	readAge   = 10 * time.Second
	readShare = 20
	// maxReads bounds the documents that are read at once.
	maxReads = 8
	// maxDocuments bounds the documents of one report. At full size about
	// 1,040 exist: 420 live ones and those of 623 instances replaced in a day.
	maxDocuments = 4096
	// maxDeletes bounds the deletions of one pass over the documents.
	maxDeletes = 128
)

var errStopped = errors.New("burnstore: service is stopped")

// others are the documents of all other incarnations, as last read.
type others struct {
	total  *burn.Total
	readAt time.Time // zero if never
	tried  time.Time
	took   time.Duration // the last attempt
	unread int           // documents that could not be read
	failed bool          // the last attempt did not get the list
}

// ReportJSON returns the burn report of the fleet. While the object store is
// down it is built from the counts of this instance and the documents that were
// read last.
func (s *Service) ReportJSON(ctx context.Context) ([]byte, error) {
	s.config.Vars.Add("reports", 1)
	own, err := s.ownDocument(ctx)
	if err != nil {
		return nil, err
	}
	var o others
	select {
	case o = <-s.others:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if time.Since(o.tried) > max(readAge, readShare*o.took) {
		o = s.readOthers(ctx, o)
	}
	total := o.total.Clone()
	s.others <- o
	total.Add(own)
	return burncodec.EncodeReport(total.Report(time.Now(), s.config.Objective), burncodec.Coverage{
		UnreadDocuments: o.unread, OthersAsOf: o.readAt, Complete: !o.failed && o.unread == 0,
	})
}

// ownDocument returns the current counts of this instance.
func (s *Service) ownDocument(ctx context.Context) (burn.Document, error) {
	reply := make(chan burn.Document, 1)
	select {
	case s.current <- reply:
		return <-reply, nil
	case <-s.ended:
		return burn.Document{}, errStopped
	case <-ctx.Done():
		return burn.Document{}, ctx.Err()
	}
}

// readOthers reads all documents but that of this incarnation.
func (s *Service) readOthers(ctx context.Context, before others) others {
	now := time.Now()
	names, err := s.documentNames(ctx)
	if err != nil {
		before.tried, before.failed = now, true
		return before
	}
	out := others{total: burn.NewTotal(), readAt: now, tried: now}
	for r := range s.readDocuments(ctx, names) {
		if r.err != nil {
			out.unread++
			continue
		}
		out.total.Add(r.document)
	}
	if ctx.Err() != nil {
		return before // the operator has gone, so the next one reads again
	}
	out.took = time.Since(now)
	return out
}

// documentNames returns the names of the documents of all other incarnations.
func (s *Service) documentNames(ctx context.Context) ([]string, error) {
	names, err := s.config.Objects.List(ctx, prefix)
	if err != nil {
		s.config.Vars.Add("read_failures", 1)
		return nil, err
	}
	own := objectName(s.source())
	names = slices.DeleteFunc(names, func(n string) bool { return n == own })
	return names[:min(len(names), maxDocuments)], nil
}

type read struct {
	name     string
	document burn.Document
	err      error
}

// readDocuments reads the named documents, a bounded number at a time, in any
// order. The result must be read to its end. Documents that were deleted
// meanwhile are left out.
func (s *Service) readDocuments(ctx context.Context, names []string) <-chan read {
	results := make(chan read)
	places := make(chan struct{}, maxReads)
	go func() {
		defer close(results)
		for _, name := range names {
			places <- struct{}{}
			go func() {
				defer func() { <-places }()
				d, err := s.readDocument(ctx, name)
				if !errors.Is(err, backing.ErrNotFound) {
					results <- read{name: name, document: d, err: err}
				}
			}()
		}
		for range maxReads { // all readers have ended
			places <- struct{}{}
		}
	}()
	return results
}

func (s *Service) readDocument(ctx context.Context, name string) (burn.Document, error) {
	data, err := s.config.Objects.Get(ctx, name)
	if err != nil {
		if !errors.Is(err, backing.ErrNotFound) {
			s.config.Vars.Add("read_failures", 1)
		}
		return burn.Document{}, err
	}
	s.config.Vars.Add("documents_read", 1)
	d, err := burncodec.DecodeDocument(data)
	if err == nil && objectName(d.Source) != name {
		err = fmt.Errorf("object %q holds the counts of %s", name, objectName(d.Source))
	}
	if err != nil {
		s.config.Vars.Add("bad_documents", 1)
	}
	return d, err
}

// expireLoop deletes old documents after each interval.
func (s *Service) expireLoop(ctx context.Context) {
	timer := time.NewTimer(expiryInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if s.preferred() {
				s.expire(ctx)
			}
			timer.Reset(expiryInterval)
		case <-ctx.Done():
			return
		}
	}
}

// preferred reports whether this instance is the one that deletes documents.
// Two instances that disagree for a while delete the same documents.
func (s *Service) preferred() bool {
	snapshot := s.control.Snapshot()
	members := []string{string(s.config.Self.ID)}
	for id := range maps.Keys(snapshot.AliveIncarnations) {
		members = append(members, string(id))
	}
	return rendezvous.NewSet(members).First(prefix) == string(s.config.Self.ID)
}

// expire deletes documents that no report uses any more. A live instance
// writes its document again when it has something to count.
func (s *Service) expire(ctx context.Context) {
	names, err := s.documentNames(ctx)
	if err != nil {
		return
	}
	deletes := 0
	for r := range s.readDocuments(ctx, names) {
		if r.err != nil || !r.document.Expired(time.Now()) || deletes >= maxDeletes {
			continue
		}
		deletes++
		if err := s.config.Objects.Delete(ctx, r.name); err != nil {
			s.config.Vars.Add("delete_failures", 1)
			continue
		}
		s.config.Vars.Add("documents_deleted", 1)
	}
}
