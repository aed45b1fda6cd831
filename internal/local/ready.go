package local

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
)

// readyPollInterval is the delay between two attempts to reach a proxy.
const readyPollInterval = 100 * time.Millisecond

// waitReady waits until every proxy serves.
func waitReady(ctx context.Context, addresses []netip.AddrPort) error {
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	for _, address := range addresses {
		for queryProxy(waitCtx, address) != nil {
			select {
			case <-waitCtx.Done():
				return eris.Errorf("proxy %s did not serve within %s", address, startTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}

	return nil
}

// announceReady waits until all proxies serve and prints how to reach them.
func announceReady(ctx context.Context, options Options, addresses ...netip.AddrPort) error {
	if err := waitReady(ctx, addresses); err != nil {
		if ctx.Err() != nil {
			return nil //nolint:nilerr // The system was stopped before all proxies served.
		}

		return err
	}

	for _, address := range addresses {
		if _, err := fmt.Fprintln(options.Out, address); err != nil {
			return eris.Wrap(err, "print address")
		}
	}

	_, err := fmt.Fprintf(options.Out, "psql 'host=%s port=%d user=%s dbname=%s sslmode=disable'\n",
		addresses[0].Addr(), addresses[0].Port(), UserName, PoolName)

	return eris.Wrap(err, "print client command")
}

func queryProxy(ctx context.Context, address netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()

	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://%s@%s/%s?sslmode=disable", UserName, address, PoolName))
	if err != nil {
		return eris.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close(ctx) }()

	_, err = conn.Exec(ctx, "SELECT 1")

	return eris.Wrap(err, "query")
}
