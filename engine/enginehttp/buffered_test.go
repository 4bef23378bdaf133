package enginehttp

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// countingBody returns its data with the first read and counts the reads.
type countingBody struct {
	data  io.Reader
	reads int
}

func (b *countingBody) Read(p []byte) (int, error) {
	b.reads++
	return b.data.Read(p)
}

func (b *countingBody) Close() error { return nil }

// Guards against Buffered returning true for an incomplete chunk, so that a relay
// withholds the chunks before it while the engine is silent, and against false
// for a whole chunk, so that the relay writes each chunk separately.
func TestBufferedCountsOnlyWholeChunks(t *testing.T) {
	for name, c := range map[string]struct {
		after string // received together with the first chunk
		want  bool
	}{
		"nothing":                   {"", false},
		"whole chunk":               {secondEvent, true},
		"final chunk":               {strings.Replace(lastEvent, `"i":2`, `"i":1`, 1), true},
		"without the blank line":    {secondEvent[:len(secondEvent)-1], false},
		"part of a line":            {secondEvent[:10], false},
		"comment":                   {": wait\n\n", false},
		"comment, then a chunk":     {": wait\n\n" + secondEvent, true},
		"carriage returns":          {strings.ReplaceAll(secondEvent, "\n", "\r\n"), true},
		"first carriage return":     {strings.TrimSuffix(secondEvent, "\n") + "\r", false},
		"longer than the buffer":    {strings.Replace(secondEvent, `"b"`, `"`+strings.Repeat("b", 2*eventBufferBytes)+`"`, 1), false},
		"whole chunk and a partial": {secondEvent + "data: {", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body := &countingBody{data: strings.NewReader(firstEvent + c.after)}
			s := newStream(t.Context(), func() {}, body, testRequest)
			is.True(!s.Buffered()) // nothing has been read yet
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
