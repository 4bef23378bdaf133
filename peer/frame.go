package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Frames are a length as varint and a JSON text of that length.
const (
	maxFrame      = 1 << 20
	maxHelloFrame = 4 << 10 // before authentication
)

var errFrame = errors.New("peer: bad frame")

// frameCodec is a jsonrpc2.ObjectCodec with bounded frames.
type frameCodec struct {
	limit     *atomic.Int64 // of incoming frames
	malformed func()
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxFrame {
		return fmt.Errorf("%w: %d bytes to send", errFrame, len(data))
	}
	header := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen32), uint64(len(data)))
	if _, err := w.Write(header); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) ReadObject(r *bufio.Reader, v any) error {
	data, err := readFrame(r, c.limit.Load)
	if err == nil {
		err = json.Unmarshal(data, v)
		if err != nil {
			err = fmt.Errorf("%w: %w", errFrame, err)
		}
	}
	if errors.Is(err, errFrame) {
		c.malformed()
	}
	return err
}

// readFrame reads one frame of at most limit bytes. The limit is asked for
// when a frame has begun, since it changes while the reader waits. Memory is
// allocated as data arrives, not as announced.
func readFrame(r *bufio.Reader, limit func() int64) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetError(err) {
			err = fmt.Errorf("%w: %w", errFrame, err)
		}
		return nil, err
	}
	if bound := limit(); n == 0 || n > uint64(bound) {
		return nil, fmt.Errorf("%w: %d bytes announced, limit %d", errFrame, n, bound)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && uint64(len(data)) < n {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, net.ErrClosed)
}

// deadlineConn sets a deadline before every read and write and counts bytes.
type deadlineConn struct {
	net.Conn
	idle, write time.Duration
	// until is the end of the hello, as Unix nanoseconds; 0 once authenticated.
	until          atomic.Int64
	sent, received *atomic.Int64
}

// Read implements io.Reader.
func (c *deadlineConn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(c.idle)
	if until := c.until.Load(); until != 0 {
		deadline = time.Unix(0, until)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
