package result

// Code is the number of a result.
type Code uint32

// The codes. docs/result-codes.md explains their ranges.
const (
	OK                Code = 0
	AlreadyRan        Code = 1101
	StillRunning      Code = 1102
	Protocol          Code = 1201
	PoolUnknown       Code = 1202
	Authentication    Code = 1203
	TokenDamaged      Code = 1204
	TooLarge          Code = 1205
	NotSupported      Code = 1206
	Unconfirmed       Code = 1301
	NoPrimary         Code = 1302
	QueueFull         Code = 1303
	DeadlinePassed    Code = 1304
	Draining          Code = 1305
	NoPermit          Code = 1306
	CallerLimit       Code = 1307
	NoFreshServer     Code = 1308
	ServerUnreachable Code = 1309
	LimitUnconfirmed  Code = 1310
	ConnectionLost    Code = 1401
	NotConfirmed      Code = 1402
	PrimaryReplaced   Code = 1403
	NumberNotCurrent  Code = 1501
	NoQuorum          Code = 1502
	ChangeInvalid     Code = 1503
	NotLeader         Code = 1504
	NameClaimed       Code = 1505
	OutdatedEpoch     Code = 1506
	NotCoordinator    Code = 1507
	NotFound          Code = 1508
)

// Ran says whether a request ran.
type Ran uint8

// The values of Ran.
const (
	RanNo Ran = iota
	RanYes
	RanUnknown
)

// String returns the value as the documentation and messages show it.
func (r Ran) String() string {
	switch r {
	case RanYes:
		return "yes"
	case RanUnknown:
		return "unknown"
	case RanNo:
		return "no"
	}

	return "unknown"
}

// Description describes a code.
type Description struct {
	Code Code
	// Name is the name of the code and of its counter.
	Name string
	// SQLState is the SQLSTATE that callers get.
	SQLState string
	Ran      Ran
	// Retryable is true if repeating the unchanged request is safe and may succeed.
	Retryable bool
	Text      string
}

//nolint:gochecknoglobals // The table is constant.
var descriptions = []Description{
	{AlreadyRan, "already_ran", "01000", RanYes, false, "the named request ran before; this is its recorded answer"},
	{StillRunning, "still_running", "55006", RanUnknown, true, "the named request is still running elsewhere"},
	{Protocol, "protocol", "08P01", RanNo, false, "the caller broke the wire protocol"},
	{PoolUnknown, "pool_unknown", "3D000", RanNo, false, "the database name is no pool or pool.group"},
	{Authentication, "authentication", "28P01", RanNo, false, "the user or password is wrong"},
	{TokenDamaged, "token_damaged", "22023", RanNo, false, "the session token can't be read"},
	{TooLarge, "too_large", "54000", RanNo, false, "a message is longer than allowed"},
	{NotSupported, "not_supported", "0A000", RanNo, false, "the proxy does not support the request"},
	{Unconfirmed, "unconfirmed", "57P03", RanNo, true, "the proxy can't confirm its configuration"},
	{NoPrimary, "no_primary", "57P03", RanNo, true, "the group has no primary at present"},
	{QueueFull, "queue_full", "53300", RanNo, true, "too many requests wait"},
	{DeadlinePassed, "deadline_passed", "57014", RanNo, true, "the request would not have started in time"},
	{Draining, "draining", "57P01", RanNo, true, "the proxy is shutting down"},
	{NoPermit, "no_permit", "53300", RanNo, true, "no connection to the backend server is free"},
	{CallerLimit, "caller_limit", "53300", RanNo, true, "the proxy has too many caller connections, or the customer's limit is used up"},
	{NoFreshServer, "no_fresh_server", "57P03", RanNo, true, "no backend server covers the session's position"},
	{ServerUnreachable, "server_unreachable", "08001", RanNo, true, "the backend server can't be reached"},
	{LimitUnconfirmed, "limit_unconfirmed", "57P03", RanNo, true, "no proxy that counts the customer's operations can be reached"},
	{ConnectionLost, "connection_lost", "08007", RanUnknown, false, "the connection was lost after the request was sent"},
	{NotConfirmed, "not_confirmed", "08007", RanUnknown, false, "the commit was not held by a quorum in time"},
	{PrimaryReplaced, "primary_replaced", "08007", RanUnknown, false, "the primary was replaced before the commit was confirmed"},
	{NumberNotCurrent, "number_not_current", "40001", RanNo, false, "the change is not based on the current configuration"},
	{NoQuorum, "no_quorum", "57P03", RanUnknown, true, "control can't reach a quorum"},
	{ChangeInvalid, "change_invalid", "22023", RanNo, false, "the configuration has faults"},
	{NotLeader, "not_leader", "57P03", RanNo, true, "the control process is not the leader"},
	{NameClaimed, "name_claimed", "42710", RanNo, false, "another server holds the name"},
	{OutdatedEpoch, "outdated_epoch", "57P03", RanNo, true, "the coordinator's epoch is not current"},
	{NotCoordinator, "not_coordinator", "57P03", RanNo, true, "the proxy does not coordinate the group"},
	{NotFound, "not_found", "42704", RanNo, false, "the named object does not exist"},
}

// Table returns the descriptions of all codes in ascending order.
func Table() []Description {
	return append([]Description(nil), descriptions...)
}

// Describe returns the description of a code. For an unknown code it has the name "unknown", SQLSTATE XX000 and
// RanUnknown.
func (c Code) Describe() Description {
	for _, row := range descriptions {
		if row.Code == c {
			return row
		}
	}

	return Description{Code: c, Name: "unknown", SQLState: "XX000", Ran: RanUnknown}
}

// Ran returns whether a request with this code ran.
func (c Code) Ran() Ran {
	return c.Describe().Ran
}
