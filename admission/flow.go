package admission

import (
	"container/heap"
	"time"

	"github.com/hyssophaven/hyssophaven/fleet"
	"github.com/hyssophaven/hyssophaven/routing"
)

// item is one waiting request.
type item struct {
	request    Request
	row        *row
	flow       *flow
	arrived    time.Time
	sequence   uint64
	cost       float64   // expected slot time in seconds
	expires    time.Time // zero for none
	heapIndex  int       // in the expiry heap; -1 when not there
	prev, next *item     // in the list of the flow
}

// list is a doubly linked list of items, so that a cancelled one leaves in O(1).
type list struct {
	head, tail *item
	length     int
}

func (l *list) push(it *item) {
	it.prev, it.next = l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
	l.length++
}

func (l *list) remove(it *item) {
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

// flow holds the waiting requests of one row, rank and target.
type flow struct {
	row       *row
	target    *target
	rank      fleet.Rank // order in the queue
	front     bool       // holds readmitted requests, which go ahead of the rank
	weight    float64
	waiting   list
	length    int     // requests waiting, in whichever list
	tag       float64 // virtual time at which the flow is served next
	work      float64 // expected slot time of what waits, in seconds
	heapIndex int     // in the target's heap; -1 while nothing waits
}

type flowKey struct {
	row    string
	rank   fleet.Rank
	front  bool
	target *target
}

// target is what requests of one key wait for: the endpoints that can serve it.
type target struct {
	key    routing.Key
	places []routing.Place
	ranks  [fleet.RankCount]backlog
	length int // requests waiting
}

// backlog is what waits for a target in one rank.
type backlog struct {
	flows  flowHeap
	front  list    // readmitted requests in order of arrival
	work   float64 // expected slot time in seconds
	weight float64 // sum over the flows that wait
}

// flowHeap orders flows by tag, then by the oldest request.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
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

// add puts an item at the end of its flow.
func (q *Queue) add(it *item) {
	f, b := it.flow, &it.flow.target.ranks[it.flow.rank]
	if f.front {
		b.front.push(it)
	} else {
		f.waiting.push(it)
		if f.waiting.length == 1 {
			q.activate(f, it.sequence, it.cost)
			heap.Push(&b.flows, f)
			b.weight += f.weight
		}
	}
	f.length++
	f.work += it.cost
	b.work += it.cost
	f.target.length++
	it.row.queued++
	q.queued[it.request.Rank]++
	q.waiting[it.request.ID] = it
	if !it.expires.IsZero() {
		heap.Push(&q.expiry, it)
	}
}

// idle reports whether nothing waits in the flow.
func (f *flow) idle() bool { return f.length == 0 }

// fixFlow restores the order after the tag of a waiting flow changed.
func (q *Queue) fixFlow(f *flow) {
	heap.Fix(&f.target.ranks[f.rank].flows, f.heapIndex)
}

// remove takes an item out of its flow.
func (q *Queue) remove(it *item) {
	f, b := it.flow, &it.flow.target.ranks[it.flow.rank]
	f.length--
	f.work -= it.cost
	b.work -= it.cost
	if f.front {
		b.front.remove(it)
	} else {
		first := f.waiting.head == it
		f.waiting.remove(it)
		if f.waiting.length == 0 {
			heap.Remove(&b.flows, f.heapIndex)
			b.weight -= f.weight
			f.work = 0
		} else if first {
			if q.config.Policy == FIFO {
				f.tag = float64(f.waiting.head.sequence)
			}
			heap.Fix(&b.flows, f.heapIndex)
		}
	}
	f.target.length--
	if b.front.length == 0 && len(b.flows) == 0 {
		b.work, b.weight = 0, 0 // drops rounding errors
	}
	it.row.queued--
	q.queued[it.request.Rank]--
	delete(q.waiting, it.request.ID)
	if it.heapIndex >= 0 {
		heap.Remove(&q.expiry, it.heapIndex)
	}
}

// expiryHeap orders items by expiry.
type expiryHeap []*item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.heapIndex = -1
	return it
}
