package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"almondgrade/core/settings"
	"almondgrade/io/control/controlpb"
	"almondgrade/io/operator"
)

// status shows the replicated state.
type status struct {
	console
	targetOptions

	JSON     bool     `long:"json" description:"Print the whole answer as JSON"`
	Settings bool     `long:"settings" description:"Print only the running configuration, in the form that apply reads; it holds the users' verifiers"`
	Compare  []string `long:"compare" value-name:"FILE" description:"Base file and overlays, in order; print how the running configuration differs from theirs"`
}

func addStatus(parser *flags.Parser, output console) error {
	return addCommand(parser, "status", "Show groups, backend servers, proxies and control",
		"Shows the replicated state as a quorum of control confirms it. BEHIND counts log entries that a process "+
			"has not received yet; a proxy has applied a change once its CONFIGURATION is the change's number or later.\n\n"+
			"Exit codes: 0 shown, 1 faults in the files to compare, 2 wrong command line, 3 refused, 4 no answer.\n\n"+
			"Example:\n"+
			"almondgrade status --address 127.0.0.1:7301\n"+
			"almondgrade status --address 127.0.0.1:7301 --json",
		&status{console: output})
}

// Execute implements flags.Commander.
func (s *status) Execute([]string) error {
	var (
		files *settings.Loaded
		err   error
	)

	if len(s.Compare) > 0 {
		files, err = settings.Load(s.Compare[0], s.Compare[1:]...)
		if err != nil {
			return err //nolint:wrapcheck // Faults are complete messages.
		}
	}

	client, err := s.newClient()
	if err != nil {
		return err
	}

	reply, err := client.Status(context.Background())
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}

	switch {
	case s.JSON:
		return s.printJSON(reply)
	case s.Settings:
		return s.printSettings(reply)
	case files != nil:
		return s.printDifference(files, reply)
	default:
		return s.printTables(reply)
	}
}

func (s *status) printJSON(reply *controlpb.StatusReply) error {
	data, err := operator.Encode(reply)
	if err != nil {
		return err //nolint:wrapcheck // The error carries a code.
	}

	return s.printIndented(data)
}

func (s *status) printIndented(data []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}

	return s.print("%s\n", strings.TrimSpace(indented.String()))
}

func (s *status) printSettings(reply *controlpb.StatusReply) error {
	if len(reply.GetSettings()) == 0 {
		return errors.New("the system has no running configuration yet")
	}

	return s.printIndented(reply.GetSettings())
}

func (s *status) printDifference(files *settings.Loaded, reply *controlpb.StatusReply) error {
	var running settings.Running
	if err := json.Unmarshal(reply.GetSettings(), &running); err != nil {
		return fmt.Errorf("read the running configuration: %w", err)
	}

	difference := settings.Difference(files.Settings.Running, running)
	if difference == "" {
		difference = "the running configuration is that of the files\n"
	}

	return s.print("%s", difference)
}

// tableWriter collects the rows of one table and an error of writing them.
type tableWriter struct {
	out *tabwriter.Writer
	err error
}

func (t *tableWriter) addRow(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}

		texts = append(texts, text)
	}

	if _, err := fmt.Fprintln(t.out, strings.Join(texts, "\t")); err != nil {
		t.err = err
	}
}

func (s *status) printTables(reply *controlpb.StatusReply) error {
	err := s.print("configuration %d by %s, log version %d, leader %s\n", reply.GetConfiguration(), reply.GetAuthor(),
		reply.GetVersion(), reply.GetLeader())
	if err != nil {
		return err
	}

	for _, fill := range []func(*tableWriter, *controlpb.StatusReply){addGroupRows, addServerRows, addProxyRows, addMemberRows} {
		rows := &tableWriter{out: tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)}

		if err := s.print("\n"); err != nil {
			return err
		}

		fill(rows, reply)

		if err := errors.Join(rows.err, rows.out.Flush()); err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}

	return nil
}

func addGroupRows(rows *tableWriter, reply *controlpb.StatusReply) {
	rows.addRow("GROUP", "TERM", "PRIMARY", "PHASE", "COORDINATOR", "EPOCH", "MEMBERS")

	for _, group := range reply.GetGroups() {
		phase := group.GetPhase()
		if group.GetCandidate() != "" {
			phase += " to " + group.GetCandidate()
		}

		members := strings.Join(group.GetMembers(), ",")
		if len(group.GetPrevious()) > 0 {
			members += " (before: " + strings.Join(group.GetPrevious(), ",") + ")"
		}

		rows.addRow(group.GetName(), group.GetTerm(), group.GetPrimary(), phase, group.GetCoordinator(), group.GetEpoch(),
			members)
	}
}

func addServerRows(rows *tableWriter, reply *controlpb.StatusReply) {
	rows.addRow("SERVER", "GROUP", "ADDRESS", "CENTRE", "ROLE", "SLOTS", "CONNECTIONS", "STATE")

	for _, server := range reply.GetServers() {
		role, state := "primary", "in service"
		if server.GetRecovery() {
			role = "replica"
		}

		if server.GetLeaving() {
			state = "leaving"
		}

		rows.addRow(server.GetName(), server.GetGroup(), server.GetAddress(), server.GetCentre(), role, server.GetSlots(),
			server.GetConnections(), state)
	}
}

func addProxyRows(rows *tableWriter, reply *controlpb.StatusReply) {
	rows.addRow("PROXY", "PEER", "CENTRE", "CONFIGURATION", "BEHIND", "RENEWED", "STATE")

	for _, proxy := range reply.GetProxies() {
		state := "live"

		switch {
		case !proxy.GetLive():
			state = "gone"
		case proxy.GetProxy().GetDraining():
			state = "draining"
		}

		rows.addRow(proxy.GetProxy().GetName(), proxy.GetProxy().GetPeer(), proxy.GetProxy().GetCentre(),
			proxy.GetConfiguration(), entriesBehind(reply.GetVersion(), proxy.GetVersion()),
			(time.Duration(proxy.GetRenewedMillisAgo())*time.Millisecond).String()+" ago", state)
	}
}

func addMemberRows(rows *tableWriter, reply *controlpb.StatusReply) {
	rows.addRow("CONTROL", "ADDRESS", "ROLE", "BEHIND")

	for _, member := range reply.GetMembers() {
		role := "voter"

		switch {
		case member.GetName() == reply.GetLeader():
			role = "leader"
		case !member.GetVoter():
			role = "learner"
		}

		rows.addRow(member.GetName(), member.GetAddress(), role, entriesBehind(reply.GetVersion(), member.GetMatch()))
	}
}

// entriesBehind returns the number of log entries by which a version is behind the latest one, or zero.
func entriesBehind(latest, own uint64) uint64 {
	if own >= latest {
		return 0
	}

	return latest - own
}
