package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/hyssophaven/hyssophaven/internal/answerhead"
)

// maxFramingBytes limits the trailer of a chunked body, and the bytes of its size lines
// beyond 16 bytes and twice the data for each chunk. It is the limit of net/http.
const maxFramingBytes = 16 << 10

var errMalformedChunk = errors.New("malformed chunked encoding")

// chunkedBody reads a body in chunks. Unlike the reader of net/http, it can be read again
// after a timeout: it consumes a line of the framing only when the line is complete. The
// data of a chunk, its end and the next size can arrive separately, with pauses.
type chunkedBody struct {
	reader  *bufio.Reader
	expect  chunkPart
	left    uint64 // bytes left of the data of the chunk
	framing int64  // bytes of size lines that count towards maxFramingBytes
	trailer int    // bytes of the trailer
}

// chunkPart is a part of a chunked body.
type chunkPart uint8

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd
	chunkTrailer
	bodyEnd
)

// Read implements io.Reader.
func (c *chunkedBody) Read(b []byte) (int, error) {
	for c.expect != chunkData {
		if c.expect == bodyEnd {
			return 0, io.EOF
		}
		line, err := c.readLine()
		if err != nil {
			return 0, err
		}
		if err := c.acceptLine(line); err != nil {
			return 0, err
		}
	}
	if uint64(len(b)) > c.left {
		b = b[:c.left]
	}
	n, err := c.reader.Read(b)
	if c.left -= uint64(n); c.left == 0 {
		c.expect = chunkEnd
	}
	return n, unexpectedEOF(err)
}

// readLine consumes a line and returns it without its end. It consumes nothing if the
// line is not complete.
func (c *chunkedBody) readLine() ([]byte, error) {
	for {
		b, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.IndexByte(b, '\n'); end >= 0 {
			_, _ = c.reader.Discard(end + 1) // is buffered
			line, found := bytes.CutSuffix(b[:end], []byte("\r"))
			if !found {
				return nil, errMalformedChunk
			}
			return line, nil
		}
		if _, err := c.reader.Peek(len(b) + 1); err != nil {
			return nil, unexpectedEOF(err)
		}
	}
}

// acceptLine handles a line of the framing.
func (c *chunkedBody) acceptLine(line []byte) error {
	switch c.expect {
	case chunkEnd:
		if len(line) > 0 {
			return errMalformedChunk
		}
		c.expect = chunkSize
		return nil
	case chunkTrailer:
		if c.trailer += len(line); c.trailer > maxFramingBytes {
			return errMalformedChunk
		}
		switch {
		case len(line) == 0:
			c.expect = bodyEnd
		case !answerhead.IsField(line):
			// Data after a garbled chunk size must not count as a trailer.
			return errMalformedChunk
		}
		return nil
	}
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 63)
	if err != nil {
		return errMalformedChunk
	}
	// As in net/http, 16 bytes for each chunk and twice its data do not count.
	c.framing = max(0, c.framing+int64(len(line))+2-16-2*int64(min(size, maxFramingBytes)))
	if c.framing > maxFramingBytes {
		return errMalformedChunk
	}
	c.left, c.expect = size, chunkData
	if size == 0 {
		c.expect = chunkTrailer
	}
	return nil
}

// unexpectedEOF replaces the end of the connection within a body.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
