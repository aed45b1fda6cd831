package dial

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
)

// Tracker tells whether another process is reachable although it does not answer: its machine has acknowledged every
// byte that was sent. It is built for a process that is short of time, which each new connection slows down further. It
// is safe for concurrent use.
type Tracker struct {
	mutex sync.Mutex
	last  map[netip.AddrPort]net.Conn
}

// NewTracker returns a tracker of the connections that are opened with its options.
func NewTracker() *Tracker {
	return &Tracker{last: make(map[netip.AddrPort]net.Conn)}
}

// Option returns the option for a connection to the given address.
func (t *Tracker) Option(address netip.AddrPort) grpc.DialOption {
	return grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		opened, err := new(net.Dialer).DialContext(ctx, "tcp", address.String())
		if err == nil {
			t.mutex.Lock()
			t.last[address] = opened
			t.mutex.Unlock()
		}

		return opened, err //nolint:wrapcheck // The gRPC library adds the address.
	})
}

// Acknowledged reports whether the last connection to an address is open and nothing that was sent on it lacks an
// acknowledgement.
func (t *Tracker) Acknowledged(address netip.AddrPort) bool {
	t.mutex.Lock()
	last, isTCP := t.last[address].(*net.TCPConn)
	t.mutex.Unlock()

	if !isTCP {
		return false
	}

	raw, err := last.SyscallConn()
	if err != nil {
		return false
	}

	acknowledged := false

	if err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		acknowledged = err == nil && info.State == unix.BPF_TCP_ESTABLISHED && info.Unacked == 0
	}); err != nil {
		return false // The connection is closed.
	}

	return acknowledged
}
