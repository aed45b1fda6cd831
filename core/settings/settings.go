package settings

import "net/netip"

// Format is the only value of Settings.Format that this version reads.
const Format = 1

// OpenUnauthenticated is the value of VM.Open that lets listeners off loopback run without authentication.
const OpenUnauthenticated = "listen without authentication"

// Settings is everything that a process learns from its files.
type Settings struct {
	Format int    `json:"format"`
	Site   string `json:"site"`
	VM     VM     `json:"vm"`
	// Control lists the control processes of a new system; later members are learned from the log.
	Control []ControlMember `json:"control"`
	TLS     TLS             `json:"tls"`
	Tokens  Tokens          `json:"tokens"`
	Log     Log             `json:"log"`
	Running Running         `json:"running"`
}

// VM holds what one process must know of itself.
type VM struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Caller is the address for callers (PostgreSQL protocol).
	Caller netip.AddrPort `json:"caller"`
	// Peer is the address for other proxies and control (gRPC).
	Peer netip.AddrPort `json:"peer"`
	// Platform is the address for announcements of backend servers and for the balancer's health checks (HTTP).
	Platform netip.AddrPort `json:"platform"`
	// Operator is the address for operators and metrics (HTTP).
	Operator netip.AddrPort `json:"operator"`
	// Control is the address that a control process serves (gRPC).
	Control netip.AddrPort `json:"control"`
	// Data is the data folder of a control process.
	Data string `json:"data"`
	// Open says that listeners off loopback may run without authentication; the only allowed value is OpenWords.
	Open string `json:"open"`
	// CallerLimit bounds the caller connections of a proxy.
	CallerLimit int `json:"caller_limit"`
}

// ControlMember names a control process.
type ControlMember struct {
	Name     string         `json:"name"`
	Address  netip.AddrPort `json:"address"`
	Operator netip.AddrPort `json:"operator"`
}

// TLS names the files of keys. Empty fields turn TLS off for that peer.
type TLS struct {
	Authority     string `json:"authority"`
	Certificate   string `json:"certificate"`
	Key           string `json:"key"`
	Callers       bool   `json:"callers"`
	Backend       bool   `json:"backend"`
	ReloadSeconds int    `json:"reload_seconds"`
}

// Tokens names the files of bearer tokens. Empty fields turn tokens off for that listener.
type Tokens struct {
	// Operator is the file of the token that operators present.
	Operator string `json:"operator"`
	// Platform is the file of the token that announcements of backend servers present.
	Platform string `json:"platform"`
}

// Log chooses the form of log lines.
type Log struct {
	// Format is "text" or "json".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}
