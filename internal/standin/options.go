package standin

import (
	"log/slog"
	"net/netip"
	"time"
)

// Options configures a member. The zero value of a field means its default.
type Options struct {
	Name   string
	Group  string
	Centre string
	// Listen is the address to listen on; the default is a free port of 127.0.0.1.
	Listen netip.AddrPort
	// Primary starts a member without data as the first primary. It has no effect on a member with data.
	Primary bool
	// AnnounceAddresses lists the addresses ("host:port" or a URL) that the member announces itself to.
	AnnounceAddresses []string
	AnnouncePeriod    time.Duration
	Slots             int
	Connections       int
	// Lag is the time from the receipt of a transaction to its replay on a replica.
	Lag time.Duration
	// ReceiveDelay is the time that log records take from the primary to this replica.
	ReceiveDelay time.Duration
	// ConnectCost is the time that a new connection takes; negative means none.
	ConnectCost time.Duration
	// StatementCost is the time that a statement occupies its slot; negative means none. A comment such as
	// /* cost 20ms */ in a statement overrides it.
	StatementCost time.Duration
	// LostConnectionTimeout is the time after which the server ends the session of a connection that was lost
	// silently.
	LostConnectionTimeout time.Duration
	// DataFolder holds the data. The default is a temporary folder that Close removes.
	DataFolder string
	// FaultAddress is the address of the HTTP interface for fault injection, which is off by default.
	FaultAddress string
	Logger       *slog.Logger
}

// The defaults correspond to a small database VM.
const (
	DefaultSlots                 = 5
	DefaultConnections           = 35
	DefaultLag                   = 10 * time.Millisecond
	DefaultReceiveDelay          = time.Millisecond
	DefaultConnectCost           = 10 * time.Millisecond
	DefaultStatementCost         = 200 * time.Microsecond
	DefaultAnnouncePeriod        = time.Second
	DefaultLostConnectionTimeout = time.Minute
)

func (o Options) withDefaults() Options {
	if !o.Listen.IsValid() {
		o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}

	o.Slots = orDefault(o.Slots, DefaultSlots)
	o.Connections = orDefault(o.Connections, DefaultConnections)
	o.Lag = orDefault(o.Lag, DefaultLag)
	o.ReceiveDelay = orDefault(o.ReceiveDelay, DefaultReceiveDelay)
	o.ConnectCost = orDefault(o.ConnectCost, DefaultConnectCost)
	o.StatementCost = orDefault(o.StatementCost, DefaultStatementCost)
	o.AnnouncePeriod = orDefault(o.AnnouncePeriod, DefaultAnnouncePeriod)
	o.LostConnectionTimeout = orDefault(o.LostConnectionTimeout, DefaultLostConnectionTimeout)

	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}

	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}

	return value
}
