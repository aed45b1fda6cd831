package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Fault is a request to inject a fault, as POST /fault of the HTTP interface accepts it. Kind is one of:
//
//	stop, start       stop the server abruptly, as the loss of its VM does; start it again
//	freeze, thaw      accept connections but send no responses; respond again
//	cut, heal         stall traffic with Peer (a prefix of application names) in Direction (in, out, both); end
//	                  every stall
//	lose              drop all traffic on the connections that are open now, permanently
//	lose_answers      drop the responses on open connections from Peer permanently; requests still arrive and run
//	lag               set the replay lag to Delay
//	receive_delay     set the receive delay to Delay
//	lose_disk         restart without data
//	leave, stay       announce that the member is about to leave, or that it stays
//	limits            set the limits Slots and Connections; zero keeps a limit
type Fault struct {
	Kind        string    `json:"kind"`
	Peer        string    `json:"peer,omitempty"`
	Direction   Direction `json:"direction,omitempty"`
	Delay       string    `json:"delay,omitempty"`
	Slots       int       `json:"slots,omitempty"`
	Connections int       `json:"connections,omitempty"`
}

// Inject injects a fault.
func (m *Member) Inject(fault Fault) error {
	delay, err := time.ParseDuration(orDefault(fault.Delay, "0"))
	if err != nil {
		return fmt.Errorf("fault %q: delay: %w", fault.Kind, err)
	}

	switch fault.Direction {
	case "":
		fault.Direction = Both
	case In, Out, Both:
	default:
		return fmt.Errorf("fault %q: direction %q is not in, out or both", fault.Kind, fault.Direction)
	}

	inject, ok := map[string]func() error{
		"stop":          m.Stop,
		"start":         m.Start,
		"lose_disk":     m.LoseDisk,
		"freeze":        func() error { m.Freeze(); return nil },
		"thaw":          func() error { m.Thaw(); return nil },
		"cut":           func() error { m.Cut(fault.Peer, fault.Direction); return nil },
		"heal":          func() error { m.Heal(); return nil },
		"lose":          func() error { m.LoseConnections(); return nil },
		"lose_answers":  func() error { m.LoseAnswers(fault.Peer); return nil },
		"lag":           func() error { m.SetLag(delay); return nil },
		"receive_delay": func() error { m.SetReceiveDelay(delay); return nil },
		"leave":         func() error { m.SetLeaving(true); return nil },
		"stay":          func() error { m.SetLeaving(false); return nil },
		"limits":        func() error { m.SetLimits(fault.Slots, fault.Connections); return nil },
	}[fault.Kind]
	if !ok {
		return fmt.Errorf("unknown fault %q", fault.Kind)
	}

	return inject()
}

// serveFaults serves POST /fault and GET /status if Options.FaultAddress is set.
func (m *Member) serveFaults() error {
	if m.options.FaultAddress == "" {
		return nil
	}

	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		if err := m.Inject(fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}

		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Status())
	})

	var config net.ListenConfig

	listener, err := config.Listen(context.Background(), "tcp", m.options.FaultAddress)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", m.options.FaultAddress)
	}

	m.faultServer = &http.Server{Handler: mux, ReadHeaderTimeout: startupTimeout}

	go func() {
		if err := m.faultServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			m.options.Logger.Error("fault injection HTTP server ended", "error", err)
		}
	}()

	return nil
}
