package permit_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondgrade/core/permit"
	"almondgrade/core/result"
)

// steps is the mean number of steps of a simulation, enough for a permit to be requested, granted and lost.
const steps = "200"

func TestMain(m *testing.M) {
	flag.Parse()

	if err := flag.Set("rapid.steps", steps); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

const lease = 3 * time.Second

// world simulates proxies, coordinators and one backend server. Messages are lost, delayed and reordered; proxies die,
// restart, and are cut off from control; coordinators change. The proxies follow the rules that the package comment
// states for holders: none opens a connection without a lease, under an older epoch, or with a permit that the
// coordinator of its epoch does not know of.
type world struct {
	now     time.Time
	limits  permit.Limits
	proxies []*simulatedProxy
	// epochs holds the coordinators of all epochs; an old coordinator may not know yet that its epoch has ended.
	epochs   []*coordinator
	messages []message
	// lingering holds the connections that dead proxies left open on the server.
	lingering map[permit.Holder]*usage
	instances uint64
	grants    int
	faults    int
}

type usage struct{ connections, slots int }

type coordinator struct {
	broker *permit.Broker
	began  time.Time
	host   int
	closed bool
}

// simulatedProxy is one proxy process.
type simulatedProxy struct {
	holder     permit.Holder
	alive      bool
	listedLive bool // In the view of control.
	hasLease   bool
	epoch      int
	reported   bool
	// registration counts how often the proxy had to register with a coordinator. Answers to requests of an earlier
	// registration are ignored.
	registration int
	sequence     uint64
	next         uint64
	held         map[uint64]*simulatedPermit
}

type simulatedPermit struct {
	kind         permit.Kind
	pending      bool
	registration int
}

type message struct {
	epoch   int
	acquire *permit.Request
	release []uint64
	report  *permit.Report
	answer  *permit.Answer
	from    permit.Holder
	// accepted is the coordinator's answer to a report.
	accepted bool
	reply    bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		now: time.Unix(0, 0),
		limits: permit.Limits{
			Connections: rapid.IntRange(3, 7).Draw(t, "connections"), Slots: rapid.IntRange(1, 3).Draw(t, "slots"),
			AdminReserve: 2, MaxWaiting: rapid.IntRange(1, 4).Draw(t, "queue"),
		},
		lingering: make(map[permit.Holder]*usage),
	}

	for range 3 {
		w.proxies = append(w.proxies, &simulatedProxy{epoch: 0})
		w.startProxy(len(w.proxies) - 1)
	}

	w.newEpoch(0)

	for _, proxy := range w.proxies {
		w.learnNewestEpoch(proxy)
	}

	if rapid.Bool().Draw(t, "settled") {
		for _, proxy := range w.proxies {
			w.handle(w.makeReport(proxy))
			w.handle(w.messages[len(w.messages)-1])
		}

		w.now = w.now.Add(time.Second)
		w.epochs[0].broker.HandleConnectionCounts(w.now, w.now, w.shownConnections())
	}

	return w
}

func (w *world) startProxy(index int) {
	w.instances++
	w.proxies[index] = &simulatedProxy{
		holder: permit.Holder{Proxy: string(rune('a' + index)), Instance: w.instances},
		alive:  true, listedLive: true, hasLease: true, epoch: len(w.epochs) - 1, held: make(map[uint64]*simulatedPermit),
	}
	w.sendLiveList()
}

// requestAndDeliver requests a permit and delivers the request and its answers at once.
func (w *world) requestAndDeliver(t *rapid.T) {
	sent := len(w.messages)
	w.requestPermit(t)
	w.flush(sent)
}

// flush delivers the messages from the given position on, and those that result from them.
func (w *world) flush(sent int) {
	for len(w.messages) > sent {
		first := w.messages[sent]
		w.messages = slices.Delete(w.messages, sent, sent+1)
		w.handle(first)
	}
}

