package topology

import (
	"slices"

	"almondgrade/core/result"
)

// AnnouncementVerdict says whether an announcement counts. Anybody may send one.
type AnnouncementVerdict uint8

// The verdicts. Their names are those of counters.
const (
	// AnnouncementCounts means that the announcement is the latest one of a server.
	AnnouncementCounts AnnouncementVerdict = iota
	// AnnouncementInvalid means that it can't be a server's, see Server.Validate.
	AnnouncementInvalid
	// AnnouncementOutdated means that a later one is known: it was repeated or delayed.
	AnnouncementOutdated
	// AnnouncementOfUnknownGroup means that no configuration names the group, and the server is not known as one of it. It counts from its
	// next announcement after a configuration has named the group.
	AnnouncementOfUnknownGroup
)

// String returns the name of the verdict.
func (a AnnouncementVerdict) String() string {
	switch a {
	case AnnouncementCounts:
		return "counted"
	case AnnouncementInvalid:
		return "invalid"
	case AnnouncementOutdated:
		return "outdated"
	case AnnouncementOfUnknownGroup:
		return "unknown_group"
	}

	return "unknown"
}

// KnownServer is what is known of the server that has the ID of an announcement. Each entry is nil if there is none.
type KnownServer struct {
	// Recorded is the announcement in the replicated state, Heard the latest one that the leader has heard.
	Recorded, Heard *Server
	// Withdrawn is the last announcement of the server before it was withdrawn.
	Withdrawn *Server
}

// JudgeAnnouncement decides whether an announcement counts. An announcement under the ID of a server that belongs to a group which no
// configuration names is another writer's, or of a group that comes later: it must not hide the server, whatever start time and
// sequence it has. Nothing tells an announcement of another configured group under the ID of a server from the server's own, which may
// have started again for that group: the later one counts.
func JudgeAnnouncement(server Server, known KnownServer, configured func(group string) bool) (AnnouncementVerdict, error) {
	if err := server.Validate(); err != nil {
		return AnnouncementInvalid, err
	}

	if (known.Recorded == nil || known.Recorded.Group != server.Group) && !configured(server.Group) {
		return AnnouncementOfUnknownGroup, nil
	}

	for _, earlier := range []*Server{known.Recorded, known.Heard, known.Withdrawn} {
		if earlier != nil && !server.NewerThan(*earlier) && !hidesServer(*earlier, server, configured) {
			return AnnouncementOutdated, nil
		}
	}

	return AnnouncementCounts, nil
}

// hidesServer reports whether an earlier announcement would hide that of a server although it does not count. Builds that knew no
// AnnouncementOfUnknownGroup have recorded some.
func hidesServer(earlier, server Server, configured func(group string) bool) bool {
	return earlier.Group != server.Group && !configured(earlier.Group)
}

// WithdrawalCounts reports whether the withdrawal of a server counts. It names no start of the server, and one that is delayed may arrive
// when the server has started again under its ID: a server announces that it leaves before it withdraws, so that one which has
// announced itself lately without that has not withdrawn.
func WithdrawalCounts(known KnownServer, heardLately bool) bool {
	latest := known.Recorded
	if known.Heard != nil && (latest == nil || known.Heard.NewerThan(*latest)) {
		latest = known.Heard
	}

	return latest != nil && (latest.Leaving || !heardLately)
}

// IsConfigured reports whether the configuration in force names a group.
func (v *View) IsConfigured(group string) bool {
	return slices.ContainsFunc(v.Configuration.Groups, func(s GroupSettings) bool { return s.Name == group })
}

// recordAnnouncement records an announcement that counts.
func (v *View) recordAnnouncement(server Server) Answer {
	if server.ID == "" || server.Group == "" || !server.Address.IsValid() {
		return refuse(result.Protocol, "the announcement of server %q lacks its name, group or address", server.ID)
	}

	present, known := v.Servers[server.ID]
	if known && !server.NewerThan(present) && !hidesServer(present, server, v.IsConfigured) {
		return refuse(result.OutdatedEpoch, "the announcement of server %q is older than the recorded one", server.ID)
	}

	return v.storeAnnouncement(server, present, known)
}
