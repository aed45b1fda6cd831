package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"almondgrade/internal/standin"
)

type queryCommand struct {
	Address     string        `long:"address" required:"true" description:"address to connect to"`
	Database    string        `long:"database" default:"app" description:"database, POOL or POOL.GROUP for a proxy"`
	User        string        `long:"user" default:"app" description:"user"`
	Password    string        `long:"password" description:"password"`
	Application string        `long:"application" default:"query" description:"application_name"`
	ScriptFile  string        `long:"file" description:"script to run; - for the standard input"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"time for the whole run"`
	Arguments   struct {
		SQL []string `positional-arg-name:"SQL"`
	} `positional-args:"true"`

	out io.Writer
}

func querySubcommand() subcommand {
	return subcommand{
		name: "query", short: "Run SQL against an address",
		long: "Runs one statement or a script, statement by statement on one connection, and prints rows, command " +
			"tags and notices. It stops at the first error.",
		command: &queryCommand{out: os.Stdout},
	}
}

// Execute implements flags.Commander.
func (c *queryCommand) Execute([]string) error {
	script, err := c.readScript()
	if err != nil {
		return err
	}

	host, port, err := net.SplitHostPort(c.Address)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}

	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return fmt.Errorf("--address: %w", err)
	}

	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return err
	}

	config.Host, config.Port, config.Fallbacks = host, uint16(portNumber), nil
	config.User, config.Password, config.Database = c.User, c.Password, c.Database
	config.RuntimeParams = map[string]string{"application_name": c.Application}
	config.OnNotice = func(_ *pgconn.PgConn, notice *pgconn.Notice) {
		_, _ = fmt.Fprintf(c.out, "%s %s: %s\n", notice.Severity, notice.Code, notice.Message)
	}

	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()

	conn, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()

	for _, statement := range standin.SplitStatements(script) {
		if err := runStatement(ctx, conn, statement, c.out); err != nil {
			return err
		}
	}

	return nil
}

func (c *queryCommand) readScript() (string, error) {
	switch c.ScriptFile {
	case "":
		if len(c.Arguments.SQL) == 0 {
			return "", errors.New("either a statement or --file is required")
		}

		return strings.Join(c.Arguments.SQL, " "), nil
	case "-":
		content, err := io.ReadAll(os.Stdin)
		return string(content), err
	default:
		content, err := os.ReadFile(c.ScriptFile)
		return string(content), err
	}
}

// runStatement prints rows as they arrive, with tabs between the columns.
func runStatement(ctx context.Context, conn *pgconn.PgConn, statement string, out io.Writer) error {
	results := conn.Exec(ctx, statement)

	for results.NextResult() {
		reader := results.ResultReader()
		printFields(out, reader.FieldDescriptions())

		for reader.NextRow() {
			row := make([]string, len(reader.Values()))

			for i, value := range reader.Values() {
				row[i] = "NULL"
				if value != nil {
					row[i] = string(value)
				}
			}

			_, _ = fmt.Fprintln(out, strings.Join(row, "\t"))
		}

		tag, err := reader.Close()
		if err != nil {
			return errors.Join(err, results.Close())
		}

		_, _ = fmt.Fprintf(out, "(%s)\n", tag)
	}

	return results.Close()
}

func printFields(out io.Writer, fields []pgconn.FieldDescription) {
	if len(fields) == 0 {
		return
	}

	names := make([]string, len(fields))
	for i, field := range fields {
		names[i] = field.Name
	}

	_, _ = fmt.Fprintln(out, strings.Join(names, "\t"))
}
