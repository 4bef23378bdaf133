package admission

import (
	"container/heap"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// queuedRequest is a waiting request with its position in the queue.
type queuedRequest struct {
	request     Request
	row         *row
	flow        *flow
	arrived     time.Time
	sequence    uint64
	cost        float64        // expected slot time in seconds
	expires     time.Time      // zero for none
	expiryIndex int            // in the expiry heap; -1 if not in it
	prev, next  *queuedRequest // in a requestList
}

// requestList is a doubly linked list, so that a cancelled request is removed in O(1).
type requestList struct {
	head, tail *queuedRequest
	length     int
}

func (l *requestList) pushBack(it *queuedRequest) {
	it.prev, it.next = l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
	l.length++
}

func (l *requestList) remove(it *queuedRequest) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.prev, it.next = nil, nil
	l.length--
}

// flow is the unit of fair queueing: the waiting requests of one row, rank and
// routing key. Readmitted requests have a flow of their own.
type flow struct {
	row        *row
	keyQueue   *keyQueue
	rank       fleet.Rank // rank by which the queue orders the requests
	readmitted bool       // its requests wait in backlog.readmitted, ahead of the rank
	weight     float64
	waiting    requestList
	length     int     // waiting requests, including those in backlog.readmitted
	startTag   float64 // virtual time of the next request; its sequence number under FIFO
	work       float64 // expected slot time of the waiting requests, in seconds
	heapIndex  int     // in the flow heap; -1 if not in it
}

// flowKey identifies a flow.
type flowKey struct {
	row        string
	rank       fleet.Rank
	readmitted bool
	keyQueue   *keyQueue
}

// keyQueue holds the waiting requests of one routing key, by rank, and the
// endpoints that can serve them.
type keyQueue struct {
	key        routing.Key
	candidates []routing.Candidate
	ranks      [fleet.RankCount]backlog
	length     int // waiting requests
}

// backlog holds the waiting requests of one key and rank.
type backlog struct {
	flows      flowHeap
	readmitted requestList // in order of arrival
	work       float64     // expected slot time in seconds
	weight     float64     // sum over the flows in the heap
}

// flowHeap orders flows by start tag, then by the arrival of their oldest request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].waiting.head.sequence < h[j].waiting.head.sequence
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// add appends a request to its flow.
func (q *Queue) add(it *queuedRequest) {
	f, b := it.flow, &it.flow.keyQueue.ranks[it.flow.rank]
	if f.readmitted {
		b.readmitted.pushBack(it)
	} else {
		f.waiting.pushBack(it)
		if f.waiting.length == 1 {
			q.activate(f, it.sequence, it.cost)
			heap.Push(&b.flows, f)
			b.weight += f.weight
		}
	}
	f.length++
	f.work += it.cost
	b.work += it.cost
	f.keyQueue.length++
	it.row.queued++
	q.queued[it.request.Rank]++
	q.waiting[it.request.ID] = it
	if !it.expires.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

// idle reports whether the flow has no waiting requests.
func (f *flow) idle() bool { return f.length == 0 }

// fixFlow restores the heap order after the start tag of a flow changed.
func (q *Queue) fixFlow(f *flow) {
	heap.Fix(&f.keyQueue.ranks[f.rank].flows, f.heapIndex)
}

// remove removes a request from its flow and from the expiry heap.
func (q *Queue) remove(it *queuedRequest) {
	f, b := it.flow, &it.flow.keyQueue.ranks[it.flow.rank]
	f.length--
	f.work -= it.cost
	b.work -= it.cost
	if f.readmitted {
		b.readmitted.remove(it)
	} else {
		wasHead := f.waiting.head == it
		f.waiting.remove(it)
		if f.waiting.length == 0 {
			heap.Remove(&b.flows, f.heapIndex)
			b.weight -= f.weight
			f.work = 0
		} else if wasHead {
			if q.config.Policy == FIFO {
				f.startTag = float64(f.waiting.head.sequence)
			}
			heap.Fix(&b.flows, f.heapIndex)
		}
	}
	f.keyQueue.length--
	if b.readmitted.length == 0 && len(b.flows) == 0 {
		b.work, b.weight = 0, 0 // discards rounding errors
	}
	it.row.queued--
	q.queued[it.request.Rank]--
	delete(q.waiting, it.request.ID)
	if it.expiryIndex >= 0 {
		heap.Remove(&q.expiry, it.expiryIndex)
	}
}

// expiryHeap orders requests by expiry.
type expiryHeap []*queuedRequest

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*queuedRequest)
	it.expiryIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.expiryIndex = -1
	return it
}
