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

// forwardMode says which messages end the caller's part of a request.
type forwardMode uint8

const (
	// forwardCopy ends with CopyDone or CopyFail: COPY FROM STDIN of the simple protocol.
	forwardCopy forwardMode = iota
	// forwardBatch ends with Sync.
	forwardBatch
)

// forwarder passes the caller's messages on while the session's goroutine relays the answer.
type forwarder struct {
	x    *exchange
	mode forwardMode
	// copying is true if the forwarder was started by CopyInResponse. The server may end the COPY by an error
	// while the caller still sends.
	copying bool
	over    atomic.Bool
	done    chan error
}

func (x *exchange) startForwarder(mode forwardMode) *forwarder {
	return &forwarder{x: x, mode: mode, done: make(chan error, 1)}
}

func (f *forwarder) start() {
	go func() {
		err := f.forward()
		if err != nil {
			// The answer will not end by itself.
			f.x.conn.Taint()
			_ = f.x.conn.SetDeadline(time.Unix(1, 0))
		}

		f.done <- err
	}()
}

// stop ends the forwarder after the answer ended, or after the connection was lost.
func (f *forwarder) stop(lost bool) error {
	if f.copying || lost {
		f.over.Store(true)

		if lost {
			_ = f.x.conn.SetDeadline(time.Unix(1, 0))
		}

		f.x.s.caller.Interrupt()
	}

	err := <-f.done

	f.x.s.caller.Resume()

	return err
}

func (f *forwarder) forward() error {
	if f.x.written != nil {
		// The beginning of the batch goes first.
		err := <-f.x.written
		f.x.written <- err

		if err != nil {
			return err
		}
	}

	for {
		if f.x.s.caller.Buffered() == 0 {
			if err := f.x.conn.Flush(); err != nil {
				return err
			}
		}

		err := f.x.s.caller.AwaitMessage(time.Time{})

		switch {
		case f.over.Load():
			return nil
		case errors.Is(err, caller.ErrInterrupted):
			f.x.s.caller.Resume()

			if f.x.s.isEnded() {
				return errEnded
			}

			continue
		case err != nil:
			return errGone
		}

		last, err := f.one()
		if err != nil {
			return err
		}

		if last {
			return f.x.conn.Flush()
		}

		if f.x.conn.ShouldFlush() {
			if err := f.x.conn.Flush(); err != nil {
				return err
			}
		}
	}
}

// one passes one message on and reports whether it is the last one.
func (f *forwarder) one() (bool, error) {
	from := f.x.s.caller

	kind, _, err := from.ReadHeader()
	if err != nil {
		return false, &sessionError{caller.ProtocolError(err)}
	}

	switch kind {
	case 'd':
		return false, f.pass()
	case 'c', 'f':
		return f.mode == forwardCopy, f.pass()
	case 'X':
		return false, errGone
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
		if kind == 'P' && f.x.s.localText(body) {
			return false, &sessionError{result.New(result.NotSupported,
				"a statement that the proxy answers can't be part of a batch with other statements")}
		}

		if err := f.x.plan.add(item{kind: kind, body: bytes.Clone(body)}); err != nil {
			return false, &sessionError{err}
		}

		f.x.r.batch.synced = kind == 'S'

		return kind == 'S', nil
	}

	return false, &sessionError{result.New(result.Protocol, "message %q arrived within a batch", kind)}
}

// pass forwards a message of any size.
func (f *forwarder) pass() error {
	err := f.x.s.caller.Forward(f.x.conn.Writer)

	var write *wire.WriteError
	if err != nil && !errors.As(err, &write) {
		return errGone
	}

	return err
}

// sessionError is an error after which the session can't go on.
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
