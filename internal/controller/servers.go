package controller

import (
	"sync"

	"almondgrade/core/registry"
)

// groupServers is an index of the servers of the latest view by group. Each worker uses only the servers of its own group;
// without the index it would go through the servers of all groups, and the total work would grow with the square of the
// number of groups.
type groupServers struct {
	mutex   sync.Mutex
	view    *registry.View
	byGroup map[string][]registry.Server
}

// latest returns the latest view and its servers by group, which callers must not change. The view is loaded under the
// lock, so that callers that waited for the lock share one index instead of building one for each old view.
func (s *groupServers) latest(load func() *registry.View) (*registry.View, map[string][]registry.Server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	view := load()
	if s.view != view {
		s.view = view
		s.byGroup = make(map[string][]registry.Server, len(view.Groups))

		for _, server := range view.Servers {
			s.byGroup[server.Group] = append(s.byGroup[server.Group], server)
		}
	}

	return s.view, s.byGroup
}
