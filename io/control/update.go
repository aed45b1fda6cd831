package control

import (
	"encoding/json"
	"errors"
	"hash/crc32"
	"maps"
	"reflect"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rotisserie/eris"

	"almondgrade/core/registry"
	"almondgrade/core/settings"
	"almondgrade/io/control/controlpb"
)

// ErrBaseMismatch means that an update is based on another view than the current one. The proxy must request a full
// update.
var ErrBaseMismatch = errors.New("update is not based on the current view")

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ViewState is a view together with the JSON text of its settings, to which patches apply.
type ViewState struct {
	View     *registry.View
	Settings []byte
}

// FullUpdate returns the update that replaces any state by the given one.
func FullUpdate(to ViewState) *controlpb.Update {
	update := &controlpb.Update{
		Version: to.View.Version, Full: true, Configuration: to.View.ConfigurationNumber, Settings: to.Settings,
	}
	addChanges(update, &registry.View{}, to.View)

	return update
}

// DeltaUpdate returns the update that changes one state to a later one.
func DeltaUpdate(from, to ViewState) (*controlpb.Update, error) {
	update := &controlpb.Update{Version: to.View.Version, Configuration: to.View.ConfigurationNumber}
	addChanges(update, from.View, to.View)

	if from.View.ConfigurationNumber == to.View.ConfigurationNumber {
		return update, nil
	}

	patch, err := jsonpatch.CreateMergePatch(orEmptyObject(from.Settings), orEmptyObject(to.Settings))
	if err != nil {
		return nil, eris.Wrap(err, "create patch of settings")
	}

	merged, err := mergeSettings(from.Settings, patch)
	if err != nil {
		return nil, err
	}

	update.Patch = patch
	update.PatchBase = from.View.ConfigurationNumber
	update.Checksum = crc32.Checksum(merged, castagnoli)

	return update, nil
}

// ApplyUpdate returns the state after an update. An update that is not newer than the state changes nothing, so that a
// proxy never returns to an older view.
func ApplyUpdate(current ViewState, update *controlpb.Update) (ViewState, error) {
	if current.View != nil && update.GetVersion() <= current.View.Version {
		return current, nil
	}

	base := current
	if update.GetFull() {
		base = ViewState{View: &registry.View{}}
	} else if current.View == nil {
		return current, ErrBaseMismatch
	}

	next := &registry.View{
		Version: update.GetVersion(), ConfigurationNumber: update.GetConfiguration(), Running: base.View.Running,
		Groups: base.View.Groups, Servers: base.View.Servers, Proxies: base.View.Proxies,
	}

	text, err := applySettings(base, update)
	if err != nil {
		return current, err
	}

	if len(text) > 0 && update.GetConfiguration() != base.View.ConfigurationNumber {
		next.Running = settings.Defaults()
		if err := json.Unmarshal(text, &next.Running); err != nil {
			return current, eris.Wrap(err, "settings of update")
		}
	}

	if err := applyChanges(next, update); err != nil {
		return current, err
	}

	return ViewState{View: next, Settings: text}, nil
}

func applySettings(base ViewState, update *controlpb.Update) ([]byte, error) {
	switch {
	case update.GetFull():
		return update.GetSettings(), nil
	case len(update.GetPatch()) == 0:
		if update.GetConfiguration() != base.View.ConfigurationNumber {
			return nil, ErrBaseMismatch
		}

		return base.Settings, nil
	case update.GetPatchBase() != base.View.ConfigurationNumber:
		return nil, ErrBaseMismatch
	}

	merged, err := mergeSettings(base.Settings, update.GetPatch())
	if err != nil {
		return nil, err
	}

	if crc32.Checksum(merged, castagnoli) != update.GetChecksum() {
		return nil, ErrBaseMismatch
	}

	return merged, nil
}

// orEmptyObject returns the text, or an empty JSON object if there is none because the system has no configuration yet.
func orEmptyObject(text []byte) []byte {
	if len(text) == 0 {
		return []byte("{}")
	}

	return text
}

func mergeSettings(text, patch []byte) ([]byte, error) {
	merged, err := jsonpatch.MergePatch(orEmptyObject(text), patch)
	if err != nil {
		return nil, eris.Wrap(err, "apply patch of settings")
	}

	return settings.Canonical(merged) //nolint:wrapcheck // It says what failed.
}

// addChanges adds the differences between two views to an update. Groups are never removed.
func addChanges(update *controlpb.Update, from, to *registry.View) {
	for name, group := range to.Groups {
		if present, found := from.Groups[name]; !found || !reflect.DeepEqual(present, group) {
			update.Groups = append(update.Groups, GroupMessage(group))
		}
	}

	for name, server := range to.Servers {
		if present, found := from.Servers[name]; !found || present != server {
			update.Servers = append(update.Servers, ServerMessage(server))
		}
	}

	for name, proxy := range to.Proxies {
		if present, found := from.Proxies[name]; !found || present != proxy {
			update.Proxies = append(update.Proxies, ProxyMessage(proxy))
		}
	}

	for name := range from.Servers {
		if _, found := to.Servers[name]; !found {
			update.RemovedServers = append(update.RemovedServers, name)
		}
	}

	for name := range from.Proxies {
		if _, found := to.Proxies[name]; !found {
			update.RemovedProxies = append(update.RemovedProxies, name)
		}
	}
}

// applyChanges applies an update to a view. It replaces each map that the update changes by a changed copy, because
// earlier views share the maps.
func applyChanges(next *registry.View, update *controlpb.Update) error {
	if len(update.GetGroups()) > 0 || next.Groups == nil {
		next.Groups = cloneOrMake(next.Groups)
		for _, message := range update.GetGroups() {
			next.Groups[message.GetName()] = GroupFromMessage(message)
		}
	}

	if len(update.GetServers())+len(update.GetRemovedServers()) > 0 || next.Servers == nil {
		next.Servers = cloneOrMake(next.Servers)

		for _, message := range update.GetServers() {
			server, err := ServerFromMessage(message)
			if err != nil {
				return err
			}

			next.Servers[server.Name] = server
		}

		for _, name := range update.GetRemovedServers() {
			delete(next.Servers, name)
		}
	}

	if len(update.GetProxies())+len(update.GetRemovedProxies()) > 0 || next.Proxies == nil {
		next.Proxies = cloneOrMake(next.Proxies)

		for _, message := range update.GetProxies() {
			proxy, err := ProxyFromMessage(message)
			if err != nil {
				return err
			}

			next.Proxies[proxy.Name] = proxy
		}

		for _, name := range update.GetRemovedProxies() {
			delete(next.Proxies, name)
		}
	}

	return nil
}

func cloneOrMake[T any](from map[string]T) map[string]T {
	if from == nil {
		return make(map[string]T)
	}

	return maps.Clone(from)
}
