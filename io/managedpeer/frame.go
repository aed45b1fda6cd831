package managedpeer

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

const (
	// lengthSize and numberSize are the sizes in bytes of the fields before the content of a frame.
	lengthSize = 4
	numberSize = 8
	// frameLimit bounds a frame in bytes. A statement, or its rows, take up to 1 MiB.
	frameLimit = 2 << 20
	// bufferSize is the size in bytes of a connection's read buffer. A statement takes a few hundred.
	bufferSize = 2 << 10
	// writeTimeout bounds the sending of a frame. A peer that takes nothing for so long is gone or frozen.
	writeTimeout = time.Second
)

// wire is one side of a connection. Send is safe for concurrent use; receive belongs to one goroutine.
type wire struct {
	conn   net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
}

func newWire(conn net.Conn) *wire {
	return &wire{conn: conn, reader: bufio.NewReaderSize(conn, bufferSize)}
}

// send sends a message as one frame; nil stands for a frame without content.
func (w *wire) send(number uint64, message any) error {
	frame := make([]byte, lengthSize+numberSize)
	binary.BigEndian.PutUint64(frame[lengthSize:], number)

	if message != nil {
		content, err := cbor.Marshal(message)
		if err != nil {
			return eris.Wrap(err, "encode message")
		}

		frame = append(frame, content...)
	}

	if len(frame) > frameLimit {
		return eris.Errorf("the message takes %d bytes, more than %d", len(frame), frameLimit)
	}

	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthSize))

	w.mutex.Lock()
	defer w.mutex.Unlock()

	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}

	_, err := w.conn.Write(frame)

	return eris.Wrap(err, "send frame")
}

// receive returns the next frame.
func (w *wire) receive() (number uint64, content []byte, err error) {
	var header [lengthSize + numberSize]byte

	if _, err := io.ReadFull(w.reader, header[:]); err != nil {
		return 0, nil, eris.Wrap(err, "receive frame")
	}

	length := binary.BigEndian.Uint32(header[:])
	if length < numberSize || length > frameLimit {
		return 0, nil, eris.Errorf("a frame has the length %d; want %d to %d", length, numberSize, frameLimit)
	}

	content = make([]byte, length-numberSize)
	if _, err := io.ReadFull(w.reader, content); err != nil {
		return 0, nil, eris.Wrap(err, "receive frame")
	}

	return binary.BigEndian.Uint64(header[lengthSize:]), content, nil
}
