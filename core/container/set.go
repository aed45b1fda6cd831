package container

import (
	"cmp"
	"maps"
	"slices"
)

// Set is an unordered set of values. A nil Set can be read, but Add panics.
type Set[T comparable] map[T]struct{}

// NewSet returns a set of the given values.
func NewSet[T comparable](values ...T) Set[T] {
	set := make(Set[T], len(values))
	for _, value := range values {
		set.Add(value)
	}

	return set
}

// Add adds a value to the set.
func (s Set[T]) Add(value T) {
	s[value] = struct{}{}
}

// Remove removes a value from the set.
func (s Set[T]) Remove(value T) {
	delete(s, value)
}

// Has reports whether the set contains a value.
func (s Set[T]) Has(value T) bool {
	_, found := s[value]

	return found
}

// Sorted returns the values of a set in ascending order.
func Sorted[T cmp.Ordered](set Set[T]) []T {
	return slices.Sorted(maps.Keys(set))
}
