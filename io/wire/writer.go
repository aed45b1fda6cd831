package wire

import (
	"encoding/binary"
	"io"
)

const (
	// flushThresholdBytes is the amount of buffered bytes from which on a writer counts as full.
	flushThresholdBytes = 16 << 10
	// noHold is the value of Writer.hold while nothing is held back.
	noHold = -1
)

// Message is a message that pgproto3 can encode.
type Message interface {
	Encode(dst []byte) ([]byte, error)
}

// WriteError is returned by Reader.Forward when the destination failed, not the source.
type WriteError struct {
	cause error
}

// Error implements error.
func (e *WriteError) Error() string {
	return "write: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error {
	return e.cause
}

// Writer buffers messages until Flush. It is not safe for concurrent use.
type Writer struct {
	dst       io.Writer
	buffer    []byte
	written   int64
	holdStart int
}

// NewWriter returns a writer with an empty buffer.
func NewWriter(dst io.Writer) *Writer {
	return &Writer{dst: dst, holdStart: noHold}
}

// Send appends a message. A message that can't be encoded is a fault of the program and is reported.
func (w *Writer) Send(message Message) error {
	buffer, err := message.Encode(w.buffer)
	if err != nil {
		return err
	}

	w.buffer = buffer

	return nil
}

// SendRaw appends a message from its kind and body.
func (w *Writer) SendRaw(kind byte, body []byte) {
	w.appendHeader(kind, len(body))
	w.buffer = append(w.buffer, body...)
}

// SendEncoded appends encoded messages.
func (w *Writer) SendEncoded(encoded []byte) {
	w.buffer = append(w.buffer, encoded...)
}

// Offset returns the number of bytes appended so far.
func (w *Writer) Offset() int64 {
	return w.written + int64(len(w.buffer))
}

// PendingBytes returns the number of bytes that have not been written.
func (w *Writer) PendingBytes() int {
	return len(w.buffer)
}

// WrittenPast reports whether bytes after a position have left the buffer.
func (w *Writer) WrittenPast(position int64) bool {
	return w.written > position
}

// Rewind drops what was appended after a position. It reports false, and drops nothing, if some of it has been
// written.
func (w *Writer) Rewind(position int64) bool {
	if w.WrittenPast(position) {
		return false
	}

	w.buffer = w.buffer[:position-w.written]
	w.holdStart = noHold

	return true
}

// HoldOutput keeps everything appended from now on in the buffer until Release. A second call changes nothing.
func (w *Writer) HoldOutput() {
	if w.holdStart == noHold {
		w.holdStart = len(w.buffer)
	}
}

// HeldBytes returns the number of bytes that are held back.
func (w *Writer) HeldBytes() int {
	if w.holdStart == noHold {
		return 0
	}

	return len(w.buffer) - w.holdStart
}

// HoldsOutput reports whether Hold is in force.
func (w *Writer) HoldsOutput() bool {
	return w.holdStart != noHold
}

// ReleaseOutput ends Hold.
func (w *Writer) ReleaseOutput() {
	w.holdStart = noHold
}

// DropHeldOutput removes what is held back and ends Hold.
func (w *Writer) DropHeldOutput() {
	if w.holdStart != noHold {
		w.buffer = w.buffer[:w.holdStart]
	}

	w.holdStart = noHold
}

// ShouldFlush reports whether the bytes that may be written are enough for a write.
func (w *Writer) ShouldFlush() bool {
	return w.writable() >= flushThresholdBytes
}

// Flush writes everything that is not held back.
func (w *Writer) Flush() error {
	ready := w.writable()
	if ready == 0 {
		return nil
	}

	n, err := w.dst.Write(w.buffer[:ready])
	w.written += int64(n)

	rest := copy(w.buffer, w.buffer[n:])
	w.buffer = w.buffer[:rest]

	if w.holdStart != noHold {
		w.holdStart -= n
	}

	if cap(w.buffer) > maxKeptBytes && rest <= flushThresholdBytes {
		w.buffer = append(make([]byte, 0, flushThresholdBytes), w.buffer...)
	}

	return err
}

func (w *Writer) writable() int {
	if w.holdStart != noHold {
		return w.holdStart
	}

	return len(w.buffer)
}

func (w *Writer) appendHeader(kind byte, size int) {
	w.buffer = append(w.buffer, kind)
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, uint32(size+lengthBytes))
}
