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

// ErrStale says that an update can't be applied to the present view; the proxy must ask for a full one.
var ErrStale = errors.New("update does not follow the present view")

//nolint:gochecknoglobals // The table is constant.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Picture is a view together with the text of its settings, which updates are based on.
type Picture struct {
	View     *registry.View
	Settings []byte
}

// Full returns the update that replaces any picture by this one.
func Full(to Picture) *controlpb.Update {
	update := &controlpb.Update{
		Version: to.View.Version, Full: true, Configuration: to.View.ConfigurationNumber, Settings: to.Settings,
	}
	addChanges(update, &registry.View{}, to.View)

	return update
}

// Delta returns the update that turns one picture into a later one.
func Delta(from, to Picture) (*controlpb.Update, error) {
	update := &controlpb.Update{Version: to.View.Version, Configuration: to.View.ConfigurationNumber}
	addChanges(update, from.View, to.View)

	if from.View.ConfigurationNumber == to.View.ConfigurationNumber {
		return update, nil
	}

	patch, err := jsonpatch.CreateMergePatch(orEmpty(from.Settings), orEmpty(to.Settings))
	if err != nil {
		return nil, eris.Wrap(err, "difference of settings")
	}

	merged, err := merge(from.Settings, patch)
	if err != nil {
		return nil, err
	}

	update.Patch = patch
	update.PatchBase = from.View.ConfigurationNumber
	update.Checksum = crc32.Checksum(merged, castagnoli)

	return update, nil
}

// Apply returns the picture after an update. An update that is older than the picture changes nothing, so that a
// proxy never goes back.
func Apply(present Picture, update *controlpb.Update) (Picture, error) {
	if present.View != nil && update.GetVersion() <= present.View.Version {
		return present, nil
	}

	base := present
	if update.GetFull() {
		base = Picture{View: &registry.View{}}
	} else if present.View == nil {
		return present, ErrStale
	}

	next := &registry.View{
		Version: update.GetVersion(), ConfigurationNumber: update.GetConfiguration(), Running: base.View.Running,
		Groups: base.View.Groups, Servers: base.View.Servers, Proxies: base.View.Proxies,
	}

	text, err := applySettings(base, update)
	if err != nil {
		return present, err
	}

	if len(text) > 0 && update.GetConfiguration() != base.View.ConfigurationNumber {
		next.Running = settings.Defaults()
		if err := json.Unmarshal(text, &next.Running); err != nil {
			return present, eris.Wrap(err, "settings of update")
		}
	}

	if err := applyChanges(next, update); err != nil {
		return present, err
	}

	return Picture{View: next, Settings: text}, nil
}

func applySettings(base Picture, update *controlpb.Update) ([]byte, error) {
	switch {
	case update.GetFull():
		return update.GetSettings(), nil
	case len(update.GetPatch()) == 0:
		if update.GetConfiguration() != base.View.ConfigurationNumber {
			return nil, ErrStale
		}

		return base.Settings, nil
	case update.GetPatchBase() != base.View.ConfigurationNumber:
		return nil, ErrStale
	}

	merged, err := merge(base.Settings, update.GetPatch())
	if err != nil {
		return nil, err
	}

	if crc32.Checksum(merged, castagnoli) != update.GetChecksum() {
		return nil, ErrStale
	}

	return merged, nil
}

// orEmpty returns the empty JSON object for the settings of a system that has no configuration yet.
func orEmpty(text []byte) []byte {
	if len(text) == 0 {
		return []byte("{}")
	}

	return text
}

func merge(text, patch []byte) ([]byte, error) {
	merged, err := jsonpatch.MergePatch(orEmpty(text), patch)
	if err != nil {
		return nil, eris.Wrap(err, "patch of settings")
	}

	return settings.Canonical(merged) //nolint:wrapcheck // It says what failed.
}

// addChanges fills in everything in which two views differ. Groups are never removed.
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

// applyChanges replaces each map that an update changes by a changed copy.
func applyChanges(next *registry.View, update *controlpb.Update) error {
	if len(update.GetGroups()) > 0 || next.Groups == nil {
		next.Groups = cloned(next.Groups)
		for _, message := range update.GetGroups() {
			next.Groups[message.GetName()] = GroupOf(message)
		}
	}

	if len(update.GetServers())+len(update.GetRemovedServers()) > 0 || next.Servers == nil {
		next.Servers = cloned(next.Servers)

		for _, message := range update.GetServers() {
			server, err := ServerOf(message)
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
		next.Proxies = cloned(next.Proxies)

		for _, message := range update.GetProxies() {
			proxy, err := ProxyOf(message)
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

func cloned[T any](from map[string]T) map[string]T {
	if from == nil {
		return make(map[string]T)
	}

	return maps.Clone(from)
}
