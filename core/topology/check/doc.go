// Package check examines a configuration of a managed deployment before an operator sends it.
//
// Control refuses an inconsistent configuration with the first error only, and accepts one whose entries have no effect
// or contradict each other. This package reports all of them at once, and what differs from the configuration in force.
// Messages name customers but never show keys.
//
// # Usage
//
//	findings := check.Configuration(&proposed)
//	findings = append(findings, check.Differences(&inForce, &proposed)...)
//	check.Sort(findings)
package check
