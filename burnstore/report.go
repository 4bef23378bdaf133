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
	// minReadInterval is the minimum time between reads of all documents. Reports
	// in between use the documents read last, so that frequent reports don't
	// multiply the reads. After a long read, the next one waits for
	// readDurationFactor times its duration, which limits the time spent on
	// reading to 5%.
	minReadInterval    = 10 * time.Second
	readDurationFactor = 20
	// maxConcurrentReads limits the concurrent reads of one report or expiry pass.
	maxConcurrentReads = 8
	// maxDocuments limits the documents that one report reads. At full size about
	// 1,040 exist: those of 420 live instances and of 623 replaced within a day.
	maxDocuments = 4096
	// maxDeletesPerPass limits the deletions in one expiry pass.
	maxDeletesPerPass = 128
)

var errStopped = errors.New("burnstore: service is stopped")

// otherDocuments holds the sum of the counts of all other incarnations, as last
// read, and the outcome of that read.
type otherDocuments struct {
	total        *burn.Total
	readAt       time.Time // when the documents were last read; zero if never
	lastAttempt  time.Time
	readDuration time.Duration // duration of the last completed read of all documents
	unreadCount  int           // documents that could not be read
	listFailed   bool          // the last attempt could not list the documents
}

// ReportJSON returns the burn report of the fleet as JSON. While the object store
// is unavailable, it uses the current counts of this instance and the documents
// read last.
func (s *Service) ReportJSON(ctx context.Context) ([]byte, error) {
	s.config.Vars.Add("reports", 1)
	own, err := s.ownDocument(ctx)
	if err != nil {
		return nil, err
	}
	var o otherDocuments
	select {
	case o = <-s.otherDocuments:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if time.Since(o.lastAttempt) > max(minReadInterval, readDurationFactor*o.readDuration) {
		o = s.readOthers(ctx, o)
	}
	total := o.total.Clone()
	s.otherDocuments <- o
	total.Add(own)
	return burncodec.EncodeReport(total.Report(time.Now(), s.config.Objective), burncodec.Coverage{
		UnreadDocuments: o.unreadCount, OthersAsOf: o.readAt, Complete: !o.listFailed && o.unreadCount == 0,
	})
}

// ownDocument returns the current counts of this instance.
func (s *Service) ownDocument(ctx context.Context) (burn.Document, error) {
	reply := make(chan burn.Document, 1)
	select {
	case s.documentRequests <- reply:
		return <-reply, nil
	case <-s.runDone:
		return burn.Document{}, errStopped
	case <-ctx.Done():
		return burn.Document{}, ctx.Err()
	}
}

// readOthers reads the documents of all other incarnations. If they can't be
// listed, it returns previous, marked as failed. If ctx ends while it reads, it
// returns previous unchanged.
func (s *Service) readOthers(ctx context.Context, previous otherDocuments) otherDocuments {
	now := time.Now()
	names, err := s.documentNames(ctx)
	if err != nil {
		previous.lastAttempt, previous.listFailed = now, true
		return previous
	}
	out := otherDocuments{total: burn.NewTotal(), readAt: now, lastAttempt: now}
	for r := range s.readDocuments(ctx, names) {
		if r.err != nil {
			out.unreadCount++
			continue
		}
		out.total.Add(r.document)
	}
	if ctx.Err() != nil {
		return previous // the client has disconnected; the next report reads again
	}
	out.readDuration = time.Since(now)
	return out
}

// documentNames returns the names of the documents of all other incarnations, but
// at most maxDocuments.
func (s *Service) documentNames(ctx context.Context) ([]string, error) {
	names, err := s.config.Objects.List(ctx, objectPrefix)
	if err != nil {
		s.config.Vars.Add("read_failures", 1)
		return nil, err
	}
	own := objectName(s.source())
	names = slices.DeleteFunc(names, func(n string) bool { return n == own })
	return names[:min(len(names), maxDocuments)], nil
}

type readResult struct {
	name     string
	document burn.Document
	err      error
}

// readDocuments reads the named documents concurrently and returns the results in
// any order. The caller must drain the channel. Documents that no longer exist are
// omitted.
func (s *Service) readDocuments(ctx context.Context, names []string) <-chan readResult {
	results := make(chan readResult)
	readSlots := make(chan struct{}, maxConcurrentReads)
	go func() {
		defer close(results)
		for _, name := range names {
			readSlots <- struct{}{}
			go func() {
				defer func() { <-readSlots }()
				d, err := s.readDocument(ctx, name)
				if !errors.Is(err, backing.ErrNotFound) {
					results <- readResult{name: name, document: d, err: err}
				}
			}()
		}
		for range maxConcurrentReads { // wait until all readers have finished
			readSlots <- struct{}{}
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

// expiryLoop deletes expired documents every expiryInterval if this instance is the
// expirer.
func (s *Service) expiryLoop(ctx context.Context) {
	timer := time.NewTimer(expiryInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if s.isExpirer() {
				s.deleteExpired(ctx)
			}
			timer.Reset(expiryInterval)
		case <-ctx.Done():
			return
		}
	}
}

// isExpirer reports whether this instance deletes the expired documents. Rendezvous
// hashing selects one live instance. Two instances that disagree for a while
// about who is alive delete the same documents.
func (s *Service) isExpirer() bool {
	snapshot := s.control.Snapshot()
	members := []string{string(s.config.Self.ID)}
	for id := range maps.Keys(snapshot.AliveIncarnations) {
		members = append(members, string(id))
	}
	return rendezvous.NewSet(members).First(objectPrefix) == string(s.config.Self.ID)
}

// deleteExpired deletes documents that reports no longer use. A live instance
// writes its document again when it counts the next event.
func (s *Service) deleteExpired(ctx context.Context) {
	names, err := s.documentNames(ctx)
	if err != nil {
		return
	}
	deletes := 0
	for r := range s.readDocuments(ctx, names) {
		if r.err != nil || !r.document.Expired(time.Now()) || deletes >= maxDeletesPerPass {
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
