package wire

import (
	"encoding/binary"
	"io"
)

const (
	// flushBytes is the amount of buffered bytes from which on a writer counts as full.
	flushBytes = 16 << 10
	// unheld is the value of Writer.hold while nothing is held back.
	unheld = -1
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
	dst     io.Writer
	buffer  []byte
	written int64
	hold    int
}

// NewWriter returns a writer with an empty buffer.
func NewWriter(dst io.Writer) *Writer {
	return &Writer{dst: dst, hold: unheld}
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

// Raw appends a message from its kind and body.
func (w *Writer) Raw(kind byte, body []byte) {
	w.header(kind, len(body))
	w.buffer = append(w.buffer, body...)
}

// Bytes appends encoded messages.
func (w *Writer) Bytes(encoded []byte) {
	w.buffer = append(w.buffer, encoded...)
}

// Position returns the number of bytes appended so far.
func (w *Writer) Position() int64 {
	return w.written + int64(len(w.buffer))
}

// Pending returns the number of bytes that have not been written.
func (w *Writer) Pending() int {
	return len(w.buffer)
}

// Written reports whether bytes after a position have left the buffer.
func (w *Writer) Written(position int64) bool {
	return w.written > position
}

// Rewind drops what was appended after a position. It reports false, and drops nothing, if some of it has been
// written.
func (w *Writer) Rewind(position int64) bool {
	if w.Written(position) {
		return false
	}

	w.buffer = w.buffer[:position-w.written]
	w.hold = unheld

	return true
}

// Hold keeps everything appended from now on in the buffer until Release. A second call changes nothing.
func (w *Writer) Hold() {
	if w.hold == unheld {
		w.hold = len(w.buffer)
	}
}

// Held returns the number of bytes that are held back.
func (w *Writer) Held() int {
	if w.hold == unheld {
		return 0
	}

	return len(w.buffer) - w.hold
}

// Holding reports whether Hold is in force.
func (w *Writer) Holding() bool {
	return w.hold != unheld
}

// Release ends Hold.
func (w *Writer) Release() {
	w.hold = unheld
}

// Drop removes what is held back and ends Hold.
func (w *Writer) Drop() {
	if w.hold != unheld {
		w.buffer = w.buffer[:w.hold]
	}

	w.hold = unheld
}

// Full reports whether the bytes that may be written are enough for a write.
func (w *Writer) Full() bool {
	return w.ready() >= flushBytes
}

// Flush writes everything that is not held back.
func (w *Writer) Flush() error {
	ready := w.ready()
	if ready == 0 {
		return nil
	}

	n, err := w.dst.Write(w.buffer[:ready])
	w.written += int64(n)

	rest := copy(w.buffer, w.buffer[n:])
	w.buffer = w.buffer[:rest]

	if w.hold != unheld {
		w.hold -= n
	}

	if cap(w.buffer) > keepBytes && rest <= flushBytes {
		w.buffer = append(make([]byte, 0, flushBytes), w.buffer...)
	}

	return err
}

func (w *Writer) ready() int {
	if w.hold != unheld {
		return w.hold
	}

	return len(w.buffer)
}

func (w *Writer) header(kind byte, size int) {
	w.buffer = append(w.buffer, kind)
	w.buffer = binary.BigEndian.AppendUint32(w.buffer, uint32(size+lengthBytes))
}