// repair restarts dead proxies, renews the leases of those that are cut off, and gives the group a working coordinator.
func (w *world) repair(t *rapid.T) {
	for index, proxy := range w.proxies {
		switch {
		case !proxy.alive:
			w.startProxy(index)
		case !proxy.hasLease:
			w.renewLease(proxy)
		}
	}

	if epoch := w.epochs[len(w.epochs)-1]; epoch.closed {
		w.newEpoch(rapid.IntRange(0, len(w.proxies)-1).Draw(t, "host"))
	}
}

func (w *world) newEpoch(host int) {
	w.epochs = append(w.epochs, &coordinator{
		broker: permit.New(w.limits, w.now, lease), began: w.now, host: host,
	})
	w.sendLiveList()

	if w.proxies[host].alive && w.proxies[host].hasLease {
		w.learnNewestEpoch(w.proxies[host])
	}
}

// sendLiveList passes the list of live proxies to the current coordinator.
func (w *world) sendLiveList() {
	if len(w.epochs) == 0 {
		return
	}

	var live []permit.Holder

	for _, proxy := range w.proxies {
		if proxy.listedLive {
			live = append(live, proxy.holder)
		}
	}

	epoch := len(w.epochs) - 1
	w.sendAnswers(epoch, w.epochs[epoch].broker.SetLiveHolders(w.now, live))
}

// learnNewestEpoch makes a proxy switch to the newest epoch.
func (w *world) learnNewestEpoch(proxy *simulatedProxy) {
	newest := len(w.epochs) - 1
	if proxy.epoch == newest {
		return
	}

	// The coordinators of older epochs that run in this process end.
	for _, epoch := range w.epochs[:newest] {
		if w.proxies[epoch.host] == proxy {
			epoch.closed = true
		}
	}

	proxy.epoch, proxy.reported = newest, false
	proxy.registration++
}

func (w *world) sendAnswers(epoch int, answers []permit.Answer) {
	for _, answer := range answers {
		w.messages = append(w.messages, message{epoch: epoch, answer: &answer, reply: true, from: answer.Holder})
	}
}

func (w *world) drawLiveProxy(t *rapid.T) *simulatedProxy {
	proxy := rapid.SampledFrom(w.proxies).Draw(t, "proxy")
	if !proxy.alive {
		t.Skip("dead")
	}

	return proxy
}

func (w *world) requestPermit(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	if !proxy.reported || len(proxy.held) > 6 {
		t.Skip("not reported")
	}

	kind := permit.Connection
	if proxy.used().slots < proxy.used().connections && rapid.Bool().Draw(t, "slot") {
		kind = permit.Slot
	}

	number := proxy.next
	proxy.next++
	proxy.held[number] = &simulatedPermit{kind: kind, pending: true, registration: proxy.registration}
	w.messages = append(w.messages, message{epoch: proxy.epoch, from: proxy.holder, acquire: &permit.Request{
		ID:     permit.ID{Holder: proxy.holder, Number: number, Kind: kind},
		Urgent: rapid.Bool().Draw(t, "urgent"), Deadline: w.now.Add(10 * time.Second),
	}})
}

func (w *world) releasePermit(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	if len(proxy.held) == 0 {
		t.Skip("nothing held")
	}

	numbers := make([]uint64, 0, len(proxy.held))
	for number := range proxy.held {
		numbers = append(numbers, number)
	}

	slices.Sort(numbers)

	number := rapid.SampledFrom(numbers).Draw(t, "number")
	if proxy.held[number].kind == permit.Connection && proxy.used().slots >= proxy.used().connections {
		t.Skip("a statement runs on the connection")
	}

	delete(proxy.held, number)
	w.messages = append(w.messages,
		message{epoch: proxy.epoch, from: proxy.holder, release: []uint64{number}})
}

func (w *world) sendReport(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	w.messages = append(w.messages, w.makeReport(proxy))
}

