package container

// Option is a value that may be absent. The zero Option holds no value.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns an option that holds a value.
func Some[T any](value T) Option[T] {
	return Option[T]{value: value, present: true}
}

// None returns an option without a value.
func None[T any]() Option[T] {
	return Option[T]{}
}

// Get returns the value and reports whether it is present.
func (o Option[T]) Get() (T, bool) {
	return o.value, o.present
}

// Or returns the value, or the fallback if the value is absent.
func (o Option[T]) Or(fallback T) T {
	if o.present {
		return o.value
	}

	return fallback
}
