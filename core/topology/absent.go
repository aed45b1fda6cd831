package topology

import "slices"

// ForgetAbsent removes entries from View.Absent. Each names the announcement that the proposer knew.
type ForgetAbsent struct {
	Servers []ForgetServer `cbor:"1,keyasint"`
}

// AbsentReplicas returns the entries of Absent for a group, except those of its primary: a takeover asks the replicas, and each commit
// that the primary acknowledged was received by one of them.
func (v *View) AbsentReplicas(group string) (absent []Server) {
	for _, server := range v.Absent {
		if server.Group == group && server.ID != v.Groups[group].Primary {
			absent = append(absent, server)
		}
	}

	return absent
}

// Replaced reports whether another server of the group has started at the address of a server after it. It has that server's log.
func (v *View) Replaced(server Server) bool {
	for _, other := range v.Servers {
		if other.ID != server.ID && startedAfter(other, server) {
			return true
		}
	}

	return false
}

// startedAfter reports whether a server of the group started later at the same address. Without start times it is not known.
func startedAfter(later, earlier Server) bool {
	return later.Group == earlier.Group && later.Address == earlier.Address && earlier.StartedAtMillis > 0 &&
		later.StartedAtMillis > earlier.StartedAtMillis
}

// waitsForReplicas reports whether commits of a group are acknowledged only once replicas have received them.
func (v *View) waitsForReplicas(group string) bool {
	return slices.ContainsFunc(v.Configuration.Groups, func(s GroupSettings) bool { return s.Name == group && s.SyncReplicas > 0 })
}

// recordAbsent records that a server no longer counts among the replicas of its group.
func (v *View) recordAbsent(server Server) {
	if v.waitsForReplicas(server.Group) && !v.Replaced(server) {
		v.Absent = append(slices.Clone(v.Absent), server)
	}
}

// updateAbsent updates Absent for an announcement. A server that starts at the address of another one has its log. One that starts again
// under its own ID holds nothing, and one may announce itself for another group; known is its last announcement, if there is one.
func (v *View) updateAbsent(server, known Server) {
	restarted := known.StartedAtMillis > 0 && server.StartedAtMillis > known.StartedAtMillis
	if known.ID != "" && (restarted || server.Group != known.Group) {
		v.recordAbsent(known)
	}

	predecessor := -1

	for i, absent := range v.Absent {
		if absent.ID == server.ID && absent.Group == server.Group && absent.StartedAtMillis == server.StartedAtMillis {
			predecessor = i

			break
		}

		if absent.ID != server.ID && startedAfter(server, absent) &&
			(predecessor < 0 || absent.StartedAtMillis > v.Absent[predecessor].StartedAtMillis) {
			predecessor = i
		}
	}

	if predecessor >= 0 && !v.hasOtherPredecessor(server, v.Absent[predecessor]) {
		v.Absent = slices.Delete(slices.Clone(v.Absent), predecessor, predecessor+1)
	}
}

// hasOtherPredecessor reports whether a recorded server was at the address of a server after the absent one was.
func (v *View) hasOtherPredecessor(server, absent Server) bool {
	for _, other := range v.Servers {
		if other.ID != server.ID && startedAfter(other, absent) && startedAfter(server, other) {
			return true
		}
	}

	return false
}

func (v *View) forgetAbsent(f ForgetAbsent) Answer {
	v.Absent = slices.DeleteFunc(slices.Clone(v.Absent), func(absent Server) bool {
		return slices.Contains(f.Servers, ForgetServer{ID: absent.ID, StartedAtMillis: absent.StartedAtMillis, Sequence: absent.Sequence})
	})

	return Answer{}
}
