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

	"github.com/hyssophaven/hyssophaven/heldbytes"
	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// ErrBadFrame means that a frame is malformed or larger than its limit.
var ErrBadFrame = errors.New("peer: bad frame")

// Codec is a jsonrpc2.ObjectCodec that limits the size of frames.
type Codec struct {
	MaxSentBytes int          // limit for frames to send
	MaxBytes     func() int64 // returns the limit for received frames
	OnMalformed  func()       // called for each bad frame, after which the connection is closed
	OnReceived   func()       // called for each valid frame, unless nil
	// Memory reserves the bytes of the frame that is being received, unless it is nil.
	Memory *memorybudget.Reservation
}

// initialBytes limits the buffer of a frame before its bytes have arrived.
const initialBytes = 512

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
	defer c.Memory.Release()
	data, err := read(r, c.MaxBytes, c.Memory)
	if err == nil {
		err = json.Unmarshal(data, v)
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrBadFrame, err)
		}
	}
	switch {
	case errors.Is(err, ErrBadFrame):
		c.OnMalformed()
	case err == nil && c.OnReceived != nil:
		c.OnReceived()
	}
	return err
}

// read reads one frame of at most maxBytes bytes. It calls maxBytes after it
// has read the length, because the limit can change while it waits for a frame.
// It allocates memory as data arrives, so that a peer can't reserve memory by
// announcing a large frame.
func read(r *bufio.Reader, maxBytes func() int64, memory *memorybudget.Reservation) ([]byte, error) {
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
	data, err := heldbytes.ReadAll(r, min(int64(n), initialBytes), int64(n), memory, memorybudget.Other)
	if err == nil && uint64(len(data)) < n {
		err = io.ErrUnexpectedEOF
	}
	return data, err
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n) || errors.Is(err, net.ErrClosed)
}
