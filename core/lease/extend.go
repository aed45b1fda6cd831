package lease

import "time"

// Extend renews a lease when a call that was held for a while is answered. It returns false, and changes nothing, if the
// holder has no lease or another instance of the proxy has replaced it.
func (t *Table) Extend(now time.Time, holder Holder) bool {
	current, known := t.grants[holder.Name]
	if !known || current.instance != holder.Instance {
		return false
	}

	current.until = now.Add(t.duration)
	t.grants[holder.Name] = current

	return true
}
