package gossip

import (
	"slices"
	"time"

	"toucangw.example/core/member"
)

// partners are the few nodes that a node exchanges with. Keeping them for a
// while bounds the connections and lets deltas fit.
type partners struct {
	random func(n int) int
	local  circle
	remote circle
	renew  time.Time
}

// circle is a random choice among some nodes.
type circle struct {
	all    []member.HostID
	chosen []member.HostID
	size   int
}

func newPartners(random func(n int) int) *partners {
	return &partners{random: random, local: circle{size: localPartners}, remote: circle{size: remotePartners}}
}

func (p *partners) setNodes(nodes []Node, zone string, self member.HostID) {
	p.local.all = p.local.all[:0]
	p.remote.all = p.remote.all[:0]
	for _, n := range nodes {
		switch {
		case n.ID == self:
		case n.Zone == zone:
			p.local.all = append(p.local.all, n.ID)
		default:
			p.remote.all = append(p.remote.all, n.ID)
		}
	}
	p.local.keepKnown()
	p.remote.keepKnown()
	p.fill()
}

// keepKnown drops chosen nodes that are gone.
func (c *circle) keepKnown() {
	c.chosen = slices.DeleteFunc(c.chosen, func(id member.HostID) bool { return !slices.Contains(c.all, id) })
}

func (p *partners) fill() {
	p.local.fill(p.random)
	p.remote.fill(p.random)
}

func (c *circle) fill(random func(n int) int) {
	want := min(c.size, len(c.all))
	for len(c.chosen) < want {
		id := c.all[random(len(c.all))]
		if !slices.Contains(c.chosen, id) {
			c.chosen = append(c.chosen, id)
		}
	}
}

// replace drops a partner that failed and chooses another.
func (c *circle) replace(id member.HostID, random func(n int) int) {
	i := slices.Index(c.chosen, id)
	if i < 0 || len(c.all) <= c.size {
		return
	}
	for {
		next := c.all[random(len(c.all))]
		if !slices.Contains(c.chosen, next) {
			c.chosen[i] = next
			return
		}
	}
}

func (p *partners) failed(id member.HostID) {
	p.local.replace(id, p.random)
	p.remote.replace(id, p.random)
}

// tick replaces one partner of each circle after partnerLife.
func (p *partners) tick(now time.Time) {
	if now.Before(p.renew) {
		return
	}
	first := p.renew.IsZero()
	p.renew = now.Add(partnerLife)
	if first {
		return
	}
	for _, c := range []*circle{&p.local, &p.remote} {
		if len(c.chosen) > 0 {
			c.replace(c.chosen[p.random(len(c.chosen))], p.random)
		}
	}
}

// one returns a partner for an exchange, in another zone one time in four.
func (p *partners) one() (member.HostID, bool) {
	c := &p.local
	if len(c.chosen) == 0 || len(p.remote.chosen) > 0 && p.random(4) == 0 {
		c = &p.remote
	}
	if len(c.chosen) == 0 {
		return "", false
	}
	return c.chosen[p.random(len(c.chosen))], true
}

// some returns partners for a push.
func (p *partners) some(local, remote int) []member.HostID {
	out := p.local.some(local, p.random)
	return append(out, p.remote.some(remote, p.random)...)
}

func (c *circle) some(n int, random func(n int) int) []member.HostID {
	pool := slices.Clone(c.chosen)
	for len(pool) > n {
		i := random(len(pool))
		pool = slices.Delete(pool, i, i+1)
	}
	return pool
}
