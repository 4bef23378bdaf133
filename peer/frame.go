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

// A frame is a length in bytes, as a varint, and a JSON text of that length.
const (
	maxFrameBytes      = 1 << 20
	maxHelloFrameBytes = 4 << 10 // limit until the peer is authenticated
)

var errBadFrame = errors.New("peer: bad frame")

// frameCodec is a jsonrpc2.ObjectCodec that limits the size of frames.
type frameCodec struct {
	maxBytes    *atomic.Int64 // limit for received frames
	onMalformed func()
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c frameCodec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return fmt.Errorf("%w: %d bytes to send", errBadFrame, len(data))
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
	data, err := readFrame(r, c.maxBytes.Load)
	if err == nil {
		err = json.Unmarshal(data, v)
		if err != nil {
			err = fmt.Errorf("%w: %w", errBadFrame, err)
		}
	}
	if errors.Is(err, errBadFrame) {
		c.onMalformed()
	}
	return err
}

// readFrame reads one frame of at most maxBytes bytes. It calls maxBytes after it
// has read the length, because the limit can change while it waits for a frame.
// It allocates memory as data arrives, so that a peer can't reserve memory by
// announcing a large frame.
func readFrame(r *bufio.Reader, maxBytes func() int64) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetError(err) {
			err = fmt.Errorf("%w: %w", errBadFrame, err)
		}
		return nil, err
	}
	if limit := maxBytes(); n == 0 || n > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes announced, limit %d", errBadFrame, n, limit)
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

// deadlineConn sets a deadline before each read and write, and counts bytes.
type deadlineConn struct {
	net.Conn
	idleTimeout, writeTimeout time.Duration
	// helloDeadline is the read deadline until the peer is authenticated, in Unix
	// nanoseconds, and 0 afterwards.
	helloDeadline            atomic.Int64
	bytesSent, bytesReceived *atomic.Int64
}

// Read implements io.Reader.
func (c *deadlineConn) Read(p []byte) (int, error) {
	deadline := time.Now().Add(c.idleTimeout)
	if helloDeadline := c.helloDeadline.Load(); helloDeadline != 0 {
		deadline = time.Unix(0, helloDeadline)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.bytesReceived.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytesSent.Add(int64(n))
	return n, err
}
