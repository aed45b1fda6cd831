package standin

import (
	"errors"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction in which a partition stalls traffic, as seen from the member.
type Direction string

// The directions of a partition.
const (
	In   Direction = "in"
	Out  Direction = "out"
	Both Direction = "both"
)

// partition stalls the traffic with the peers whose application name begins with the prefix peer. Stalled traffic is
// delivered when the partition ends, as by TCP retransmission.
type partition struct {
	peer      string
	direction Direction
}

// faults holds the injected faults that affect traffic, and the connections that they affect.
type faults struct {
	mu         sync.Mutex
	frozen     bool
	partitions []partition
	changed    chan struct{}
	links      map[*link]struct{}
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{}), links: map[*link]struct{}{}}
}

func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faults) blocked(peer string, direction Direction) (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.frozen || f.partitionedLocked(peer, direction), f.changed
}

func (f *faults) partitionedLocked(peer string, direction Direction) bool {
	return slices.ContainsFunc(f.partitions, func(p partition) bool {
		return strings.HasPrefix(peer, p.peer) && (p.direction == Both || p.direction == direction)
	})
}

// waitUnblocked waits until traffic with a peer may flow. It returns false if stop closes first.
func (f *faults) waitUnblocked(peer string, direction Direction, stop <-chan struct{}) bool {
	for {
		blocked, changed := f.blocked(peer, direction)
		if !blocked {
			return true
		}

		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// waitThawed waits while the member is frozen. It returns false if stop closes first.
func (f *faults) waitThawed(stop <-chan struct{}) bool {
	for {
		f.mu.Lock()
		frozen, changed := f.frozen, f.changed
		f.mu.Unlock()

		if !frozen {
			return true
		}

		select {
		case <-changed:
		case <-stop:
			return false
		}
	}
}

// loseConnections drops all traffic on the open connections permanently and returns their number.
func (f *faults) loseConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	for l := range f.links {
		l.lose()
	}

	return len(f.links)
}

// muteConnections drops the responses on open connections from a peer permanently and returns their number.
func (f *faults) muteConnections(peer string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	muted := 0

	for l := range f.links {
		if strings.HasPrefix(*l.peer.Load(), peer) {
			l.muted.Store(true)

			muted++
		}
	}

	return muted
}

// closeAll ends the faults and closes all sockets, also those that Close kept open because the peer could not see the
// end of the connection.
func (f *faults) closeAll() {
	f.update(func() { f.frozen, f.partitions = false, nil })

	f.mu.Lock()
	defer f.mu.Unlock()

	for l := range f.links {
		_ = l.Conn.Close()
	}

	clear(f.links)
}

// link is a connection to a peer whose traffic the injected faults affect.
type link struct {
	net.Conn
	faults *faults
	peer   atomic.Pointer[string]
	lost   atomic.Bool
	// muted is true if written data is dropped while requests still arrive.
	muted atomic.Bool
	// onLoss is called when the connection is lost. It is guarded by faults.mu.
	onLoss    func()
	closed    chan struct{}
	closeOnce sync.Once
}

func newLink(conn net.Conn, faults *faults, peer string) *link {
	l := &link{Conn: conn, faults: faults, closed: make(chan struct{})}
	l.setPeer(peer)
	faults.mu.Lock()
	faults.links[l] = struct{}{}
	faults.mu.Unlock()

	return l
}

func (l *link) setPeer(peer string) {
	l.peer.Store(&peer)
}

// unreachable reports whether a partition or the loss of the connection blocks traffic with the peer.
func (l *link) unreachable() bool {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()

	peer := *l.peer.Load()

	return l.lost.Load() || l.faults.partitionedLocked(peer, In) || l.faults.partitionedLocked(peer, Out)
}

func (l *link) setOnLoss(act func()) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()

	l.onLoss = act
}

func (l *link) lose() {
	if l.lost.CompareAndSwap(false, true) && l.onLoss != nil {
		l.onLoss()
	}
}

// Read implements net.Conn. It reports an expired deadline even while a fault blocks traffic, so that the server can
// end such a session.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return n, err
		}

		if !l.lost.Load() && !l.faults.waitUnblocked(*l.peer.Load(), In, l.closed) {
			return 0, net.ErrClosed
		}

		if !l.lost.Load() {
			return n, err
		}

		if err != nil {
			<-l.closed // The end of a lost connection is not visible either.
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	if !l.lost.Load() && !l.faults.waitUnblocked(*l.peer.Load(), Out, l.closed) {
		return 0, net.ErrClosed
	}

	if l.lost.Load() || l.muted.Load() {
		return len(p), nil
	}

	return l.Conn.Write(p)
}

// Close implements net.Conn. While traffic to the peer is blocked, the socket stays open, so that the peer does not
// see the end of the connection.
func (l *link) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.SetReadDeadline(time.Unix(1, 0))

		if l.lost.Load() {
			return // closeAll closes the socket when the member closes.
		}

		if blocked, _ := l.faults.blocked(*l.peer.Load(), Out); blocked {
			go func() {
				if l.faults.waitUnblocked(*l.peer.Load(), Out, nil) {
					l.closeSocket()
				}
			}()

			return
		}

		l.closeSocket()
	})

	return nil
}

func (l *link) closeSocket() {
	l.faults.mu.Lock()
	delete(l.faults.links, l)
	l.faults.mu.Unlock()

	_ = l.Conn.Close()
}
