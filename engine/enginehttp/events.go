package enginehttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// eventBufferBytes is the size of the read buffer of each open stream. Events are
// about 100 bytes; lines longer than the buffer are assembled from several reads.
const eventBufferBytes = 1 << 10

// eventReader reads server-sent events of at most maxEventBytes. It supports the
// fields "event" and "data" and lines that end in LF or CRLF.
//
// It is used instead of go-sse's reader, which is based on callbacks and so needs
// a coroutine per stream. In BenchmarkReadEvents an event takes 0.41 to 0.57 µs
// with go-sse and 0.05 to 0.07 µs with this reader. An idle stream takes 16 KB
// with go-sse and 11 KB with this reader, out of the limit of 32 KB for a whole
// relayed stream.
type eventReader struct {
	r    *bufio.Reader
	name []byte
	data []byte
	size int // bytes of the current event
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the name and data of the next event. data is valid until the
// following call. At the end of the body, next returns io.EOF and drops an event
// that has no blank line after it.
func (e *eventReader) next() (name string, data []byte, err error) {
	e.name, e.data, e.size = e.name[:0], e.data[:0], 0
	found, hasData := false, false
	for {
		line, err := e.readLine()
		if err != nil {
			return "", nil, err
		}
		if len(line) == 0 {
			if found {
				return string(e.name), e.data, nil
			}
			e.size = 0
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			found, hasData = true, true
		case "event":
			e.name = append(e.name[:0], value...)
			found = true
		}
	}
}

// buffered reports whether next would return an event without reading from the
// body. It returns false for a comment and for an event longer than the buffer.
func (e *eventReader) buffered() bool {
	rest, _ := e.r.Peek(e.r.Buffered())
	found := false
	for {
		line, after, complete := bytes.Cut(rest, []byte("\n"))
		if !complete {
			return false
		}
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 && found {
			return true
		}
		switch field, _, _ := bytes.Cut(line, []byte(":")); string(field) {
		case "data", "event":
			found = true
		}
		rest = after
	}
}

var errEventTooLong = fmt.Errorf("event is longer than %d bytes", maxEventBytes)

// readLine returns the next line without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if e.size += len(line); e.size > maxEventBytes {
		return nil, errEventTooLong
	}
	if err == nil {
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.r.ReadSlice('\n')
		if e.size += len(line); e.size > maxEventBytes {
			return nil, errEventTooLong
		}
		long = append(long, line...)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(long[:len(long)-1], []byte("\r")), nil
}
