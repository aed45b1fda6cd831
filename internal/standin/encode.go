package standin

import (
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

const (
	oidText = pgtype.TextOID
	oidInt8 = pgtype.Int8OID
)

// column is a column of an answer.
type column struct {
	name string
	oid  uint32
}

//nolint:gochecknoglobals // Constant tables.
var (
	typeOIDs = map[string]uint32{
		"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID, "int": oidInt8, "integer": oidInt8, "int2": oidInt8,
		"int4": oidInt8, "int8": oidInt8, "bigint": oidInt8, "smallint": oidInt8, "serial": oidInt8, "bigserial": oidInt8,
		"oid": oidInt8, "real": pgtype.Float8OID, "float4": pgtype.Float8OID, "float8": pgtype.Float8OID,
		"float": pgtype.Float8OID, "double": pgtype.Float8OID, "double precision": pgtype.Float8OID,
		"numeric": pgtype.NumericOID, "decimal": pgtype.NumericOID, "bytea": pgtype.ByteaOID, "blob": pgtype.ByteaOID,
		"text": oidText, "varchar": pgtype.VarcharOID, "uuid": pgtype.UUIDOID, "json": pgtype.JSONOID,
		"jsonb": pgtype.JSONBOID, "date": pgtype.DateOID, "timestamp": pgtype.TimestampOID,
		"timestamptz": pgtype.TimestamptzOID, "timestamp with time zone": pgtype.TimestamptzOID,
	}
	callName     = regexp.MustCompile(`^(?:ag_)?(\w+) *\(`)
	castName     = regexp.MustCompile(`(?i)^cast\(.* as (\w+) *\)$`)
	countingCall = regexp.MustCompile(`^(count|sum|length|char_length|row_number|rank|abs|pg_wal_lsn_diff|pg_backend_pid)$`)
	floatingCall = regexp.MustCompile(`^(avg|total|random|round)$`)
	plainColumn  = regexp.MustCompile(`^[^-()'+*/|<>=?0-9][^()'+*/|<>=?]*$`)
	types        = sync.OnceValue(pgtype.NewMap)
	typesMu      sync.Mutex // The type map caches plans and is not safe for concurrent use.
)

func typeOID(name string) uint32 {
	name, _, _ = strings.Cut(strings.ToLower(name), "(")
	if oid, ok := typeOIDs[strings.TrimSpace(name)]; ok {
		return oid
	}

	return oidText
}

// describeColumn derives name and type of a column from SQLite's name for it, its declared type and a value.
func describeColumn(name, declared string, sample any) column {
	c := column{name: name, oid: oidText}
	call := ""

	switch found := callName.FindStringSubmatch(name); {
	case castName.MatchString(name):
		c.name = "?column?"
		c.oid = typeOID(castName.FindStringSubmatch(name)[1])
	case found != nil:
		call = strings.ToLower(found[1])
		c.name = call
	case strings.HasPrefix(strings.ToLower(name), "case "):
		c.name = "case"
	case !plainColumn.MatchString(name):
		c.name = "?column?"
	}

	switch value := sample.(type) {
	case int64:
		c.oid = oidInt8
	case float64:
		c.oid = pgtype.Float8OID
	case []byte:
		c.oid = pgtype.ByteaOID
	case time.Time:
		c.oid = pgtype.TimestamptzOID
	case nil, string:
		_ = value
	}

	switch {
	case declared != "":
		c.oid = typeOID(declared)
	case boolFunctions[call]:
		c.oid = pgtype.BoolOID
	case sample == nil && countingCall.MatchString(call):
		c.oid = oidInt8
	case sample == nil && floatingCall.MatchString(call):
		c.oid = pgtype.Float8OID
	}

	return c
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		})
	}

	return description
}

// formatOf returns the format code of a value by the protocol's rule: none, one for all, or one for each.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgproto3.TextFormat
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgproto3.TextFormat
	}
}

// encodeValue returns a value of SQLite in the wire form of a type.
func encodeValue(value any, oid uint32, format int16) ([]byte, error) {
	if value == nil {
		return nil, nil
	}

	if format == pgproto3.TextFormat {
		return []byte(textForm(value, oid)), nil
	}

	switch oid {
	case oidText, pgtype.VarcharOID, pgtype.JSONOID:
		return []byte(textForm(value, oid)), nil
	}

	typed, err := typedValue(value, oid)
	if err != nil {
		return nil, err
	}

	typesMu.Lock()
	defer typesMu.Unlock()

	return types().Encode(oid, format, typed, nil)
}

