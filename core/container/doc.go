// Package container provides small generic containers.
//
// # Usage
//
//	live := container.NewSet("p1", "p2")
//	live.Add("p3")
//	first := container.Some(5)
//	value, found := first.Get()
package container
