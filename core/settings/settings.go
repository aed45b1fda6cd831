package settings

import "net/netip"

// Format is the only value of Settings.Format that this version supports.
const Format = 1

// OpenUnauthenticated is the value of VM.Open that lets listeners off loopback run without authentication.
const OpenUnauthenticated = "listen without authentication"

// Settings holds everything that a process reads from its settings files.
type Settings struct {
	Format int    `json:"format"`
	Site   string `json:"site"`
	VM     VM     `json:"vm"`
	// Control lists the initial control processes of a new system. Later members are in the control log.
	Control []ControlMember `json:"control"`
	TLS     TLS             `json:"tls"`
	Tokens  Tokens          `json:"tokens"`
	Log     Log             `json:"log"`
	Running Running         `json:"running"`
}

// VM holds the settings of a process's own VM.
type VM struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	// Caller is the listening address for callers (PostgreSQL protocol).
	Caller netip.AddrPort `json:"caller"`
	// Peer is the listening address for other proxies and control (gRPC).
	Peer netip.AddrPort `json:"peer"`
	// Platform is the listening address for announcements of backend servers and for the load balancer's health checks
	// (HTTP).
	Platform netip.AddrPort `json:"platform"`
	// Operator is the listening address for operators and metrics (HTTP).
	Operator netip.AddrPort `json:"operator"`
	// Control is the listening address of a control process (gRPC).
	Control netip.AddrPort `json:"control"`
	// Data is the data folder of a control process.
	Data string `json:"data"`
	// Open lets listeners off loopback run without authentication if it is OpenUnauthenticated. Other values than this
	// and the empty one are refused.
	Open string `json:"open"`
	// CallerLimit bounds the number of caller connections of a proxy.
	CallerLimit int `json:"caller_limit"`
}

// ControlMember is the name and the addresses of a control process.
type ControlMember struct {
	Name     string         `json:"name"`
	Address  netip.AddrPort `json:"address"`
	Operator netip.AddrPort `json:"operator"`
}

// TLS names the files of the authority, the certificate and the key, and selects the connections that use TLS. Empty
// fields turn TLS off for the connections that need them.
type TLS struct {
	Authority     string `json:"authority"`
	Certificate   string `json:"certificate"`
	Key           string `json:"key"`
	Callers       bool   `json:"callers"`
	Backend       bool   `json:"backend"`
	ReloadSeconds int    `json:"reload_seconds"`
}

// Tokens names the files of bearer tokens. An empty field turns off the token for that listener.
type Tokens struct {
	// Operator is the file of the token that operators send.
	Operator string `json:"operator"`
	// Platform is the file of the token that backend servers send with announcements.
	Platform string `json:"platform"`
}

// Log selects the format and the level of log lines.
type Log struct {
	// Format is "text" or "json".
	Format string `json:"format"`
	// Level is "debug", "info", "warn" or "error".
	Level string `json:"level"`
}
