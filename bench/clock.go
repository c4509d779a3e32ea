package bench

import "time"

// clock is the fake clock: it runs functions in the order of their times.
type clock struct {
	now    time.Duration
	seq    uint64
	events []timed
	// slots collect expiries of calls, which mostly have lost their meaning
	// when they come up; one event runs a whole slot.
	slots map[time.Duration][]expiry
}

type timed struct {
	at  time.Duration
	seq uint64
	run func()
}

// expiry ends an attempt or a run at its deadline if it is still open.
type expiry struct {
	node    *node
	epoch   int
	id      uint64
	attempt int // -1 for a run
}

// expirySlot is the resolution of deadlines.
const expirySlot = 5 * time.Millisecond

// epochStart is the wall time at which the fake clock starts.
var epochStart = time.Unix(1_000_000, 0)

func newClock() *clock { return &clock{slots: map[time.Duration][]expiry{}} }

func (c *clock) time() time.Time { return epochStart.Add(c.now) }

func (t *timed) before(o *timed) bool {
	if t.at != o.at {
		return t.at < o.at
	}
	return t.seq < o.seq
}

// after runs a function when some time has passed.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

func (c *clock) at(at time.Duration, run func()) {
	c.seq++
	c.events = append(c.events, timed{at: max(at, c.now), seq: c.seq, run: run})
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

// expire registers the end of an attempt or a run.
func (c *clock) expire(d time.Duration, e expiry) {
	at := (c.now + d + expirySlot - 1) / expirySlot * expirySlot
	list, open := c.slots[at]
	c.slots[at] = append(list, e)
	if open {
		return
	}
	c.at(at, func() {
		due := c.slots[at]
		delete(c.slots, at)
		for _, e := range due {
			e.node.expired(e)
		}
	})
}

// run processes events until a time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := c.pop()
		c.now = next.at
		next.run()
	}
	c.now = until
}

func (c *clock) pop() timed {
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
