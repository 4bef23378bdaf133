package enginehttp

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// countedBody gives its data with the first read and counts the reads.
type countedBody struct {
	data  io.Reader
	reads int
}

func (b *countedBody) Read(p []byte) (int, error) {
	b.reads++
	return b.data.Read(p)
}

func (b *countedBody) Close() error { return nil }

// Guards against a chunk that a relay holds back while the engine is silent,
// and against one write for each of several chunks that came together.
func TestBufferedCountsOnlyWholeChunks(t *testing.T) {
	for name, c := range map[string]struct {
		after string // received together with the first chunk
		want  bool
	}{
		"nothing":                   {"", false},
		"whole chunk":               {second, true},
		"final chunk":               {strings.Replace(last, `"i":2`, `"i":1`, 1), true},
		"without the blank line":    {second[:len(second)-1], false},
		"part of a line":            {second[:10], false},
		"comment":                   {": wait\n\n", false},
		"comment, then a chunk":     {": wait\n\n" + second, true},
		"carriage returns":          {strings.ReplaceAll(second, "\n", "\r\n"), true},
		"first carriage return":     {strings.TrimSuffix(second, "\n") + "\r", false},
		"longer than the buffer":    {strings.Replace(second, `"b"`, `"`+strings.Repeat("b", 2*eventBuffer)+`"`, 1), false},
		"whole chunk and a partial": {second + "data: {", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &countedBody{data: strings.NewReader(first + c.after)}
			s := newStream(t.Context(), func() {}, body, request)
			is.True(!s.Buffered()) // nothing is read yet
			_, err := s.Next()
			is.NoErr(err)
			reads := body.reads
			is.Equal(s.Buffered(), c.want)
			is.Equal(body.reads, reads) // Buffered does not read
			chunk, err := s.Next()
			if c.want {
				is.NoErr(err)
				is.Equal(body.reads, reads) // Next did not wait
				is.Equal(chunk.Index, 1)
			}
			is.True(s.Close() == nil && !s.Buffered())
		})
	}
}
