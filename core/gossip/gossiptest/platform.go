package gossiptest

import (
	"crypto/sha256"
	"maps"
	"strings"
	"time"

	"toucangw.example/core/gossip"
)

// Platform is a fake of the configuration service.
type Platform struct {
	revision uint64
	values   map[string]gossip.Value
	changed  map[string]uint64 // revision of the newest change by prefix
	deleted  map[string]uint64

	Down         bool
	Inconsistent bool      // answers are inconsistent: a value is truncated and does not match its hash
	stale        *Platform // if not nil, answers come from this copy

	Reads   int // answered, rejected and waiting reads
	Bytes   int // in bodies of answers
	Waiting int
	waiters []*waiter
}

type waiter struct {
	read   gossip.Read
	answer func(gossip.PlatformAnswer)
	done   bool
}

// NewPlatform returns a platform without values.
func NewPlatform() *Platform {
	return &Platform{
		values:  map[string]gossip.Value{},
		changed: map[string]uint64{},
		deleted: map[string]uint64{},
	}
}

// Put publishes a value and returns its store revision.
func (p *Platform) Put(name, body string) uint64 {
	p.revision++
	p.values[name] = gossip.Value{
		Name: name, Revision: p.revision, Sum: sha256.Sum256([]byte(body)), Body: []byte(body),
	}
	delete(p.deleted, name)
	p.recordChange(name)
	return p.revision
}

// Delete removes a value and returns the store revision.
func (p *Platform) Delete(name string) uint64 {
	p.revision++
	delete(p.values, name)
	p.deleted[name] = p.revision
	p.recordChange(name)
	return p.revision
}

func (p *Platform) recordChange(name string) {
	for _, prefix := range gossip.Prefixes {
		if strings.HasPrefix(name, prefix) {
			p.changed[prefix] = p.revision
		}
	}
	p.answerWaiters()
}

func (p *Platform) answerWaiters() {
	if p.Down || p.stale != nil {
		return
	}
	waiters := p.waiters
	p.waiters = nil
	for _, w := range waiters {
		switch {
		case w.done:
		case p.changed[w.read.Prefix] > w.read.After:
			w.finish(p)
		default:
			p.waiters = append(p.waiters, w)
		}
	}
}

func (w *waiter) finish(p *Platform) {
	w.done = true
	p.Waiting--
	w.answer(p.answer(w.read))
}

// Freeze makes the platform answer from a copy of its current state.
func (p *Platform) Freeze() {
	p.stale = &Platform{
		revision: p.revision,
		values:   maps.Clone(p.values),
		changed:  maps.Clone(p.changed),
		deleted:  maps.Clone(p.deleted),
	}
}

// Thaw ends Freeze.
func (p *Platform) Thaw() {
	p.stale = nil
	p.answerWaiters()
}

func (p *Platform) answer(read gossip.Read) gossip.PlatformAnswer {
	prefix, after := read.Prefix, read.After
	source := p
	if p.stale != nil {
		source = p.stale
	}
	all := map[string]gossip.Value{}
	a := gossip.PlatformAnswer{Revision: source.changed[prefix]}
	for name, v := range source.values {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		all[name] = v
		if v.Revision > after && !read.RevisionOnly {
			a.Values = append(a.Values, v)
			p.Bytes += len(v.Body)
		}
	}
	for name, revision := range source.deleted {
		if strings.HasPrefix(name, prefix) && revision > after {
			a.Deleted = append(a.Deleted, name)
		}
	}
	a.Digest = gossip.NewSnapshot(prefix, 0, all).Digest
	if p.Inconsistent && len(a.Values) > 0 {
		v := &a.Values[0]
		v.Body = append(v.Body[:len(v.Body)/2:len(v.Body)/2], "torn"...)
	}
	return a
}

// read answers at once, when a change arrives, or when the wait ends.
func (p *Platform) read(read gossip.Read, later func(time.Duration, func()), answer func(gossip.PlatformAnswer), fail func()) {
	p.Reads++
	if p.Down {
		fail()
		return
	}
	a := p.answer(read)
	if read.Wait == 0 || a.Revision > read.After {
		answer(a)
		return
	}
	w := &waiter{read: read, answer: answer}
	p.waiters = append(p.waiters, w)
	p.Waiting++
	later(read.Wait, func() {
		switch {
		case w.done:
		case p.Down:
			w.done = true
			p.Waiting--
			fail()
		default:
			w.finish(p)
		}
	})
}
