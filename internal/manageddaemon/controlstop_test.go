package manageddaemon

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"almondgrade/core/topology"
	"almondgrade/core/viewlog"
	"almondgrade/io/managedcontrol"
)

// runningControl is a control process in the test's process.
type runningControl struct {
	process ControlProcess
	stop    context.CancelFunc
	ended   chan error
}

// startControls starts the control processes of a new deployment.
func startControls(t *testing.T, addresses []netip.AddrPort) []runningControl {
	t.Helper()

	folder := t.TempDir()
	running := make([]runningControl, len(addresses))

	for i, address := range addresses {
		process, err := NewControl(ControlOptions{
			Name: "control" + strconv.Itoa(i), Address: address, Seeds: func() []netip.AddrPort { return addresses }, FormGroup: true,
			Folder: filepath.Join(folder, strconv.Itoa(i)), AnnounceInterval: time.Second, MemoryLimit: 1 << 30,
			ShutdownGrace: 6 * time.Second, Logger: slog.New(slog.DiscardHandler),
		})
		require.NoError(t, err)

		ctx, stop := context.WithCancel(context.Background())
		running[i] = runningControl{process: process, stop: stop, ended: make(chan error, 1)}

		go func() { running[i].ended <- process.Run(ctx, func(context.Context) {}) }()
	}

	return running
}

// loopbackAddresses returns free addresses of members, whose names are their IP addresses.
func loopbackAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()

	var addresses []netip.AddrPort

	for i := range count {
		listener, err := net.Listen("tcp", "127.0.77."+strconv.Itoa(1+i)+":0")
		require.NoError(t, err)

		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
		require.NoError(t, listener.Close())
	}

	return addresses
}

// Guards against calls that other processes have sent to the leader and that its planned stop cuts off.
func TestForwardedCallsCutOffByLeaderStop(t *testing.T) {
	t.Parallel()

	addresses := loopbackAddresses(t, 3)
	controls := startControls(t, addresses)
	client := newClient(addresses, slog.New(slog.DiscardHandler))

	t.Cleanup(client.Close)

	findLeader := func() error {
		_, err := client.Sync(t.Context(), &managedcontrol.SyncRequest{Configuration: math.MaxUint64, ViewPosition: &viewlog.Position{}})

		return err
	}
	require.Eventually(t, func() bool { return findLeader() == nil }, 30*time.Second, 20*time.Millisecond)

	leader := client.Target()

	var (
		callers  sync.WaitGroup
		stopping atomic.Bool
		answered atomic.Int64
		mutex    sync.Mutex
		cut      []error
	)

	record := func(err error) {
		if err == nil {
			answered.Add(1)
		} else if !strings.Contains(err.Error(), "connection error") { // Otherwise there was no connection, and the call was not sent.
			mutex.Lock()
			defer mutex.Unlock()

			cut = append(cut, err)
		}
	}

	for number := range 8 {
		callers.Go(func() {
			caller := newClient([]netip.AddrPort{leader}, slog.New(slog.DiscardHandler))
			defer caller.Close()

			for sequence := uint64(1); !stopping.Load(); sequence++ {
				server := topology.Server{
					ID: "i-" + strconv.Itoa(number), Group: "g", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 2, Sequence: sequence,
					Leaving: sequence%2 == 0,
				}
				_, err := caller.Deliver(context.Background(), leader, &managedcontrol.DeliverRequest{Announce: &server})
				record(err)
			}
		})

		callers.Go(func() {
			for !stopping.Load() {
				caller := newClient([]netip.AddrPort{leader}, slog.New(slog.DiscardHandler))
				_, err := caller.Sync(context.Background(), &managedcontrol.SyncRequest{
					Proxy: "p" + strconv.Itoa(number), Configuration: math.MaxUint64, ViewPosition: &viewlog.Position{},
				})

				// Others lead later, or none is known.
				if caller.Target() == leader && err != nil && strings.Contains(err.Error(), "call Sync") {
					record(err)
				} else {
					answered.Add(1)
				}

				caller.Close()
			}
		})
	}

	require.Eventually(t, func() bool { return answered.Load() > 100 }, 30*time.Second, time.Millisecond)

	for i, address := range addresses {
		if address == leader {
			controls[i].stop()
			require.NoError(t, <-controls[i].ended)
		}
	}

	stopping.Store(true)
	callers.Wait()

	mutex.Lock()
	defer mutex.Unlock()

	t.Logf("%d calls answered, %d cut off", answered.Load(), len(cut))
	assert.NoError(t, errors.Join(cut...))

	for i, address := range addresses {
		if address != leader {
			controls[i].stop()
		}
	}

	for i, address := range addresses {
		if address != leader {
			assert.NoError(t, <-controls[i].ended)
		}
	}
}
