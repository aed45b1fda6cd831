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

// column is a column of a result.
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
	callPattern        = regexp.MustCompile(`^(?:ag_)?(\w+) *\(`)
	castPattern        = regexp.MustCompile(`(?i)^cast\(.* as (\w+) *\)$`)
	integerCallPattern = regexp.MustCompile(`^(count|sum|length|char_length|row_number|rank|abs|pg_wal_lsn_diff|pg_backend_pid)$`)
	floatCallPattern   = regexp.MustCompile(`^(avg|total|random|round)$`)
	plainColumnPattern = regexp.MustCompile(`^[^-()'+*/|<>=?0-9][^()'+*/|<>=?]*$`)
	typeMap            = sync.OnceValue(pgtype.NewMap)
	typeMapMu          sync.Mutex // The type map caches plans and is not safe for concurrent use.
)

func typeOID(name string) uint32 {
	name, _, _ = strings.Cut(strings.ToLower(name), "(")
	if oid, ok := typeOIDs[strings.TrimSpace(name)]; ok {
		return oid
	}

	return oidText
}

// describeColumn derives the name and type of a column from SQLite's name for it, its declared type and a sample
// value.
func describeColumn(name, declared string, sample any) column {
	c := column{name: name, oid: oidText}
	call := ""

	switch match := callPattern.FindStringSubmatch(name); {
	case castPattern.MatchString(name):
		c.name = "?column?"
		c.oid = typeOID(castPattern.FindStringSubmatch(name)[1])
	case match != nil:
		call = strings.ToLower(match[1])
		c.name = call
	case strings.HasPrefix(strings.ToLower(name), "case "):
		c.name = "case"
	case !plainColumnPattern.MatchString(name):
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
	case sample == nil && integerCallPattern.MatchString(call):
		c.oid = oidInt8
	case sample == nil && floatCallPattern.MatchString(call):
		c.oid = pgtype.Float8OID
	}

	return c
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	description := &pgproto3.RowDescription{}
	for i, c := range columns {
		description.Fields = append(description.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatCode(formats, i),
		})
	}

	return description
}

// formatCode returns the format code of value i. As the protocol defines, there are no codes (all values are text), one
// code for all values, or one for each value.
func formatCode(formats []int16, i int) int16 {
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

// encodeValue encodes a value from SQLite as the given type in the given wire format.
func encodeValue(value any, oid uint32, format int16) ([]byte, error) {
	if value == nil {
		return nil, nil
	}

	if format == pgproto3.TextFormat {
		return []byte(formatText(value, oid)), nil
	}

	switch oid {
	case oidText, pgtype.VarcharOID, pgtype.JSONOID:
		return []byte(formatText(value, oid)), nil
	}

	typed, err := typedValue(value, oid)
	if err != nil {
		return nil, err
	}

	typeMapMu.Lock()
	defer typeMapMu.Unlock()

	return typeMap().Encode(oid, format, typed, nil)
}

func formatText(value any, oid uint32) string {
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

		return value.UTC().Format(timestampLayout)
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

// typedValue converts a value to the Go type that the binary encoder of the given type takes.
func typedValue(value any, oid uint32) (any, error) {
	formatted := formatText(value, oid)

	switch oid {
	case pgtype.BoolOID:
		return parseBool(formatted)
	case oidInt8:
		return strconv.ParseInt(formatted, 10, 64)
	case pgtype.Float8OID:
		return strconv.ParseFloat(formatted, 64)
	case pgtype.ByteaOID:
		if raw, ok := value.([]byte); ok {
			return raw, nil
		}

		return []byte(formatted), nil
	}

	typeMapMu.Lock()
	defer typeMapMu.Unlock()

	known, ok := typeMap().TypeForOID(oid)
	if !ok {
		return nil, errorf(stateNotSupported, "no binary form for type %d", oid)
	}

	return known.Codec.DecodeValue(typeMap(), oid, pgproto3.TextFormat, []byte(formatted))
}

func parseIntOrZero(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// decodeValue converts a parameter in wire format to a value that SQLite accepts.
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

	typeMapMu.Lock()
	defer typeMapMu.Unlock()

	known, ok := typeMap().TypeForOID(oid)
	if !ok {
		return nil, errorf(stateNotSupported, "no binary form for type %d", oid)
	}

	value, err := known.Codec.DecodeDatabaseSQLValue(typeMap(), oid, format, raw)
	if err != nil {
		return nil, errorf("22P03", "incorrect binary data format in bind parameter: %v", err)
	}

	switch value := value.(type) {
	case bool:
		return boolToInt(value), nil
	case time.Time:
		return formatText(value, oid), nil
	default:
		return value, nil
	}
}

func boolToInt(value bool) int64 {
	if value {
		return 1
	}

	return 0
}

// normaliseTime returns a time in the layout in which the stand-in stores times, because SQLite compares them as text.
func normaliseTime(raw string, oid uint32) string {
	for _, layout := range []string{timestampLayout, "2006-01-02 15:04:05.999999Z07:00", time.RFC3339Nano, time.DateTime} {
		if at, err := time.Parse(layout, raw); err == nil {
			return formatText(at, oid)
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

		return boolToInt(on), err
	case pgtype.Int2OID, pgtype.Int4OID, oidInt8, pgtype.OIDOID:
		var n int64
		if n, err = strconv.ParseInt(strings.TrimSpace(raw), 10, 64); err == nil {
			return n, nil
		}
	case pgtype.TimestamptzOID, pgtype.TimestampOID:
		return normaliseTime(raw, oid), nil
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
