package managedproxy

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"almondgrade/core/placement"
	"almondgrade/io/managedpeer"
)

// Guards against a statement that is refused although a holder can serve it, because several other holders stop at the same
// time: each says so at once, but counted as a holder that did not answer.
func TestStatementIsSentOnAfterSeveralHoldersStop(t *testing.T) {
	t.Parallel()

	for _, kind := range []Kind{Read, Write, Begin} {
		h := newForwardFixture(t)
		stopping := make(map[netip.AddrPort]bool)

		for i := range maxUnanswered {
			address := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.8"), uint16(i+1))
			stopping[address] = true
			h.front.holders = append([]placement.Proxy{{Name: address.String(), Address: address}}, h.front.holders...)
		}

		h.front.applyView()

		h.before = func(to netip.AddrPort, _ *ForwardRequest) error {
			if stopping[to] {
				return errors.Join(managedpeer.ErrNotSent, managedpeer.ErrStopping)
			}

			return nil
		}

		for range 20 {
			h.front.gateway.holderHealth = holderHealth{}
			session := h.front.connect("latest")

			if kind == Begin {
				require.NoError(t, session.ask(Begin, "BEGIN").Err)
				require.NoError(t, session.ask(Write, "WRITE 1 a").Err)
				require.NoError(t, session.ask(Commit, "COMMIT").Err)
			} else {
				require.NoError(t, session.ask(kind, "X 1").Err)
			}
		}
	}
}
