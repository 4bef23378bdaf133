// Package jsonframe reads and writes the frames of the JSON-RPC connections between
// instances. A frame is a length in bytes, as a varint, and a JSON text of that
// length. In contrast to the codec of package jsonrpc2, it limits the size of frames.
package jsonframe

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
)

// ErrBadFrame means that a frame is malformed or larger than its limit.
var ErrBadFrame = errors.New("peer: bad frame")

// Codec is a jsonrpc2.ObjectCodec that limits the size of frames.
type Codec struct {
	MaxSentBytes int          // limit for frames to send
	MaxBytes     func() int64 // returns the limit for received frames
	OnMalformed  func()       // called for each bad frame, after which the connection is closed
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c Codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if len(data) > c.MaxSentBytes {
		return fmt.Errorf("%w: %d bytes to send", ErrBadFrame, len(data))
	}
	header := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen32), uint64(len(data)))
	if _, err := w.Write(header); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c Codec) ReadObject(r *bufio.Reader, v any) error {
	data, err := read(r, c.MaxBytes)
	if err == nil {
		err = json.Unmarshal(data, v)
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrBadFrame, err)
		}
	}
	if errors.Is(err, ErrBadFrame) {
		c.OnMalformed()
	}
	return err
}

// read reads one frame of at most maxBytes bytes. It calls maxBytes after it
// has read the length, because the limit can change while it waits for a frame.
// It allocates memory as data arrives, so that a peer can't reserve memory by
// announcing a large frame.
func read(r *bufio.Reader, maxBytes func() int64) ([]byte, error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetError(err) {
			err = fmt.Errorf("%w: %w", ErrBadFrame, err)
		}
		return nil, err
	}
	if limit := maxBytes(); n == 0 || n > uint64(limit) {
		return nil, fmt.Errorf("%w: %d bytes announced, limit %d", ErrBadFrame, n, limit)
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
