package topology

// maxRecent is the number of configurations that RecentConfigurations keeps. A proxy that has missed more changes gets
// the whole configuration.
const maxRecent = 16

// RecentConfigurations keeps the last configurations, without their documents, and the deltas from them to the newest
// one. It is not safe for concurrent use. The zero value is empty.
//
// It is built for small changes to a configuration of thousands of pools that must reach hundreds of proxies over slow
// links.
type RecentConfigurations struct {
	// list is in ascending order of number.
	list   []*Configuration
	deltas map[uint64]*ConfigurationDelta
}

// Record adds a configuration unless it is older than the newest one.
func (r *RecentConfigurations) Record(configuration Configuration) {
	if last := len(r.list) - 1; configuration.Number == 0 || last >= 0 && r.list[last].Number >= configuration.Number {
		return
	}

	configuration.Document = nil
	r.list, r.deltas = append(r.list, &configuration), nil

	if len(r.list) > maxRecent {
		r.list = append([]*Configuration(nil), r.list[len(r.list)-maxRecent:]...)
	}
}

// Delta returns the difference between the configuration with the given number and the newest one. It returns nil if
// the number is not kept, or if a delta can't express the difference.
func (r *RecentConfigurations) Delta(from uint64) *ConfigurationDelta {
	if delta, known := r.deltas[from]; known {
		return delta
	}

	var delta *ConfigurationDelta

	for _, base := range r.list {
		if base.Number == from {
			delta, _ = r.list[len(r.list)-1].DeltaFrom(base)
		}
	}

	if r.deltas == nil {
		r.deltas = make(map[uint64]*ConfigurationDelta)
	}

	r.deltas[from] = delta

	return delta
}

// Newest returns the newest configuration, or nil.
func (r *RecentConfigurations) Newest() *Configuration {
	if len(r.list) == 0 {
		return nil
	}

	return r.list[len(r.list)-1]
}
