package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hyssophaven/hyssophaven/engine"
	"github.com/hyssophaven/hyssophaven/memorybudget"
	"github.com/hyssophaven/hyssophaven/openai"
)

// requestMemory is the account of one request in the memory budget. A nil requestMemory
// has no limit.
type requestMemory struct {
	account     memorybudget.Account
	reservation memorybudget.Reservation
	users       atomic.Int32 // goroutines that use what is held
}

// openMemory opens the account of a request, whose body is read until it is evicted. It
// returns nil without a budget, and false if there is no room.
func (g *Gateway) openMemory(w http.ResponseWriter) (*requestMemory, bool) {
	if g.memory == nil {
		return nil, true
	}
	m := &requestMemory{}
	m.reservation.Account = &m.account
	m.users.Store(1)
	rc := http.NewResponseController(w)
	return m, g.memory.OpenAccount(&m.account, time.Now(), func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
}

// held returns the reservation of what the request holds.
func (m *requestMemory) held() *memorybudget.Reservation {
	if m == nil {
		return nil
	}
	return &m.reservation
}

// share adds a goroutine that uses what is held. Each of them calls close once.
func (m *requestMemory) share() {
	if m != nil {
		m.users.Add(1)
	}
}

// close gives back what the request holds when its last user has ended.
func (m *requestMemory) close() {
	if m != nil && m.users.Add(-1) == 0 {
		m.reservation.Release()
		m.account.Close()
	}
}

// protect keeps the request from being evicted, because its body is complete. It returns
// false if it was evicted before.
func (m *requestMemory) protect() bool { return m == nil || m.account.Protect() }

// countProgress returns a reader of r that records the progress of the request.
func (m *requestMemory) countProgress(r io.Reader) io.Reader {
	if m == nil {
		return r
	}
	return progressReader{r, &m.account}
}

type progressReader struct {
	io.Reader
	account *memorybudget.Account
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		p.account.Moved(time.Now(), n)
	}
	return n, err
}

// refuseForMemory returns the answer to a request that finds no room. Its connection is
// closed, because the body is left unread.
func (g *Gateway) refuseForMemory(w http.ResponseWriter) *failure {
	g.counters.memoryRefused.Add(1)
	w.Header().Set("Connection", "close")
	return failf(openai.CodeMemoryShort, engine.ExecutedNo, "the memory for requests is used up").withRetryAfter(shortRetryAfter)
}
