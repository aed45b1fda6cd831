//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// recoveryTime is bounds.recoveryS, drainTime bounds.drainMs and addressReuseTime bounds.addrReuseS.
	recoveryTime     = 12 * time.Second
	drainTime        = 7 * time.Second
	addressReuseTime = 2 * time.Second
)

// recovery plays RECOVER: the primary crashes and is back at once, and some seconds later all processes of the system are killed.
func recovery(s *scene) int {
	began := time.Now()

	if !s.serve() {
		return notRun
	}

	time.Sleep(5 * time.Second)

	if s.trouble {
		primary := s.member("i-5a")
		s.group.end(primary, "crash")
		time.Sleep(300 * time.Millisecond)
		s.restart(primary, "i-1d")
	}

	time.Sleep(3 * time.Second)

	killed := time.Now()
	s.machines.kill()

	if err := s.machines.endBootstrap(); err != nil {
		return notRun
	}

	time.Sleep(700 * time.Millisecond)

	if err := s.machines.start(); err != nil {
		return notRun
	}

	back := time.Now()

	time.Sleep(recoveryTime + 12*time.Second)

	count, served := s.clients.served(began, killed)
	s.record.line("before the final fault %d of %d operations were served", served, count)

	after, servedAfter := s.clients.served(back.Add(recoveryTime), back.Add(recoveryTime+8*time.Second))
	s.record.line("sent later than %s after the processes were back: %d of %d operations were served; a quarter is the least",
		recoveryTime, servedAfter, after)

	if after == 0 || 4*served < count {
		return notRun
	}

	if 4*servedAfter < after {
		return ruleBroken
	}

	return ruleHeld
}

// lost plays LOST: a replica is replaced while the other one receives nothing, and the primary crashes.
func lost(s *scene) int {
	if !s.serve() {
		return notRun
	}

	if !s.trouble {
		time.Sleep(15 * time.Second)

		return s.judgeLost()
	}

	primary, deaf, leaving := s.member("i-5a"), s.member("i-6b"), s.member("i-7c")

	s.group.drain(leaving)
	time.Sleep(4500 * time.Millisecond)
	s.group.setDeaf(deaf, true)
	time.AfterFunc(6*time.Second, func() { s.group.setDeaf(deaf, false) })
	time.Sleep(drainTime - 4*time.Second)
	s.group.leave(leaving)
	time.AfterFunc(addressReuseTime, func() {
		if _, err := s.group.start("i-8d", leaving.address, leaving.zone, leaving.log, false); err != nil {
			s.record.line("the successor could not start: %v", err)
		}
	})
	time.Sleep(300 * time.Millisecond)
	s.group.end(primary, "crash")
	time.AfterFunc(5*time.Second, func() { s.restart(primary, "i-9e") })
	time.Sleep(15 * time.Second)

	return s.judgeLost()
}

// judgeLost looks for commits that were acknowledged to a client and that a member lacked when it was promoted.
func (s *scene) judgeLost() int {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.clients.mutex.Lock()
	defer s.clients.mutex.Unlock()

	verdict, acknowledged := ruleHeld, 0

	for _, each := range s.clients.done {
		if each.write && each.served {
			acknowledged++
		}
	}

	s.record.line("%d commits were acknowledged to clients, %d members were promoted", acknowledged, len(s.group.promoted))

	for _, promoted := range s.group.promoted {
		held := make(map[string]bool)
		for _, each := range promoted.log {
			held[each.id] = true
		}

		for _, each := range s.clients.done {
			if each.write && each.served && each.ended.Before(promoted.at) && !held[each.id] {
				verdict = ruleBroken

				s.record.line("write %s was acknowledged %s before %s was promoted, whose log lacks it", each.id,
					promoted.at.Sub(each.ended).Round(time.Millisecond), promoted.id)
			}
		}
	}

	if acknowledged == 0 {
		return notRun
	}

	return verdict
}

// startAndKill starts the machines within 0.3 s of each other, as at the first start of the system. The control process that starts
// first is killed before the others start, and is restarted after half a second.
func startAndKill(s *scene) error {
	first := s.machines.named("control-3")

	if err := s.machines.startOne(first); err != nil {
		return err
	}

	time.Sleep(200 * time.Millisecond)

	if s.trouble {
		s.machines.killOne(first)
	}

	for _, name := range []string{"control-1", "control-2", "proxy-1", "proxy-2", "proxy-3"} {
		if err := s.machines.startOne(s.machines.named(name)); err != nil {
			return err
		}
	}

	time.Sleep(500 * time.Millisecond)

	if !s.trouble {
		return nil
	}

	if err := endBootstrap([]*process{first}); err != nil {
		return err
	}

	return s.machines.startOne(first)
}

