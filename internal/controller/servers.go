package controller

import (
	"sync"

	"almondgrade/core/registry"
)

// groupServers holds the servers of each group of the latest view. Workers look at their own group only; without
// the index each would go through the servers of all groups, work that grows with the square of the groups.
type groupServers struct {
	mutex   sync.Mutex
	view    *registry.View
	byGroup map[string][]registry.Server
}

// latest returns the latest view and its servers by group, which callers must not change. The view is loaded under
// the lock, so that callers who have waited for it share one index instead of building one for each old view.
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
