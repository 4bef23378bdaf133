// Package heldbytes reads messages into memory that package memorybudget reserves piece by
// piece, as the bytes arrive. A length that the sender announces reserves nothing beyond the
// first piece.
package heldbytes

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hyssophaven/hyssophaven/memorybudget"
)

// ErrNoRoom means that a reservation found no room. What was read before it is returned.
var ErrNoRoom = errors.New("no room in the memory budget")

const (
	// wholeBytes is the announced length up to which a body is read into one piece, so that
	// the usual body needs one allocation.
	wholeBytes = 64 << 10
	// minPieceBytes and maxPieceBytes limit the pieces after the first one. A piece has at
	// most as many bytes as have arrived.
	minPieceBytes = 16 << 10
	maxPieceBytes = 256 << 10
)

// freePieces holds pieces of maxPieceBytes of bodies that were not read to their end. Clients
// that send many of them would otherwise leave more garbage than is collected in time.
var freePieces = sync.Pool{New: func() any { return new([maxPieceBytes]byte) }}

// ReadPieces reads a body of a request to its end. The announced length is -1 if unknown.
// After an error it returns no pieces.
func ReadPieces(r io.Reader, length int64, m *memorybudget.Reservation) (first []byte, rest [][]byte, err error) {
	first, rest, err = readPieces(r, length, m)
	if err == nil {
		return first, rest, nil
	}
	for _, piece := range rest {
		if cap(piece) == maxPieceBytes {
			freePieces.Put((*[maxPieceBytes]byte)(piece[:maxPieceBytes]))
		}
	}
	return nil, nil, err
}

func readPieces(r io.Reader, length int64, m *memorybudget.Reservation) (first []byte, rest [][]byte, err error) {
	size := int64(memorybudget.BufferBytes)
	if length >= 0 && length <= wholeBytes {
		size = length
	}
	if more := size - memorybudget.BufferBytes; more > 0 && !m.Grow(time.Now(), more, memorybudget.Body) {
		return nil, nil, ErrNoRoom
	}
	first, ended, err := readPiece(r, size)
	for total := int64(len(first)); !ended && err == nil && (length < 0 || total < length); {
		size = min(max(total, minPieceBytes), maxPieceBytes)
		if length >= 0 {
			size = min(size, length-total)
		}
		if !m.Grow(time.Now(), size, memorybudget.Body) {
			return first, rest, ErrNoRoom
		}
		var piece []byte
		piece, ended, err = readPiece(r, size)
		rest, total = append(rest, piece), total+int64(len(piece))
	}
	return first, rest, err
}

// readPiece reads until size bytes have arrived or the body has ended.
func readPiece(r io.Reader, size int64) (piece []byte, ended bool, err error) {
	if size == maxPieceBytes {
		piece = freePieces.Get().(*[maxPieceBytes]byte)[:0]
	} else {
		piece = make([]byte, 0, size)
	}
	for len(piece) < cap(piece) {
		n, err := r.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err == io.EOF {
			return piece, true, nil
		}
		if err != nil {
			return piece, false, err
		}
	}
	return piece, false, nil
}

// ReadAll reads r to its end, or up to limit bytes, into one buffer of at first initial
// bytes.
func ReadAll(r io.Reader, initial, limit int64, m *memorybudget.Reservation, p memorybudget.Purpose) ([]byte, error) {
	reserved := max(initial-memorybudget.BufferBytes, 0)
	if reserved > 0 && !m.Grow(time.Now(), reserved, p) {
		initial, reserved = memorybudget.BufferBytes, 0
	}
	buffer := make([]byte, 0, min(initial, limit))
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case err == io.EOF || err == nil && int64(len(buffer)) == limit:
			return buffer, nil
		case err != nil:
			return buffer, err
		case len(buffer) < cap(buffer):
			continue
		}
		size := min(2*int64(cap(buffer)), limit)
		if size > memorybudget.BufferBytes && !m.Grow(time.Now(), size, p) {
			return buffer, ErrNoRoom
		}
		buffer = append(make([]byte, 0, size), buffer...)
		m.Return(reserved)
		if reserved = size; size <= memorybudget.BufferBytes {
			reserved = 0
		}
	}
}
