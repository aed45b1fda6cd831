package local

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
)

// readyPeriod is the pause between two attempts to reach the system.
const readyPeriod = 100 * time.Millisecond

// waitReady waits until every proxy serves.
func waitReady(ctx context.Context, addresses []netip.AddrPort) error {
	limited, cancel := context.WithTimeout(ctx, serveLimit)
	defer cancel()

	for _, address := range addresses {
		for ping(limited, address) != nil {
			select {
			case <-limited.Done():
				return eris.Errorf("proxy %s does not serve within %s", address, serveLimit)
			case <-time.After(readyPeriod):
			}
		}
	}

	return nil
}

// announceReady waits until all proxies serve and prints how to reach them.
func announceReady(ctx context.Context, options Options, addresses ...netip.AddrPort) error {
	if err := waitReady(ctx, addresses); err != nil {
		if ctx.Err() != nil {
			return nil //nolint:nilerr // The system was ended before it served.
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

func ping(ctx context.Context, address netip.AddrPort) error {
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