func (w *world) makeReport(proxy *simulatedProxy) message {
	proxy.sequence++
	made := permit.Report{Holder: proxy.holder, Sequence: proxy.sequence, NextNumber: proxy.next}

	for number, held := range proxy.held {
		made.Held = append(made.Held, permit.HeldPermit{Number: number, Kind: held.kind, Pending: held.pending})
	}

	return message{epoch: proxy.epoch, from: proxy.holder, report: &made}
}

func (w *world) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		t.Skip("no messages")
	}

	at := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	taken := w.messages[at]
	w.messages = slices.Delete(w.messages, at, at+1)

	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		w.faults++

		return
	}

	w.handle(taken)
}

func (w *world) handle(taken message) {
	if taken.reply {
		w.receive(taken)

		return
	}

	epoch := w.epochs[taken.epoch]
	host := w.proxies[epoch.host]

	if epoch.closed || !host.alive || taken.acquire != nil && !host.hasLease {
		return
	}

	switch {
	case taken.acquire != nil:
		w.sendAnswers(taken.epoch, epoch.broker.Acquire(w.now, *taken.acquire))
	case taken.release != nil:
		w.sendAnswers(taken.epoch, epoch.broker.Release(w.now, taken.from, taken.release...))
	case taken.report != nil:
		answers, accepted := epoch.broker.HandleReport(w.now, *taken.report)
		w.sendAnswers(taken.epoch, answers)
		w.messages = append(w.messages, message{epoch: taken.epoch, from: taken.from, accepted: accepted, reply: true})
	}
}

// receive handles an answer at its proxy.
func (w *world) receive(taken message) {
	for _, proxy := range w.proxies {
		if !proxy.alive || proxy.holder != taken.from {
			continue
		}

		if taken.answer == nil {
			proxy.reported = proxy.reported || taken.accepted && proxy.epoch == taken.epoch

			return
		}

		held, found := proxy.held[taken.answer.Number]
		if !found || !held.pending {
			return
		}

		usable := held.registration == proxy.registration && proxy.reported
		if held.kind == permit.Connection {
			usable = usable && proxy.hasLease
		} else {
			usable = usable && proxy.used().slots < proxy.used().connections
		}

		if taken.answer.Code != result.OK || !usable {
			delete(proxy.held, taken.answer.Number)
			w.messages = append(w.messages,
				message{epoch: proxy.epoch, from: proxy.holder, release: []uint64{taken.answer.Number}})

			return
		}

		held.pending = false
		w.grants++
	}
}

func (s *simulatedProxy) used() usage {
	var used usage

	for _, held := range s.held {
		switch {
		case held.pending:
		case held.kind == permit.Connection:
			used.connections++
		default:
			used.slots++
		}
	}

	return used
}

// countConnections reports the connections that the server shows to the current coordinator, and at times terminates
// those of holders that are gone.
func (w *world) countConnections(t *rapid.T) {
	epoch := w.epochs[len(w.epochs)-1]
	if epoch.closed || !w.proxies[epoch.host].alive {
		t.Skip("no coordinator")
	}

	asked := w.now
	shown := w.shownConnections()
	// The server's answer takes time, during which the state may change.
	w.now = w.now.Add(time.Millisecond)
	w.sendAnswers(len(w.epochs)-1, epoch.broker.HandleConnectionCounts(w.now, asked, shown))

	if !rapid.Bool().Draw(t, "terminate") {
		return
	}

	w.terminate(epoch.broker.GoneHolders())
}

func (w *world) shownConnections() map[permit.Holder]int {
	shown := make(map[permit.Holder]int)

	for holder, left := range w.lingering {
		shown[holder] += left.connections
	}

	for _, proxy := range w.proxies {
		if count := proxy.used().connections; proxy.alive && count > 0 {
			shown[proxy.holder] += count
		}
	}

	return shown
}

