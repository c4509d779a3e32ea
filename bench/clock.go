package bench

import "time"

// clock is a simulated clock. It runs scheduled functions in the order of their
// times.
type clock struct {
	now    time.Duration
	seq    uint64
	events []timedEvent // heap of four children per parent, earliest first
	// expiries holds the ends of attempts and runs by due time. Most are
	// obsolete when due, so a single event handles all with the same due time.
	expiries map[time.Duration][]expiry
}

type timedEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

// expiry ends an attempt or a run at its deadline if it is still open.
type expiry struct {
	node        *node
	incarnation int
	id          uint64
	attempt     int // -1 for a run
}

// expiryResolution is the resolution to which expiries are rounded up.
const expiryResolution = 5 * time.Millisecond

// simulationStart is the wall time at which the simulated clock starts.
var simulationStart = time.Unix(1_000_000, 0)

func newClock() *clock { return &clock{expiries: map[time.Duration][]expiry{}} }

func (c *clock) time() time.Time { return simulationStart.Add(c.now) }

func (t *timedEvent) before(o *timedEvent) bool {
	if t.at != o.at {
		return t.at < o.at
	}
	return t.seq < o.seq
}

// after schedules a function to run after a delay.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// at schedules a function to run at a time, or now if that has passed. Functions
// with the same time run in the order in which they were scheduled.
func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	c.events = append(c.events, timedEvent{at: max(at, c.now), seq: c.seq, run: run})
	i := len(c.events) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !c.events[i].before(&c.events[parent]) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

// scheduleExpiry schedules the end of an attempt or a run.
func (c *clock) scheduleExpiry(d time.Duration, e expiry) {
	at := (c.now + d + expiryResolution - 1) / expiryResolution * expiryResolution
	list, scheduled := c.expiries[at]
	c.expiries[at] = append(list, e)
	if scheduled {
		return
	}
	c.at(at, func() {
		due := c.expiries[at]
		delete(c.expiries, at)
		for _, e := range due {
			e.node.handleExpiry(e)
		}
	})
}

// run processes all events up to a time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := c.pop()
		c.now = next.at
		next.run()
	}
	c.now = until
}

func (c *clock) pop() timedEvent {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last].run = nil
	c.events = c.events[:last]
	i := 0
	for {
		least := i
		for child := 4*i + 1; child <= min(4*i+4, last-1); child++ {
			if c.events[child].before(&c.events[least]) {
				least = child
			}
		}
		if least == i {
			return top
		}
		c.events[i], c.events[least] = c.events[least], c.events[i]
		i = least
	}
}
