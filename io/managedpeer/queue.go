package managedpeer

import (
	"errors"
	"net"
	"os"
	"syscall"
)

// acceptQueued accepts the connections that wait in the queue of a TCP listener, without waiting for further ones.
func acceptQueued(listener net.Listener) (conns []net.Conn) {
	tcp, isTCP := listener.(*net.TCPListener)
	if !isTCP {
		return nil
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil // The listener is closed.
	}

	_ = raw.Control(func(listening uintptr) { // It fails only if the listener is closed.
		for {
			accepted, _, err := syscall.Accept4(int(listening), syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)

			switch {
			case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED):
				continue
			case err != nil:
				return
			}

			file := os.NewFile(uintptr(accepted), "connection")

			conn, err := net.FileConn(file)
			if err == nil {
				conns = append(conns, conn)
			}

			_ = file.Close() // The connection has its own descriptor.
		}
	})

	return conns
}