// refresh lets some proxies learn the newest epoch and report, without delay or loss, and counts the connections.
func (w *world) refresh(t *rapid.T) {
	all := rapid.Bool().Draw(t, "all")

	for _, proxy := range w.proxies {
		if proxy.alive && proxy.hasLease && (all || rapid.Bool().Draw(t, "reports")) {
			w.learnNewestEpoch(proxy)

			sent := len(w.messages)
			w.handle(w.makeReport(proxy))
			w.flush(sent)
		}
	}

	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "millis")) * time.Millisecond)

	if epoch := w.epochs[len(w.epochs)-1]; !epoch.closed && w.proxies[epoch.host].alive {
		w.sendAnswers(len(w.epochs)-1, epoch.broker.HandleConnectionCounts(w.now, w.now, w.shownConnections()))
	}
}

func (w *world) terminate(gone []permit.Holder) {
	for _, holder := range gone {
		delete(w.lingering, holder)

		for _, proxy := range w.proxies {
			if proxy.holder == holder && proxy.alive {
				for number, held := range proxy.held {
					if !held.pending {
						delete(proxy.held, number)
					}
				}
			}
		}
	}
}

func (w *world) killProxy(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	w.faults++
	proxy.alive = false

	for _, epoch := range w.epochs {
		if w.proxies[epoch.host] == proxy {
			epoch.closed = true
		}
	}

	if used := proxy.used(); used.connections > 0 {
		w.lingering[proxy.holder] = &used
	}
}

func (w *world) restartProxy(t *rapid.T) {
	index := rapid.IntRange(0, len(w.proxies)-1).Draw(t, "proxy")
	if w.proxies[index].alive {
		t.Skip("alive")
	}

	host := w.epochs[len(w.epochs)-1].host == index
	w.startProxy(index)

	if host {
		w.newEpoch(rapid.IntRange(0, len(w.proxies)-1).Draw(t, "host"))
	}
}

// cutOff makes a proxy lose its lease.
func (w *world) cutOff(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	if !proxy.hasLease {
		t.Skip("cut off")
	}

	w.faults++
	proxy.hasLease = false
}

// declareGone makes control remove a proxy that has no lease.
func (w *world) declareGone(t *rapid.T) {
	proxy := rapid.SampledFrom(w.proxies).Draw(t, "proxy")
	if proxy.alive && proxy.hasLease || !proxy.listedLive {
		t.Skip("leased")
	}

	proxy.listedLive = false
	w.sendLiveList()
}

// regainLease gives a proxy its lease again. If the proxy was declared gone, it has to report its permits before it
// uses others.
func (w *world) regainLease(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	if proxy.hasLease {
		t.Skip("leased")
	}

	w.renewLease(proxy)
}

func (w *world) renewLease(proxy *simulatedProxy) {
	w.learnNewestEpoch(proxy)

	if !proxy.listedLive {
		proxy.listedLive, proxy.reported = true, false
		proxy.registration++
		w.sendLiveList()
	}

	proxy.hasLease = true
}

func (w *world) changeCoordinator(t *rapid.T) {
	w.faults++
	w.newEpoch(rapid.IntRange(0, len(w.proxies)-1).Draw(t, "host"))
}

func (w *world) learnEpoch(t *rapid.T) {
	proxy := w.drawLiveProxy(t)
	if !proxy.hasLease {
		t.Skip("cut off")
	}

	w.learnNewestEpoch(proxy)
}

func (w *world) passTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond)

	// A lease is renewed only together with the current view of control, so that a proxy with a lease is at most one
	// lease duration behind.
	if newest := w.epochs[len(w.epochs)-1]; w.now.Sub(newest.began) >= lease {
		for _, proxy := range w.proxies {
			if proxy.alive && proxy.hasLease && proxy.epoch != len(w.epochs)-1 {
				proxy.hasLease = false
			}
		}
	}
}

func (w *world) changeLimits(*rapid.T) {
	epoch := w.epochs[len(w.epochs)-1]
	grown := w.limits
	// Limits only grow here: after a decrease, permits above the limit stay valid, and the check below could not tell
	// them from an excess. TestSmallerLimits covers the decrease.
	grown.Connections = min(grown.Connections+1, 9)
	w.limits = grown
	w.sendAnswers(len(w.epochs)-1, epoch.broker.SetLimits(w.now, grown))
}

