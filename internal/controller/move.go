package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/timer"
	"almondgrade/io/backend"
)

// prepareMove makes the primary refuse new writes and returns the first member that has received everything the primary
// holds.
func (w *worker) prepareMove(ctx context.Context, view *registry.View, group registry.Group) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()

	replicas := w.openReplicas(ctx, view, group)

	defer func() {
		for _, admin := range replicas {
			admin.Close()
		}
	}()

	if len(replicas) == 0 {
		return "", eris.New("no replica that stays can be reached")
	}

	primary, err := w.lead.controller.openAdmin(ctx, view.Servers[group.Primary])
	if err != nil {
		return "", err
	}
	defer primary.Close()

	if err := primary.SetReadOnly(ctx, true); err != nil {
		return "", err //nolint:wrapcheck // The error names the statement.
	}

	for {
		// Open transactions may still write after new ones have become read-only, so the end of the log is read each time.
		seen, err := primary.Observe(ctx)
		if err != nil {
			return "", err //nolint:wrapcheck // The error names the statement.
		}

		if target := findCaughtUp(ctx, replicas, seen.InsertLSN); target != "" {
			return target, nil
		}

		if err := timer.Sleep(ctx, 10*time.Millisecond); err != nil {
			return "", eris.Wrapf(err, "no replica reached %s", seen.InsertLSN)
		}
	}
}

// openReplicas connects to the members that may become the primary.
func (w *worker) openReplicas(ctx context.Context, view *registry.View, group registry.Group) map[string]*backend.Admin {
	opened := make(map[string]*backend.Admin)

	for _, name := range group.Members {
		server, found := view.Servers[name]
		if !found || name == group.Primary || server.Leaving || server.Identity != group.MemberIdentities[name] {
			continue
		}

		if admin, err := w.lead.controller.openAdmin(ctx, server); err == nil {
			opened[name] = admin
		}
	}

	return opened
}

func findCaughtUp(ctx context.Context, replicas map[string]*backend.Admin, end position.LSN) string {
	for name, admin := range replicas {
		if seen, err := admin.Observe(ctx); err == nil && seen.InRecovery && seen.ReceivedLSN >= end {
			return name
		}
	}

	return ""
}

// allowWrites makes a primary accept writes again after a planned move was abandoned.
func (w *worker) allowWrites(ctx context.Context, server registry.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	admin, err := w.lead.controller.openAdmin(ctx, server)
	if err != nil {
		return
	}
	defer admin.Close()

	if err := admin.SetReadOnly(ctx, false); err != nil {
		w.lead.controller.options.Logger.Warn("allowing writes again failed; the primary still refuses new writes", "server", server.Name, "error", err)
	}
}
