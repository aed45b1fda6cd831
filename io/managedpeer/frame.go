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
	// lengthBytes and callIDBytes are the sizes of the fields before the content of a frame.
	lengthBytes = 4
	callIDBytes = 8
	// maxFrameBytes bounds a frame. A statement, or its rows, take up to 1 MiB.
	maxFrameBytes = 2 << 20
	// readBufferBytes is the size of a connection's read buffer. A statement takes a few hundred bytes.
	readBufferBytes = 2 << 10
	// writeTimeout bounds the sending of a frame. A peer that accepts no data for so long has ended or is frozen.
	writeTimeout = time.Second
)

const (
	// stopCallID marks a frame of a server that takes no more calls on the connection; its content is a stopNotice. Calls
	// never have this ID, so that clients of former builds ignore the frame.
	stopCallID uint64 = 0
	// knowsStop is set in the call IDs of a client that understands stopNotice. Servers of former builds return IDs unchanged.
	knowsStop uint64 = 1 << 63
)

// decodeMode accepts what callers and servers may send: the line protocol does not restrict the bytes of a text, nor the number of
// rows, for which the size of the frame is the limit.
//
//nolint:gochecknoglobals // The options are constant.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: maxFrameBytes, MaxMapPairs: maxFrameBytes,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// stopNotice says which calls the server has accepted.
type stopNotice struct {
	// LastCall is the highest ID of an accepted call, or zero. IDs rise in the order in which the requests are sent, so that
	// the server has not run, and won't run, those with a higher ID.
	LastCall uint64 `cbor:"1,keyasint"`
}

// framedConn sends and receives the frames of one side of a connection. Method send is safe for concurrent use; only
// one goroutine may call receive.
type framedConn struct {
	conn   net.Conn
	reader *bufio.Reader
	mutex  sync.Mutex
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// send sends a message as one frame; nil stands for a frame without content.
func (w *framedConn) send(callID uint64, message any) error {
	frame, err := newFrame(message)
	if err != nil {
		return err
	}

	return w.sendFrame(callID, frame)
}

// sendFrame sends a frame.
func (w *framedConn) sendFrame(callID uint64, frame []byte) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()

	return w.write(callID, frame)
}

// emptyFrame returns a frame without content and without the ID of its call.
func emptyFrame() []byte {
	frame := make([]byte, lengthBytes+callIDBytes)
	binary.BigEndian.PutUint32(frame, callIDBytes)

	return frame
}

// newFrame returns a frame without the ID of its call.
func newFrame(message any) ([]byte, error) {
	frame := emptyFrame()

	if message != nil {
		content, err := cbor.Marshal(message)
		if err != nil {
			return nil, eris.Wrap(err, "encode message")
		}

		frame = append(frame, content...)
	}

	if len(frame) > maxFrameBytes {
		return nil, eris.Errorf("the message takes %d bytes, more than %d", len(frame), maxFrameBytes)
	}

	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))

	return frame, nil
}

// write sends a frame. After a failure it closes the connection, because the frame may have been sent in part, and the other
// side would read the next one as the rest of it. The mutex is held.
func (w *framedConn) write(callID uint64, frame []byte) error {
	binary.BigEndian.PutUint64(frame[lengthBytes:], callID)

	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return eris.Wrap(err, "set write deadline")
	}

	if _, err := w.conn.Write(frame); err != nil {
		_ = w.conn.Close() // The error of the write says more.

		return eris.Wrap(err, "send frame")
	}

	return nil
}

// receive returns the next frame.
func (w *framedConn) receive() (callID uint64, content []byte, err error) {
	var header [lengthBytes + callIDBytes]byte

	if _, err := io.ReadFull(w.reader, header[:]); err != nil {
		return 0, nil, eris.Wrap(err, "receive frame")
	}

	length := binary.BigEndian.Uint32(header[:])
	if length < callIDBytes || length > maxFrameBytes {
		return 0, nil, eris.Errorf("a frame has the length %d; want %d to %d", length, callIDBytes, maxFrameBytes)
	}

	content = make([]byte, length-callIDBytes)
	if _, err := io.ReadFull(w.reader, content); err != nil {
		return 0, nil, eris.Wrap(err, "receive frame")
	}

	return binary.BigEndian.Uint64(header[lengthBytes:]), content, nil
}
