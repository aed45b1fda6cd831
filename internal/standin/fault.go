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

// Direction is the direction in which a partition drops traffic, as the member sees it.
type Direction string

// The directions.
const (
	In   Direction = "in"
	Out  Direction = "out"
	Both Direction = "both"
)

// partition stalls the traffic with the peers whose application name begins with a prefix. Traffic is delivered
// when the partition ends, as TCP retransmission does.
type partition struct {
	peer      string
	direction Direction
}

// faults is the state of the fault switches that act on traffic.
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

// wait returns true when traffic with a peer may flow, and false if stop closes first.
func (f *faults) wait(peer string, direction Direction, stop <-chan struct{}) bool {
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

// thawed waits while the member is frozen.
func (f *faults) thawed(stop <-chan struct{}) bool {
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

// loseOpen makes the open connections silent for good and returns their number.
func (f *faults) loseOpen() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	for l := range f.links {
		l.lose()
	}

	return len(f.links)
}

// muteOpen makes the answers on open connections from a peer vanish for good and returns their number.
func (f *faults) muteOpen(peer string) int {
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

// closeAll ends the faults and closes the sockets of connections whose end their peers could not see.
func (f *faults) closeAll() {
	f.update(func() { f.frozen, f.partitions = false, nil })

	f.mu.Lock()
	defer f.mu.Unlock()

	for l := range f.links {
		_ = l.Conn.Close()
	}

	clear(f.links)
}

// link is a connection to a peer whose traffic the faults act on.
type link struct {
	net.Conn
	faults *faults
	peer   atomic.Pointer[string]
	lost   atomic.Bool
	// muted is true if what is written is lost while requests still arrive.
	muted atomic.Bool
	// onLoss is called when the connection is lost; it is guarded by the mutex of faults.
	onLoss func()
	closed chan struct{}
	once   sync.Once
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

// unreachable reports whether a partition or silent loss keeps traffic from the peer.
func (l *link) unreachable() bool {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()

	peer := *l.peer.Load()

	return l.lost.Load() || l.faults.partitionedLocked(peer, In) || l.faults.partitionedLocked(peer, Out)
}

func (l *link) whenLost(act func()) {
	l.faults.mu.Lock()
	defer l.faults.mu.Unlock()

	l.onLoss = act
}

func (l *link) lose() {
	if l.lost.CompareAndSwap(false, true) && l.onLoss != nil {
		l.onLoss()
	}
}

// Read implements net.Conn. An expired deadline is reported at once, so that the server can end a session whose
// traffic stands still.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return n, err
		}

		if !l.lost.Load() && !l.faults.wait(*l.peer.Load(), In, l.closed) {
			return 0, net.ErrClosed
		}

		if !l.lost.Load() {
			return n, err
		}

		if err != nil {
			<-l.closed // The end of the connection is lost as well.
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (l *link) Write(p []byte) (int, error) {
	if !l.lost.Load() && !l.faults.wait(*l.peer.Load(), Out, l.closed) {
		return 0, net.ErrClosed
	}

	if l.lost.Load() || l.muted.Load() {
		return len(p), nil
	}

	return l.Conn.Write(p)
}

// Close implements net.Conn. The peer notices only if traffic to it flows; until then the socket stays open.
func (l *link) Close() error {
	l.once.Do(func() {
		close(l.closed)
		_ = l.SetReadDeadline(time.Unix(1, 0))

		if l.lost.Load() {
			return // The socket is closed together with the member.
		}

		if blocked, _ := l.faults.blocked(*l.peer.Load(), Out); blocked {
			go func() {
				if l.faults.wait(*l.peer.Load(), Out, nil) {
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