func textForm(value any, oid uint32) string {
	switch value := value.(type) {
	case int64:
		if oid == pgtype.BoolOID {
			return map[bool]string{true: "t", false: "f"}[value != 0]
		}

		return strconv.FormatInt(value, 10)
	case float64:
		return formatFloat(value)
	case bool:
		return map[bool]string{true: "t", false: "f"}[value]
	case []byte:
		if oid == pgtype.ByteaOID {
			return `\x` + hex.EncodeToString(value)
		}

		return string(value)
	case time.Time:
		if oid == pgtype.DateOID {
			return value.Format(time.DateOnly)
		}

		return value.UTC().Format(timestampForm)
	default:
		return fmt.Sprint(value)
	}
}

func formatFloat(value float64) string {
	switch {
	case math.IsInf(value, 1):
		return "Infinity"
	case math.IsInf(value, -1):
		return "-Infinity"
	case math.Abs(value) < 1e15 && (math.Abs(value) >= 1e-4 || value == 0):
		return strconv.FormatFloat(value, 'f', -1, 64)
	default:
		return strconv.FormatFloat(value, 'g', -1, 64)
	}
}

// typedValue converts a value to the Go type from which the binary form of a type is made.
func typedValue(value any, oid uint32) (any, error) {
	form := textForm(value, oid)

	switch oid {
	case pgtype.BoolOID:
		return parseBool(form)
	case oidInt8:
		return strconv.ParseInt(form, 10, 64)
	case pgtype.Float8OID:
		return strconv.ParseFloat(form, 64)
	case pgtype.ByteaOID:
		if raw, ok := value.([]byte); ok {
			return raw, nil
		}

		return []byte(form), nil
	}

	typesMu.Lock()
	defer typesMu.Unlock()

	known, ok := types().TypeForOID(oid)
	if !ok {
		return nil, errorf(stateNotSupported, "no binary form for type %d", oid)
	}

	return known.Codec.DecodeValue(types(), oid, pgproto3.TextFormat, []byte(form))
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// decodeValue returns a parameter as a value that SQLite takes.
func decodeValue(raw []byte, oid uint32, format int16) (any, error) {
	if raw == nil {
		return nil, nil
	}

	if format == pgproto3.TextFormat {
		return decodeText(string(raw), oid)
	}

	switch oid {
	case 0, oidText, pgtype.VarcharOID, pgtype.UnknownOID, pgtype.JSONOID, pgtype.NameOID, pgtype.BPCharOID:
		return string(raw), nil
	case pgtype.ByteaOID:
		return append([]byte{}, raw...), nil
	}

	typesMu.Lock()
	defer typesMu.Unlock()

	known, ok := types().TypeForOID(oid)
	if !ok {
		return nil, errorf(stateNotSupported, "no binary form for type %d", oid)
	}

	value, err := known.Codec.DecodeDatabaseSQLValue(types(), oid, format, raw)
	if err != nil {
		return nil, errorf("22P03", "incorrect binary data format in bind parameter: %v", err)
	}

	switch value := value.(type) {
	case bool:
		return boolNumber(value), nil
	case time.Time:
		return textForm(value, oid), nil
	default:
		return value, nil
	}
}

func boolNumber(value bool) int64 {
	if value {
		return 1
	}

	return 0
}

// normalTime returns a time in the one form that SQLite compares correctly as text.
func normalTime(raw string, oid uint32) string {
	for _, form := range []string{timestampForm, "2006-01-02 15:04:05.999999Z07:00", time.RFC3339Nano, time.DateTime} {
		if at, err := time.Parse(form, raw); err == nil {
			return textForm(at, oid)
		}
	}

	return raw
}

func decodeText(raw string, oid uint32) (any, error) {
	var err error

	switch oid {
	case pgtype.BoolOID:
		var on bool
		on, err = parseBool(raw)

		return boolNumber(on), err
	case pgtype.Int2OID, pgtype.Int4OID, oidInt8, pgtype.OIDOID:
		var n int64
		if n, err = strconv.ParseInt(strings.TrimSpace(raw), 10, 64); err == nil {
			return n, nil
		}
	case pgtype.TimestamptzOID, pgtype.TimestampOID:
		return normalTime(raw, oid), nil
	case pgtype.Float4OID, pgtype.Float8OID:
		var f float64
		if f, err = strconv.ParseFloat(raw, 64); err == nil {
			return f, nil
		}
	case pgtype.ByteaOID:
		if digits, ok := strings.CutPrefix(raw, `\x`); ok {
			var decoded []byte
			if decoded, err = hex.DecodeString(digits); err == nil {
				return decoded, nil
			}
		} else {
			return []byte(raw), nil
		}
	default:
		return raw, nil
	}

	return nil, errorf("22P02", "invalid input syntax for a parameter of type %d: %q", oid, raw)
}
