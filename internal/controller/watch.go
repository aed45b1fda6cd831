package controller

import (
	"context"
	"errors"
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"almondgrade/core/registry"
	"almondgrade/core/result"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

// updateCache shares the update from one picture to the latest among all streams. Most streams have the same picture, so
// that the work for a change does not grow with the number of proxies.
type updateCache struct {
	mutex  sync.Mutex
	to     uint64
	deltas map[uint64]*controlpb.Update
}

// delta returns the update from one picture to another. Callers must not change it.
func (u *updateCache) delta(from, to control.ViewState) (*controlpb.Update, error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()

	if u.to != to.View.Version {
		u.to = to.View.Version
		u.deltas = make(map[uint64]*controlpb.Update)
	}

	base := uint64(0)
	if from.View != nil {
		base = from.View.Version
	}

	if cached, found := u.deltas[base]; found {
		return cached, nil
	}

	var (
		update *controlpb.Update
		err    error
	)

	if from.View == nil {
		update = control.FullUpdate(to)
	} else {
		update, err = control.DeltaUpdate(from, to)
	}

	if err == nil {
		u.deltas[base] = update
	}

	return update, err
}

// Watch implements the Control service.
func (c *Controller) Watch(stream controlpb.Control_WatchServer) error {
	lead, err := c.currentLeadership()
	if err != nil {
		return statusOf(err)
	}

	watch := &watchStream{controller: c, lead: lead, stream: stream}

	return statusOf(watch.run())
}

// watchStream is the Watch stream of one proxy.
type watchStream struct {
	controller *Controller
	lead       *leadership
	stream     controlpb.Control_WatchServer
	// sent is the picture that the proxy has once it has received everything that was sent.
	sent  control.ViewState
	proxy registry.Proxy
}

func (w *watchStream) run() error {
	ctx, cancel := context.WithCancelCause(w.stream.Context())
	defer cancel(nil)

	renewals := make(chan *controlpb.Renew)

	go func() {
		for {
			renew, err := w.stream.Recv()
			if err != nil {
				cancel(err)

				return
			}

			select {
			case renewals <- renew:
			case <-ctx.Done():
				return
			}
		}
	}()

	for {
		changed := w.controller.options.Log.Changed()

		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-w.lead.ctx.Done():
			return result.New(result.NoQuorum, "this control process no longer leads")
		case renew := <-renewals:
			if err := w.answerRenewal(ctx, renew); err != nil {
				return err
			}
		case <-changed:
			if err := w.sendChanges(); err != nil {
				return err
			}
		}
	}
}

// answerRenewal answers a lease renewal with the current state. The leadership is confirmed after the renewal arrived.
func (w *watchStream) answerRenewal(ctx context.Context, renew *controlpb.Renew) error {
	proxy, err := control.ProxyFromMessage(renew.GetProxy())
	if err != nil {
		return result.New(result.Protocol, "renewal: %w", err)
	}

	number, err := w.joinProxy(ctx, proxy)
	if err != nil {
		return err
	}

	w.proxy = proxy
	w.lead.recordRenewal(proxy, renew.GetVersion(), renew.GetConfiguration())

	if err := w.controller.confirmLeadership(ctx); err != nil {
		return err
	}

	if renew.GetFull() {
		w.sent = control.ViewState{}
	}

	return w.sendUpdate(renew.GetSequence(), number, uint64(w.lead.leaseDuration().Milliseconds()))
}

// joinProxy records the proxy in the log, unless the log already has it unchanged, and returns the proxy's number.
func (w *watchStream) joinProxy(ctx context.Context, proxy registry.Proxy) (uint32, error) {
	known, found := w.controller.view().Proxies[proxy.Name]
	unchanged := found && known.Instance == proxy.Instance && known.Peer == proxy.Peer &&
		known.Centre == proxy.Centre && (known.Draining || !proxy.Draining)

	if unchanged {
		return known.Number, nil
	}

	answer, err := w.controller.propose(ctx, registry.Command{JoinProxy: &registry.JoinProxy{Proxy: proxy}})
	if err != nil {
		return 0, err
	}

	return uint32(answer.Number), answer.Err()
}

// sendChanges sends the changes since the last update, if the proxy has received a first update.
func (w *watchStream) sendChanges() error {
	if w.sent.View == nil || w.controller.view().Version == w.sent.View.Version {
		return nil
	}

	return w.sendUpdate(0, 0, 0)
}

func (w *watchStream) sendUpdate(sequence uint64, number uint32, leaseMillis uint64) error {
	next := w.controller.picture()

	shared, err := w.controller.updateCache.delta(w.sent, next)
	if err != nil {
		return err
	}

	update := &controlpb.Update{
		Sequence: sequence, Number: number, LeaseMillis: leaseMillis,
		Version: shared.GetVersion(), Full: shared.GetFull(), Configuration: shared.GetConfiguration(),
		Settings: shared.GetSettings(), Groups: shared.GetGroups(), Servers: shared.GetServers(),
		Proxies: shared.GetProxies(), RemovedServers: shared.GetRemovedServers(),
		RemovedProxies: shared.GetRemovedProxies(), Patch: shared.GetPatch(), PatchBase: shared.GetPatchBase(),
		Checksum: shared.GetChecksum(),
	}

	w.sent = next

	return w.stream.Send(update) //nolint:wrapcheck // The stream ends with this error.
}

// picture returns the current view together with the text of its settings.
func (c *Controller) picture() control.ViewState {
	view := c.view()

	return control.ViewState{View: view, Settings: view.Settings}
}

// statusOf turns an error with a code into a gRPC status. A client reads the leader's address from the message of
// FailedPrecondition.
func statusOf(err error) error {
	var failure *result.Error

	if err == nil || !errors.As(err, &failure) {
		return err
	}

	switch failure.Code {
	case result.NotLeader:
		return status.Error(codes.FailedPrecondition, failure.Reason)
	case result.NoQuorum:
		return status.Error(codes.Unavailable, failure.Error())
	default:
		return status.Error(codes.InvalidArgument, failure.Error())
	}
}
