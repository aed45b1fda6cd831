package backlog

import (
	"errors"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Accept returns the next connection that waits in the queue of a TCP listener. It returns false if there is none, or if the
// listener is closed or of another kind.
func Accept(listener net.Listener) (conn net.Conn, queued bool) {
	tcp, isTCP := listener.(*net.TCPListener)
	if !isTCP {
		return nil, false
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, false
	}

	descriptor := -1

	err = raw.Control(func(listening uintptr) {
		for descriptor < 0 {
			var acceptErr error

			descriptor, _, acceptErr = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if acceptErr != nil && !errors.Is(acceptErr, unix.EINTR) && !errors.Is(acceptErr, unix.ECONNABORTED) {
				return
			}
		}
	})
	if err != nil || descriptor < 0 {
		return nil, false
	}

	file := os.NewFile(uintptr(descriptor), "accepted connection")
	defer func() { _ = file.Close() }() // The connection has a descriptor of its own.

	conn, err = net.FileConn(file)

	return conn, err == nil
}