// firstStart plays Fault: a control process is killed while the system starts for the first time.
func firstStart(s *scene) int {
	served := s.serve()

	if !served {
		// The clients try, too, although no configuration was accepted.
		s.clients.run(12, 200*time.Millisecond)
		time.Sleep(10 * time.Second)
	}

	count, done := s.clients.served(time.Time{}, time.Now())
	s.record.line("%d of %d operations were served", done, count)

	if done == 0 {
		return ruleBroken
	}

	return ruleHeld
}

// catchUpTime is bounds.catchUpS.
const catchUpTime = 4 * time.Second

// replace plays CONFIG: a machine of the core is replaced as planned, and after that another one loses its disk.
func replace(s *scene) int {
	if !s.serve() {
		return notRun
	}

	addresses := s.group.control

	if s.trouble {
		if err := s.machines.add(); err != nil {
			return notRun
		}

		time.Sleep(catchUpTime + 500*time.Millisecond)
		s.machines.remove("control-1", "proxy-1")
		addresses = append(addresses[1:len(addresses):len(addresses)], s.machines.ips[0][:len(s.machines.ips[0])-1]+"4:"+controlPort)
	} else {
		time.Sleep(catchUpTime + time.Second)
	}

	if !configure(addresses[:1], configurationBody(9, 0), s.record) {
		return notRun
	}

	if s.trouble {
		wiped := s.machines.named("control-2")
		s.machines.killOne(wiped)

		if s.machines.loseDisk(wiped) != nil || s.machines.endBootstrap() != nil {
			return notRun
		}

		time.Sleep(time.Second)

		if s.machines.startOne(wiped) != nil {
			return notRun
		}
	}

	// The operator reads the configuration back, for far longer than stabilityWindowMs and recoveryS.
	answers := make(map[string]int)
	verdict := ruleBroken

	for began, turn := time.Now(), 0; time.Since(began) < 40*time.Second; turn++ {
		status, version := fetch(addresses[turn%len(addresses)])
		answers[fmt.Sprintf("%d version %d", status, version)]++

		if status == 200 && version == 9 {
			verdict = ruleHeld

			break
		}

		time.Sleep(200 * time.Millisecond)
	}

	s.record.line("the operator read the configuration: %v", answers)

	return verdict
}

// stale plays STALE: all processes of the system are killed, and meanwhile the primary starts again under its ID without its data.
func stale(s *scene) int {
	if !s.serve() {
		return notRun
	}

	time.Sleep(5 * time.Second)
	s.machines.kill()

	if s.trouble {
		primary := s.member("i-5a")
		s.group.end(primary, "crash, with the loss of its data")

		if _, err := s.group.start(primary.id, primary.address, primary.zone, nil, false); err != nil {
			return notRun
		}
	}

	if s.machines.endBootstrap() != nil {
		return notRun
	}

	time.Sleep(700 * time.Millisecond)

	if s.machines.start() != nil {
		return notRun
	}

	time.Sleep(20 * time.Second)

	return s.judgeStale()
}

// judgeStale looks for reads that ran on a log without a commit that was acknowledged to a client before they were sent. Commits that
// no log holds any more, because a promotion has rolled them back, don't count.
func (s *scene) judgeStale() int {
	s.group.mutex.Lock()
	defer s.group.mutex.Unlock()

	s.clients.mutex.Lock()
	defer s.clients.mutex.Unlock()

	kept := make(map[string]bool)

	for _, each := range s.group.members {
		if each == s.group.primary {
			for _, commit := range each.log {
				kept[commit.id] = true
			}
		}
	}

	reads, wrong := 0, 0

	for _, read := range s.clients.done {
		log, ran := s.group.logs[read.id]
		if read.write || !read.served || !ran {
			continue
		}

		reads++

		holds := make(map[string]bool, len(log))
		for _, commit := range log {
			holds[commit.id] = true
		}

		for _, write := range s.clients.done {
			if write.write && write.served && write.ended.Before(read.sent) && kept[write.id] && !holds[write.id] {
				wrong++

				s.record.line("read %s ran on a log of %d commits, which lacks %s, acknowledged %s before the read was sent", read.id,
					len(log), write.id, read.sent.Sub(write.ended).Round(time.Millisecond))

				break
			}
		}
	}

	s.record.line("%d reads were served, %d of them stale; %d members were promoted", reads, wrong, len(s.group.promoted))

	switch {
	case reads == 0:
		return notRun
	case wrong > 0:
		return ruleBroken
	default:
		return ruleHeld
	}
}
