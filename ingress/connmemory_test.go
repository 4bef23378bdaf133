package ingress

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hyssophaven/hyssophaven/headlimits"
	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// Guards against heads that take far more memory than they reserve, because each of their
// lines is short.
func TestHeadReservesWhatItsLinesTake(t *testing.T) {
	for name, line := range map[string]string{"short lines": "%03x:\r\n", "long lines": "X-%03x: " + strings.Repeat("v", 200) + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b strings.Builder
			b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
			for n := 0; b.Len() < headlimits.MaxBytes-300; n++ {
				fmt.Fprintf(&b, line, n)
			}
			head := b.String() + "\r\n"

			budget := memorybudget.New(64 << 20)
			c := &trackedConn{}
			c.head.Account = &c.account
			is.True(budget.NewGroup(0).OpenAccount(&c.account, time.Now(), func() {}))
			before := budget.Counts().Held
			for rest := []byte(head); len(rest) > 0; {
				n := min(len(rest), memorybudget.BufferBytes)
				is.True(c.reserveHead(time.Now(), rest[:n]))
				rest = rest[n:]
			}
			reserved := budget.Counts().Held - before

			taken := heapBytes()
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
			is.NoErr(err)
			taken = heapBytes() - taken
			runtime.KeepAlive(r)
			t.Logf("%d bytes of a head take %d and reserve %d", len(head), taken, reserved)
			is.True(taken <= reserved+memorybudget.ConnectionBytes)
			c.releaseHead()
			is.Equal(budget.Counts().Held, before)
		})
	}
}

// heapBytes returns the bytes that are in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against ordinary requests that are refused because their heads need a reservation.
func TestUsualHeadNeedsNoReservation(t *testing.T) {
	is := is.New(t)
	budget := memorybudget.New(2 * memorybudget.ConnectionBytes)
	c := &trackedConn{}
	c.head.Account = &c.account
	is.True(budget.NewGroup(0).OpenAccount(&c.account, time.Now(), func() {}))
	before := budget.Counts().Held
	is.True(c.reserveHead(time.Now(), []byte(strings.Repeat("X-Header: "+strings.Repeat("v", 48)+"\r\n", usualHeadLines))))
	is.Equal(budget.Counts().Held, before)
}
