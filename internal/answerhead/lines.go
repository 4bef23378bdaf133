package answerhead

import (
	"bytes"
	"errors"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedLine means that the head or the trailer of an answer has a line that is no field.
var ErrMalformedLine = errors.New("head or trailer of the answer has a malformed line")

// maxKeptBytes is the number of bytes of a line that a LineChecker keeps. A status, a field
// Transfer-Encoding and the size of a chunk are shorter.
const maxKeptBytes = 64

// LineChecker checks the lines of an answer's head as its bytes arrive, and those of its trailer
// if the body is in chunks. A line is a field only if its name is a token, a colon follows the
// name at once, and CRLF ends the line. Package net/http also accepts blanks in and after a name,
// lines that continue the one before, and LF as the end of a line. If such a line was meant to
// state the length of the body, net/http finds another end of the body.
//
// It leaves all else to the reader of the answer. The zero value expects a head.
type LineChecker struct {
	part      linePart
	line      [maxKeptBytes]byte // beginning of the line
	kept      int                // bytes in line
	endsInCR  bool               // the last byte of the line is CR
	isNamed   bool               // the line has a name and a colon
	isInterim bool               // another head follows the head
	isChunked bool               // the body is in chunks
	left      uint64             // bytes left of the data of a chunk
}

// linePart is the part of an answer that a line belongs to.
type linePart uint8

const (
	statusLine linePart = iota
	headLine
	chunkSizeLine
	chunkData
	chunkEndLine
	trailerLine
	unchecked
)

// Check checks the next bytes. It returns how many of them come before the first malformed line
// is found, and ErrMalformedLine if there is one.
func (c *LineChecker) Check(b []byte) (int, error) {
	for i := 0; i < len(b); i++ {
		switch c.part {
		case unchecked:
			return len(b), nil
		case chunkData:
			n := min(c.left, uint64(len(b)-i))
			i += int(n) - 1
			if c.left -= n; c.left == 0 {
				c.part = chunkEndLine
			}
			continue
		}
		if !c.acceptByte(b[i]) {
			return i, ErrMalformedLine
		}
	}
	return len(b), nil
}

// acceptByte reports whether a line can go on with x.
func (c *LineChecker) acceptByte(x byte) bool {
	if x == '\n' {
		return c.endLine()
	}
	if c.isField() && !c.isNamed && !c.acceptNameByte(x) {
		return false
	}
	if c.kept < maxKeptBytes {
		c.line[c.kept] = x
		c.kept++
	}
	c.endsInCR = x == '\r'
	return true
}

// isField reports whether the line must be a field if it is not empty.
func (c *LineChecker) isField() bool { return c.part == headLine || c.part == trailerLine }

// acceptNameByte reports whether the name of a field, or the empty line instead of one, can go
// on with x.
func (c *LineChecker) acceptNameByte(x byte) bool {
	switch {
	case c.endsInCR:
		return false
	case c.kept == 0:
		return x == '\r' || httpguts.IsTokenRune(rune(x))
	case x == ':':
		c.isNamed = true
		return true
	default:
		return httpguts.IsTokenRune(rune(x))
	}
}

// endLine reports whether the line can end here, and begins the next one.
func (c *LineChecker) endLine() bool {
	line := bytes.TrimSuffix(c.line[:c.kept], []byte("\r"))
	if !c.endsInCR || c.isField() && !c.isNamed && len(line) > 0 {
		return false
	}
	switch c.part {
	case statusLine:
		c.isInterim, c.isChunked, c.part = isInterim(line), false, headLine
	case headLine:
		c.isChunked = c.isChunked || isChunkedEncoding(line)
		if len(line) == 0 {
			c.part = c.afterHead()
		}
	case chunkSizeLine:
		c.part = c.afterChunkSize(line)
	case chunkEndLine:
		c.part = chunkSizeLine
	case trailerLine:
		if len(line) == 0 {
			c.part = unchecked
		}
	}
	c.kept, c.endsInCR, c.isNamed = 0, false, false
	return true
}

func (c *LineChecker) afterHead() linePart {
	switch {
	case c.isInterim:
		return statusLine
	case c.isChunked:
		return chunkSizeLine
	default:
		return unchecked
	}
}

func (c *LineChecker) afterChunkSize(line []byte) linePart {
	text, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(text, " \t")), 16, 63)
	switch {
	case err != nil:
		return unchecked // the reader of the body rejects it
	case size == 0:
		return trailerLine
	default:
		c.left = size
		return chunkData
	}
}

// isInterim reports whether a status line is that of an answer which another one follows.
func isInterim(line []byte) bool {
	_, status, _ := bytes.Cut(line, []byte(" "))
	status = bytes.TrimLeft(status, " ")
	const switchingProtocols = "101" // has no other head after it
	return bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte(switchingProtocols))
}

func isChunkedEncoding(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte("Transfer-Encoding")) && bytes.EqualFold(bytes.Trim(value, " \t"), []byte("chunked"))
}

// IsField reports whether a line without its end is a field.
func IsField(line []byte) bool {
	name, _, found := bytes.Cut(line, []byte(":"))
	return found && httpguts.ValidHeaderFieldName(string(name))
}
