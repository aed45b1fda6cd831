package bench

import (
	"context"
	"net/netip"
	"sync"

	"almondgrade/core/registry"
)

// memoryLog is a control log with a single member that always leads and stores nothing on disk, so that only the work
// of the controller is measured.
type memoryLog struct {
	address netip.AddrPort

	mu      sync.Mutex
	state   *registry.State
	index   uint64
	changed chan struct{}
}

func newMemoryLog(state *registry.State, address netip.AddrPort) *memoryLog {
	return &memoryLog{state: state, address: address, changed: make(chan struct{})}
}

// Propose implements controller.Log.
func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.index++
	answer := l.state.Apply(l.index, command)
	close(l.changed)
	l.changed = make(chan struct{})

	return answer, nil
}

// Confirm implements controller.Log.
func (l *memoryLog) Confirm(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.index, nil
}

// Leader implements controller.Log.
func (l *memoryLog) Leader() (string, netip.AddrPort, bool) {
	return "control1", l.address, true
}

// Changed implements controller.Log.
func (l *memoryLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.changed
}
