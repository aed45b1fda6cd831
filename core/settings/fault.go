package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Fault describes an invalid or missing value in a settings file or a change.
type Fault struct {
	// File is the file that holds the value. It is empty for a change.
	File string
	// Line is the line of the value, or zero if it is unknown.
	Line int
	// Path is the JSON path of the value, such as running.timing.lease.
	Path string
	// Value is the value as JSON text. It is empty if the value is missing.
	Value string
	// Allowed describes the fault and the allowed values.
	Allowed string
}

// String returns the fault as FILE:LINE: PATH: VALUE: ALLOWED, without the parts that are empty.
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

// Faults are all faults of the settings of a process or of a change. The list is empty if there are none.
type Faults []Fault

// Error implements error. It lists each fault on a separate line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("settings have %d faults", len(f)))

	for _, fault := range f {
		lines = append(lines, fault.String())
	}

	return strings.Join(lines, "\n")
}

// err returns the faults as an error, or nil for an empty list.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}

	return f
}
