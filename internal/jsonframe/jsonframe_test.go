package jsonframe

import (
	"bufio"
	"bytes"
	"testing"
)

// Guards against panics and against accepting frames that exceed the limit.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := read(bufio.NewReader(bytes.NewReader(data)), func() int64 { return 64 }, nil)
		if err == nil && (len(got) == 0 || len(got) > 64) {
			t.Fatalf("frame of %d bytes", len(got))
		}
	})
}
