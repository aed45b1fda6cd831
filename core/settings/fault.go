package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault is one thing that is wrong with a settings file or a change.
type Fault struct {
	// File is the file that holds the value. It is empty for a change that comes from no file.
	File string
	// Line is the line of the value, or zero if it is unknown.
	Line int
	// Path is the JSON path of the value, such as running.timing.lease.
	Path string
	// Value is the value as JSON text. It is empty where the fault is a missing value.
	Value string
	// Allowed says what is wrong and what is allowed.
	Allowed string
}

// String returns the fault as FILE:LINE: PATH: VALUE: ALLOWED, without the parts that are unknown.
func (f Fault) String() string {
	parts := make([]string, 0, 4)

	switch {
	case f.File != "" && f.Line > 0:
		parts = append(parts, f.File+":"+strconv.Itoa(f.Line))
	case f.File != "":
		parts = append(parts, f.File)
	}

	if f.Path != "" {
		parts = append(parts, f.Path)
	}

	if f.Value != "" {
		parts = append(parts, f.Value)
	}

	return strings.Join(append(parts, f.Allowed), ": ")
}

// Faults are all faults of the settings of a process or of a change. An empty list means that there is none.
type Faults []Fault

// Error implements error. It lists every fault on a line of its own.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("settings have %d faults", len(f)))

	for _, fault := range f {
		lines = append(lines, fault.String())
	}

	return strings.Join(lines, "\n")
}

// err returns the faults as an error, which is nil for an empty list.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}

	return f
}
