package proxy

import (
	"bytes"
	"errors"
	"sync/atomic"
	"time"

	"almondgrade/core/result"
	"almondgrade/io/caller"
	"almondgrade/io/wire"
)

// forwardMode determines which message ends the caller's part of a request.
type forwardMode uint8

const (
	// forwardCopy ends with CopyDone or CopyFail, for COPY FROM STDIN in the simple protocol.
	forwardCopy forwardMode = iota
	// forwardBatch ends with Sync, for a batch of the extended protocol.
	forwardBatch
)

// forwarder sends the caller's messages to the server while the session's goroutine relays the answer.
type forwarder struct {
	exchange *exchange
	mode     forwardMode
	// copying is true if CopyInResponse started the forwarder. The server may end the COPY with an error while the
	// caller still sends.
	copying bool
	stopped atomic.Bool
	done    chan error
}

func (x *exchange) startForwarder(mode forwardMode) *forwarder {
	return &forwarder{exchange: x, mode: mode, done: make(chan error, 1)}
}

func (f *forwarder) start() {
	go func() {
		err := f.forwardUntilLast()
		if err != nil {
			// The server waits for the rest of the request, so its answer would not end.
			f.exchange.conn.Taint()
			_ = f.exchange.conn.SetDeadline(time.Unix(1, 0))
		}

		f.done <- err
	}()
}

// stop stops the forwarder after the end of the answer or the loss of the connection, and returns its error.
func (f *forwarder) stop(lost bool) error {
	if f.copying || lost {
		f.stopped.Store(true)

		if lost {
			_ = f.exchange.conn.SetDeadline(time.Unix(1, 0))
		}

		f.exchange.session.caller.Interrupt()
	}

	err := <-f.done

	f.exchange.session.caller.Resume()

	return err
}

func (f *forwarder) forwardUntilLast() error {
	if f.exchange.writeResult != nil {
		// The beginning of the batch has to be written first.
		err := <-f.exchange.writeResult
		f.exchange.writeResult <- err

		if err != nil {
			return err
		}
	}

	for {
		if f.exchange.session.caller.Buffered() == 0 {
			if err := f.exchange.conn.Flush(); err != nil {
				return err
			}
		}

		err := f.exchange.session.caller.AwaitMessage(time.Time{})

		switch {
		case f.stopped.Load():
			return nil
		case errors.Is(err, caller.ErrInterrupted):
			f.exchange.session.caller.Resume()

			if f.exchange.session.isEnded() {
				return errSessionEnded
			}

			continue
		case err != nil:
			return errCallerGone
		}

		last, err := f.forwardNext()
		if err != nil {
			return err
		}

		if last {
			return f.exchange.conn.Flush()
		}

		if f.exchange.conn.ShouldFlush() {
			if err := f.exchange.conn.Flush(); err != nil {
				return err
			}
		}
	}
}

// forwardNext forwards one message and reports whether it is the last one.
func (f *forwarder) forwardNext() (bool, error) {
	from := f.exchange.session.caller

	kind, _, err := from.ReadHeader()
	if err != nil {
		return false, &sessionError{caller.ProtocolError(err)}
	}

	switch kind {
	case 'd':
		return false, f.forwardMessage()
	case 'c', 'f':
		return f.mode == forwardCopy, f.forwardMessage()
	case 'X':
		return false, errCallerGone
	}

	if f.mode == forwardCopy {
		if kind == 'H' || kind == 'S' {
			return false, from.SkipBody()
		}

		return false, &sessionError{result.New(result.Protocol, "message %q arrived during COPY", kind)}
	}

	body, err := from.ReadBody()
	if err != nil {
		return false, &sessionError{caller.ProtocolError(err)}
	}

	switch kind {
	case 'P', 'B', 'D', 'E', 'C', 'H', 'S':
		if kind == 'P' && f.exchange.session.isLocalParse(body) {
			return false, &sessionError{result.New(result.NotSupported,
				"a statement that the proxy answers can't be part of a batch with other statements")}
		}

		if err := f.exchange.plan.addMessage(batchMessage{kind: kind, body: bytes.Clone(body)}); err != nil {
			return false, &sessionError{err}
		}

		f.exchange.request.batch.synced = kind == 'S'

		return kind == 'S', nil
	}

	return false, &sessionError{result.New(result.Protocol, "message %q arrived within a batch", kind)}
}

// forwardMessage forwards a message of any size.
func (f *forwarder) forwardMessage() error {
	err := f.exchange.session.caller.Forward(f.exchange.conn.Writer)

	var write *wire.WriteError
	if err != nil && !errors.As(err, &write) {
		return errCallerGone
	}

	return err
}

// sessionError is an error after which the session can't continue.
type sessionError struct {
	cause error
}

// Error implements error.
func (e *sessionError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *sessionError) Unwrap() error {
	return e.cause
}
