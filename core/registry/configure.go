package registry

import (
	"encoding/json"

	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// configure accepts a change that is based on the current number. A change id that was answered before gets the
// same answer again, whatever the current number is: the operator has lost the first answer.
func (d *data) configure(c Configure) Answer {
	if c.ID == "" {
		return refuse(result.ChangeInvalid, "the change has no id")
	}

	if first, known := d.known[c.ID]; known {
		first.Repeated = true

		return first
	}

	answer := d.decide(c)
	d.remember(c.ID, answer)

	return answer
}

func (d *data) decide(c Configure) Answer {
	if c.Base != d.Number {
		answer := refuse(result.NumberNotCurrent, "the change is based on configuration %d, the current one is %d by %s",
			c.Base, d.Number, d.Author)
		answer.Number, answer.Author = d.Number, d.Author

		return answer
	}

	running := settings.Defaults()
	if err := json.Unmarshal(c.Settings, &running); err != nil {
		return refuse(result.ChangeInvalid, "settings: %v", err)
	}

	encoded, err := json.Marshal(running)
	if err != nil {
		return refuse(result.ChangeInvalid, "settings: %v", err)
	}

	canonical, err := settings.Canonical(encoded)
	if err != nil {
		return refuse(result.ChangeInvalid, "settings: %v", err)
	}

	d.Number++
	d.Author = c.Author
	d.Settings = canonical
	d.running = running

	return Answer{Number: d.Number, Author: d.Author}
}

// remember keeps the answer to a change id and drops the oldest one beyond changeMemory.
func (d *data) remember(id string, answer Answer) {
	d.Changes = append(d.Changes, change{ID: id, Answer: answer})
	d.known[id] = answer

	if len(d.Changes) > changeMemory {
		delete(d.known, d.Changes[0].ID)
		d.Changes = d.Changes[1:]
	}
}