// check compares the connections and statements on the server with the limits.
func (w *world) check(t *rapid.T) {
	var total usage

	add := func(used usage) {
		total.connections += used.connections
		total.slots += used.slots
	}

	for _, left := range w.lingering {
		add(*left)
	}

	for _, proxy := range w.proxies {
		if proxy.alive {
			add(proxy.used())
		}
	}

	if total.connections > w.limits.Connections-w.limits.AdminReserve {
		t.Fatalf("%d connections are open, %d permitted", total.connections, w.limits.Connections-w.limits.AdminReserve)
	}

	if total.slots > w.limits.Slots {
		t.Fatalf("%d statements run, %d permitted", total.slots, w.limits.Slots)
	}
}

// healAll ends all faults and returns all permits.
func (w *world) healAll() {
	for index, proxy := range w.proxies {
		if !proxy.alive {
			w.startProxy(index)
		}
	}

	if last := w.epochs[len(w.epochs)-1]; last.closed {
		w.newEpoch(0)
	}

	for _, proxy := range w.proxies {
		proxy.listedLive, proxy.hasLease = true, true
		w.learnNewestEpoch(proxy)
		clear(proxy.held)
	}

	w.sendLiveList()
	w.messages = nil

	epoch := w.epochs[len(w.epochs)-1].broker

	for range 3 {
		w.now = w.now.Add(lease + time.Second)

		for _, proxy := range w.proxies {
			w.handle(w.makeReport(proxy))
		}

		w.now = w.now.Add(time.Second)
		epoch.HandleConnectionCounts(w.now, w.now, w.shownConnections())
		w.terminate(epoch.GoneHolders())
	}
}

// Guards against permits granted beyond the limits and against permits that are never returned, while messages are lost
// and reordered, proxies die, restart and are cut off, and coordinators change.
func TestPermitsSurviveFaults(t *testing.T) {
	t.Parallel()

	var grants, faults int

	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)

		// Most steps are ordinary operations, so that permits are in use when a fault occurs.
		fault := func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rare") != 0 {
				t.Skip("no fault")
			}

			rapid.SampledFrom([]func(*rapid.T){
				w.killProxy, w.cutOff, w.changeCoordinator, w.changeCoordinator,
			}).Draw(t, "fault")(t)
		}

		t.Repeat(map[string]func(*rapid.T){
			"ask":           w.requestPermit,
			"ask again":     w.requestPermit,
			"give back":     w.releasePermit,
			"report":        w.sendReport,
			"deliver":       w.deliver,
			"deliver again": w.deliver,
			"deliver more":  w.deliver,
			"deliver much":  w.deliver,
			"count":         w.countConnections,
			"refresh":       w.refresh,
			"repair":        w.repair,
			"work":          w.requestAndDeliver,
			"work again":    w.requestAndDeliver,
			"fault":         fault,
			"restart":       w.restartProxy,
			"declare gone":  w.declareGone,
			"rejoin":        w.regainLease,
			"learn epoch":   w.learnEpoch,
			"time passes":   w.passTime,
			"limits grow":   w.changeLimits,
			"":              w.check,
		})

		grants += w.grants
		faults += w.faults

		w.healAll()

		broker := w.epochs[len(w.epochs)-1].broker
		if free := broker.FreeCount(permit.Connection); free != w.limits.Connections-w.limits.AdminReserve {
			t.Fatalf("%d connection permits are free after all returned, want %d", free,
				w.limits.Connections-w.limits.AdminReserve)
		}

		if free := broker.FreeCount(permit.Slot); free != w.limits.Slots {
			t.Fatalf("%d slot permits are free after all returned, want %d", free, w.limits.Slots)
		}
	})

	if grants == 0 || faults == 0 {
		t.Fatalf("%d grants and %d faults: the test showed nothing", grants, faults)
	}

	t.Logf("%d grants, %d faults", grants, faults)
}
