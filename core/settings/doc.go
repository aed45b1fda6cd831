// Package settings loads and checks the settings of a process and the running configuration of a system.
//
// Settings are read from a base file and overlays in JSON, which are merged by JSON merge patch (RFC 7396) in the given
// order. The merged document is checked as a whole. All faults are reported together, each with its file, JSON path,
// value and the allowed values.
//
// For the check command, each value records the file that set it or that it is a default. Null in a base file or in a
// change stands for the default; null in an overlay removes the value.
//
// Settings.Running is only the initial configuration of a new system. Afterwards the running configuration is kept in
// the control log and changed with the apply command.
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
