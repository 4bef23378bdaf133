package heldbytes

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// Guards against bytes that are lost or added between pieces, against reserving by the
// announced length, and against memory without a reservation.
func FuzzRead(f *testing.F) {
	for _, size := range []int{0, 1, 4096, 4097, 20480, 20481, 200_000} {
		f.Add(size, size, int64(1<<20))
		f.Add(size, -1, int64(1<<20))
		f.Add(size, 1<<40, int64(100_000))
	}
	f.Fuzz(func(t *testing.T, size, announced int, limit int64) {
		size = max(size, 0) % (1 << 20)
		limit = max(limit, 0)%(8<<20) + memorybudget.ConnectionBytes + 1
		if announced >= 0 && announced < size {
			announced = size // the body is cut at the announced length
		}
		content := bytes.Repeat([]byte("0123456789abcdef-"), size/17+1)[:size]
		budget := memorybudget.New(limit)
		var account memorybudget.Account
		if !budget.NewGroup(0).OpenAccount(&account, time.Now(), func() {}) {
			return
		}
		m := &memorybudget.Reservation{Account: &account}
		reader := iotest.HalfReader(bytes.NewReader(content))
		first, rest, err := ReadPieces(reader, int64(announced), m)
		got, room := first, cap(first)
		for _, piece := range rest {
			got, room = append(got[:len(got):len(got)], piece...), room+cap(piece)
		}
		checkRead(t, got, content, err, budget, room)
		m.Release()
		whole, err := ReadAll(bytes.NewReader(content), 512, 1<<20, m, memorybudget.Other)
		checkRead(t, whole, content, err, budget, cap(whole))
		m.Release()
		if held := budget.Counts().Held; held != memorybudget.ConnectionBytes {
			t.Fatalf("%d bytes are held at the end", held)
		}
	})
}

func checkRead(t *testing.T, got, content []byte, err error, budget *memorybudget.Budget, room int) {
	t.Helper()
	switch {
	case err == nil && !bytes.Equal(got, content):
		t.Fatalf("%d bytes, want %d", len(got), len(content))
	case err != nil && (!errors.Is(err, ErrNoRoom) || !bytes.HasPrefix(content, got)):
		t.Fatalf("%d bytes of %d: %v", len(got), len(content), err)
	case int64(room) > budget.Counts().Held-memorybudget.ConnectionBytes+memorybudget.BufferBytes:
		t.Fatalf("%d bytes of memory, %d held", room, budget.Counts().Held)
	}
}

// Guards against the end of a body that is taken for its whole when its sender breaks off.
func TestReadPiecesReportsErrors(t *testing.T) {
	cut := io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	if _, _, err := ReadPieces(cut, 10_000, nil); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
}
