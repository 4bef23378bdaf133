package jsonframe

import (
	"bufio"
	"bytes"
	"testing"
)

// Guards against a part of a frame that is taken for the whole when its connection ends.
func TestCutFrameIsAnError(t *testing.T) {
	frame := append([]byte{0x84, 0x01}, bytes.Repeat([]byte("1"), 0x84)...) // a length of two bytes
	limit := func() int64 { return 1 << 10 }
	for n := range frame {
		if _, err := read(bufio.NewReader(bytes.NewReader(frame[:n])), limit, nil); err == nil {
			t.Errorf("a frame is accepted without its last %d bytes", len(frame)-n)
		}
	}
	if _, err := read(bufio.NewReader(bytes.NewReader(frame)), limit, nil); err != nil {
		t.Error(err)
	}
}

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
