package control_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"almondgrade/core/position"
	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/io/control"
	"almondgrade/io/control/controlpb"
)

// Guards against a proxy whose view differs from control's after a sequence of updates in which some are missing,
// repeated or late. Random commands of the real state machine produce the states.
func TestDeltasReproduceTheState(t *testing.T) {
	t.Parallel()

	updates := 0

	rapid.Check(t, func(t *rapid.T) {
		state := registry.NewState()

		var (
			proxy, sent control.ViewState
			delayed     *controlpb.Update
		)

		for index := uint64(1); index <= 40; index++ {
			encoded, err := drawCommand(t, state.View()).Encode()
			require.NoError(t, err)
			state.Apply(index, encoded)

			if rapid.Bool().Draw(t, "skip") {
				continue
			}

			current := control.ViewState{View: state.View(), Settings: state.View().Settings}
			update := control.FullUpdate(current)

			if sent.View != nil {
				update, err = control.DeltaUpdate(sent, current)
				require.NoError(t, err)
			}

			sent = current
			updates++

			proxy, err = control.ApplyUpdate(proxy, roundTrip(t, update))
			require.NoError(t, err)
			assertSameView(t, current.View, proxy.View)

			if delayed != nil {
				// An update that arrives late must not restore an older view.
				after, err := control.ApplyUpdate(proxy, delayed)
				require.NoError(t, err)
				assert.Same(t, proxy.View, after.View)
			}

			delayed = update
		}
	})
	assert.Positive(t, updates)
}

// Guards against a patch of settings that is applied to a configuration on which it is not based.
func TestPatchOfAnotherBaseIsRefused(t *testing.T) {
	t.Parallel()

	state := registry.NewState()
	states := []control.ViewState{}

	for number := range uint64(3) {
		running := settings.Defaults()
		running.Pools[fmt.Sprintf("pool%d", number)] = settings.Pool{Groups: []string{"g"}}
		text, err := json.Marshal(running)
		require.NoError(t, err)
		encoded, err := registry.Command{Configure: &registry.Configure{
			ID: fmt.Sprint(number), BaseNumber: number, Settings: text,
		}}.Encode()
		require.NoError(t, err)
		state.Apply(number+1, encoded)
		states = append(states, control.ViewState{View: state.View(), Settings: state.View().Settings})
	}

	update, err := control.DeltaUpdate(states[1], states[2])
	require.NoError(t, err)

	first, err := control.ApplyUpdate(control.ViewState{}, control.FullUpdate(states[0]))
	require.NoError(t, err)
	_, err = control.ApplyUpdate(first, update)
	require.ErrorIs(t, err, control.ErrBaseMismatch)

	update.PatchBase = 1
	_, err = control.ApplyUpdate(first, update)
	require.ErrorIs(t, err, control.ErrBaseMismatch)
}

// roundTrip encodes and decodes an update.
func roundTrip(t *rapid.T, update *controlpb.Update) *controlpb.Update {
	data, err := proto.Marshal(update)
	require.NoError(t, err)

	decoded := &controlpb.Update{}
	require.NoError(t, proto.Unmarshal(data, decoded))

	return decoded
}

func assertSameView(t *rapid.T, want, got *registry.View) {
	assert.Equal(t, want.Version, got.Version)
	assert.Equal(t, want.ConfigurationNumber, got.ConfigurationNumber)
	assert.Equal(t, want.Servers, got.Servers)
	assert.Equal(t, want.Proxies, got.Proxies)

	if want.ConfigurationNumber > 0 {
		assert.Equal(t, want.Running, got.Running)
	}

	require.Len(t, got.Groups, len(want.Groups))

	for name, group := range want.Groups {
		assert.True(t, proto.Equal(control.GroupMessage(group), control.GroupMessage(got.Groups[name])), name)
	}
}

func drawCommand(t *rapid.T, view *registry.View) registry.Command {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	group := rapid.SampledFrom([]string{"g", "h"})
	present := view.Groups[group.Draw(t, "present")]

	switch rapid.IntRange(0, 8).Draw(t, "command") {
	case 0:
		running := settings.Defaults()
		running.Pools[name.Draw(t, "pool")] = settings.Pool{Groups: []string{group.Draw(t, "group")}, Database: "<d>"}
		text, _ := json.Marshal(running)

		return registry.Command{Configure: &registry.Configure{
			ID: fmt.Sprint(view.Version), BaseNumber: view.ConfigurationNumber, Settings: text,
		}}
	case 1, 2:
		return registry.Command{Announce: &registry.Announce{Server: registry.Server{
			Name: name.Draw(t, "name"), Group: group.Draw(t, "group"), Address: netip.MustParseAddrPort("127.0.0.1:1"),
			Identity: "i", Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Slots: 5,
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}}}
	case 3:
		return registry.Command{ForgetServer: &registry.ForgetServer{
			Server: name.Draw(t, "name"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		}}
	case 4:
		return registry.Command{JoinProxy: &registry.JoinProxy{Proxy: registry.Proxy{
			Name: name.Draw(t, "proxy"), Instance: rapid.Uint64Range(1, 2).Draw(t, "instance"),
			Peer: netip.MustParseAddrPort("127.0.0.1:2"),
		}}}
	case 5:
		return registry.Command{RemoveProxy: &registry.RemoveProxy{Proxy: name.Draw(t, "proxy"), Instance: 1}}
	case 6:
		return registry.Command{Bootstrap: &registry.Bootstrap{Group: present.Name, Primary: name.Draw(t, "primary")}}
	case 7:
		return registry.Command{ChangeMembers: &registry.ChangeMembers{
			Group: present.Name, Term: present.Term, Add: name.Draw(t, "add"), Identity: "i",
		}}
	default:
		return registry.Command{Fence: &registry.Fence{
			Group: present.Name, Term: present.Term + position.Term(rapid.IntRange(0, 1).Draw(t, "off")),
		}}
	}
}
