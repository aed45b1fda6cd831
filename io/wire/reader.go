package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// headerBytes is the size of a message's header: kind and length.
	headerBytes = 5
	// lengthBytes is the size of the length field, which counts itself.
	lengthBytes = 4
	// readBufferBytes is the size of a connection's read buffer. PostgreSQL sends in pieces of 8 KiB.
	readBufferBytes = 8 << 10
	// maxKeptBytes bounds the buffer that a reader or writer keeps between messages.
	maxKeptBytes = 64 << 10
	// maxGrowthBytes bounds the memory that is allocated for a body before its bytes have arrived. With a false length,
	// a sender can't make the receiver allocate much more than it sends.
	maxGrowthBytes = 1 << 20
)

// ErrLength is returned for an invalid length field.
var ErrLength = errors.New("invalid message length")

// SizeError is returned for a message whose body is longer than the limit.
type SizeError struct {
	Kind  byte
	Size  int
	Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message %q of %d bytes is longer than the limit of %d bytes", e.Kind, e.Size, e.Limit)
}

// Reader reads messages. It is not safe for concurrent use.
type Reader struct {
	src         *bufio.Reader
	limit       int
	kind        byte
	pendingBody int
	body        []byte
}

// NewReader returns a reader that refuses bodies longer than limit bytes. Zero means no limit.
func NewReader(src io.Reader, limit int) *Reader {
	return &Reader{src: bufio.NewReaderSize(src, readBufferBytes), limit: limit}
}

// SetLimit changes the limit for the length of a body in bytes.
func (r *Reader) SetLimit(limit int) {
	r.limit = limit
}

// Buffered returns the number of bytes in the read buffer.
func (r *Reader) Buffered() int {
	return r.src.Buffered()
}

// WaitForHeader waits until the header of the next message has arrived. It consumes nothing and may be called again
// after the connection's deadline has passed.
func (r *Reader) WaitForHeader() error {
	_, err := r.src.Peek(headerBytes)
	if errors.Is(err, io.EOF) && r.src.Buffered() > 0 {
		return io.ErrUnexpectedEOF
	}

	return err
}

// PeekKind returns the kind of the next message without consuming it.
func (r *Reader) PeekKind() (byte, error) {
	head, err := r.src.Peek(1)
	if err != nil {
		return 0, err
	}

	return head[0], nil
}

// ReadHeader reads the header of the next message and returns the message's kind and the size of its body. The body of
// the previous message must have been read, forwarded or skipped.
func (r *Reader) ReadHeader() (byte, int, error) {
	if err := r.WaitForHeader(); err != nil {
		return 0, 0, err
	}

	head, err := r.src.Peek(headerBytes)
	if err != nil {
		return 0, 0, err
	}

	kind := head[0]
	length := int(int32(binary.BigEndian.Uint32(head[1:])))

	if length < lengthBytes {
		return kind, 0, fmt.Errorf("%w: %d in message %q", ErrLength, length, kind)
	}

	size := length - lengthBytes
	if r.limit > 0 && size > r.limit {
		return kind, size, &SizeError{Kind: kind, Size: size, Limit: r.limit}
	}

	_, _ = r.src.Discard(headerBytes)
	r.kind, r.pendingBody = kind, size

	return kind, size, nil
}

// ReadBody reads the body of the message whose header was read last. The result is valid until the next call of
// ReadBody.
func (r *Reader) ReadBody() ([]byte, error) {
	size := r.pendingBody
	r.pendingBody = 0

	if cap(r.body) > maxKeptBytes {
		r.body = nil
	}

	if size <= cap(r.body) {
		r.body = r.body[:size]
		_, err := io.ReadFull(r.src, r.body)

		return r.body, unexpectedEOF(err)
	}

	r.body = r.body[:0]

	for len(r.body) < size {
		step := min(size-len(r.body), maxGrowthBytes)
		start := len(r.body)
		r.body = append(r.body, make([]byte, step)...)

		if _, err := io.ReadFull(r.src, r.body[start:]); err != nil {
			return nil, unexpectedEOF(err)
		}
	}

	return r.body, nil
}

// Forward copies the message whose header was read last to a writer, in pieces no larger than the read buffer. It
// flushes the writer whenever Writer.ShouldFlush is true.
func (r *Reader) Forward(to *Writer) error {
	size := r.pendingBody
	r.pendingBody = 0

	to.appendHeader(r.kind, size)

	for size > 0 {
		piece, err := r.src.Peek(min(size, max(r.src.Buffered(), 1)))
		if err != nil {
			return unexpectedEOF(err)
		}

		to.buffer = append(to.buffer, piece...)
		size -= len(piece)
		_, _ = r.src.Discard(len(piece))

		if to.ShouldFlush() {
			if err := to.Flush(); err != nil {
				return &WriteError{cause: err}
			}
		}
	}

	return nil
}

// SkipBody discards the body of the message whose header was read last.
func (r *Reader) SkipBody() error {
	size := r.pendingBody
	r.pendingBody = 0
	_, err := r.src.Discard(size)

	return unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}
