package registry

import (
	"encoding/json"

	"almondgrade/core/result"
	"almondgrade/core/settings"
)

// changeConfiguration accepts a change that is based on the current configuration. A change ID that was answered before
// gets the same answer again, whatever the current number is, because the operator resends a change whose answer was
// lost.
func (d *data) changeConfiguration(c Configure) Answer {
	if c.ID == "" {
		return refuse(result.ChangeInvalid, "the change has no id")
	}

	if first, known := d.answersByChange[c.ID]; known {
		first.Repeated = true

		return first
	}

	answer := d.applyChange(c)
	d.rememberAnswer(c.ID, answer)

	return answer
}

func (d *data) applyChange(c Configure) Answer {
	if c.BaseNumber != d.ConfigurationNumber {
		answer := refuse(result.NumberNotCurrent, "the change is based on configuration %d, the current one is %d by %s",
			c.BaseNumber, d.ConfigurationNumber, d.Author)
		answer.Number, answer.Author = d.ConfigurationNumber, d.Author

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

	d.ConfigurationNumber++
	d.Author = c.Author
	d.Settings = canonical
	d.running = running

	return Answer{Number: d.ConfigurationNumber, Author: d.Author}
}

// rememberAnswer keeps the answer to a change ID and drops the oldest one beyond maxRememberedChanges.
func (d *data) rememberAnswer(id string, answer Answer) {
	d.AnsweredChanges = append(d.AnsweredChanges, answeredChange{ID: id, Answer: answer})
	d.answersByChange[id] = answer

	if len(d.AnsweredChanges) > maxRememberedChanges {
		delete(d.answersByChange, d.AnsweredChanges[0].ID)
		d.AnsweredChanges = d.AnsweredChanges[1:]
	}
}
