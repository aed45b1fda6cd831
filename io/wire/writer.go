package wire

import (
	"encoding/binary"
	"io"
)

const (
	// flushThresholdBytes is the number of bytes that are worth a write.
	flushThresholdBytes = 16 << 10
	// noHold is the value of Writer.holdStart while no output is held back.
	noHold = -1
)

// Message is a message that pgproto3 can encode.
type Message interface {
	Encode(dst []byte) ([]byte, error)
}

// WriteError is returned by Reader.Forward if the destination failed rather than the source.
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

// Send appends a message to the buffer. It returns an error if the message can't be encoded, which is a fault of the
// program.
func (w *Writer) Send(message Message) error {
	buffer, err := message.Encode(w.buffer)
	if err != nil {
		return err
	}

	w.buffer = buffer

	return nil
}

// SendRaw appends a message with the given kind and encoded body to the buffer.
func (w *Writer) SendRaw(kind byte, body []byte) {
	w.appendHeader(kind, len(body))
	w.buffer = append(w.buffer, body...)
}

// SendEncoded appends encoded messages to the buffer.
func (w *Writer) SendEncoded(encoded []byte) {
	w.buffer = append(w.buffer, encoded...)
}

// Offset returns the number of bytes that were appended so far, including those that were written.
func (w *Writer) Offset() int64 {
	return w.written + int64(len(w.buffer))
}

// PendingBytes returns the number of bytes in the buffer.
func (w *Writer) PendingBytes() int {
	return len(w.buffer)
}

// WrittenPast reports whether bytes after an offset have been written.
func (w *Writer) WrittenPast(offset int64) bool {
	return w.written > offset
}

// Rewind drops what was appended after an offset. If some of it has been written, it drops nothing and returns false.
func (w *Writer) Rewind(offset int64) bool {
	if w.WrittenPast(offset) {
		return false
	}

	w.buffer = w.buffer[:offset-w.written]
	w.holdStart = noHold

	return true
}

// HoldOutput holds back all bytes that are appended from now on until ReleaseOutput. A second call changes nothing.
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

// HoldsOutput reports whether output is being held back after a call of HoldOutput.
func (w *Writer) HoldsOutput() bool {
	return w.holdStart != noHold
}

// ReleaseOutput ends the effect of HoldOutput and keeps the bytes that were held back.
func (w *Writer) ReleaseOutput() {
	w.holdStart = noHold
}

// DropHeldOutput ends the effect of HoldOutput and drops the bytes that were held back.
func (w *Writer) DropHeldOutput() {
	if w.holdStart != noHold {
		w.buffer = w.buffer[:w.holdStart]
	}

	w.holdStart = noHold
}

// ShouldFlush reports whether the buffer holds enough bytes, besides those held back, to be worth a write.
func (w *Writer) ShouldFlush() bool {
	return w.writable() >= flushThresholdBytes
}

// Flush writes all bytes that are not held back.
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
