// Package settings holds the settings of a process and the running configuration of a system.
//
// Settings come from a base file and overlays, all JSON, merged by JSON merge patch (RFC 7396) in the order in
// which they are given. The merged result is checked whole; every fault is reported at once with its file, JSON
// path, value and what is allowed.
//
// Every value remembers which file set it, or that it is a default, for the command check. Null in a base file or
// a change stands for the default; null in an overlay removes the value.
//
// The Running part is only the first configuration of a new system. Afterwards the running configuration lives
// in the control log and changes by apply.
//
// # Usage
//
//	loaded, err := settings.Load("base.json", "teranga.json", "vm3.json")
//	if err != nil {
//		return err // settings.Faults
//	}
//
//	running, faults := settings.CheckRunning(change)
//	fmt.Print(settings.Difference(loaded.Settings.Running, running))
package settings
