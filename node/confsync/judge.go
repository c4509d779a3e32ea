package confsync

import (
	"bytes"
	"errors"
	"fmt"
	"sync"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
	"toucangw.example/core/policy"
)

// baseSite is the key of the policy that applies at sites without an overlay.
const baseSite = ""

// judge decides whether sets are valid and keeps the results until the sets
// come into force. Methods may be called concurrently; check is called for at
// most one set of each prefix at a time.
type judge struct {
	site    string
	compile Compiler

	mu     sync.Mutex
	config compiled // last valid one
	force  compiled
	lists  parsed // last valid one
	known  parsed // in force
}

// compiled is a valid configuration.
type compiled struct {
	set    *gossip.Snapshot
	policy *policy.Policy
}

// parsed is a valid set of host lists.
type parsed struct {
	set   *gossip.Snapshot
	lists map[string]member.List // by name
}

func (j *judge) check(set *gossip.Snapshot, all bool) error {
	j.mu.Lock()
	force, known := j.force, j.known
	j.mu.Unlock()
	if set.Prefix == gossip.HostsPrefix {
		lists, err := parseLists(set, known)
		if err != nil {
			return err
		}
		j.mu.Lock()
		j.lists = parsed{set, lists}
		j.mu.Unlock()
		return nil
	}
	result, err := j.checkConfig(set, force, all)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.config = compiled{set, result}
	j.mu.Unlock()
	return nil
}

// checkConfig compiles what the change touches. With an unchanged base, the
// overlays in force are known to be valid with it; of the policies, only the
// one of the own site is needed.
func (j *judge) checkConfig(set *gossip.Snapshot, force compiled, all bool) (*policy.Policy, error) {
	if set.Base() == nil {
		return nil, errors.New("there is no base file")
	}
	overlays := set.Overlays()
	needed := map[string][]byte{}
	sameBase := force.set != nil && bytes.Equal(force.set.Base(), set.Base())
	var before map[string][]byte
	if sameBase {
		before = force.set.Overlays()
	}
	for site, body := range overlays {
		old, known := before[site]
		if known && bytes.Equal(old, body) {
			continue
		}
		if all || site == j.site {
			needed[site] = body
		}
	}
	own, hasOwn := overlays[j.site]
	oldOwn, hadOwn := before[j.site]
	ownSame := sameBase && hasOwn == hadOwn && bytes.Equal(own, oldOwn)
	if ownSame && len(needed) == 0 {
		return relabel(force.policy, set.Revision), nil
	}
	policies, err := j.compile(set.Revision, set.Base(), needed)
	if err != nil {
		return nil, err
	}
	if ownSame {
		return relabel(force.policy, set.Revision), nil
	}
	if hasOwn {
		return pick(policies, j.site)
	}
	return pick(policies, baseSite)
}

func pick(policies map[string]*policy.Policy, site string) (*policy.Policy, error) {
	if p := policies[site]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no policy for site %q", site)
}

// relabel returns the policy under another store revision.
func relabel(p *policy.Policy, revision uint64) *policy.Policy {
	out := *p
	out.Revision = revision
	return &out
}

// parseLists reads the lists that changed.
func parseLists(set *gossip.Snapshot, known parsed) (map[string]member.List, error) {
	lists := map[string]member.List{}
	for _, name := range set.Names() {
		v, _ := set.Value(name)
		if list, ok := unchanged(v, known); ok {
			lists[name] = list
			continue
		}
		list, err := member.ParseList(name, v.Body)
		if err != nil {
			return nil, err
		}
		lists[name] = list
	}
	return lists, nil
}

func unchanged(v gossip.Value, known parsed) (member.List, bool) {
	if known.set == nil {
		return member.List{}, false
	}
	old, ok := known.set.Value(v.Name)
	if !ok || old.Sum != v.Sum {
		return member.List{}, false
	}
	list, ok := known.lists[v.Name]
	return list, ok
}

// adoptConfig returns the policy of a set that check found valid.
func (j *judge) adoptConfig(set *gossip.Snapshot) *policy.Policy {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.config.set == set {
		j.force = j.config
	}
	return j.force.policy
}

// adoptLists returns the lists of a set, found valid by check, that differ from
// those in force. A list that is no longer published is empty.
func (j *judge) adoptLists(set *gossip.Snapshot) []member.List {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lists.set != set {
		return nil
	}
	var out []member.List
	for _, name := range set.Names() {
		v, _ := set.Value(name)
		if _, same := unchanged(v, j.known); !same {
			out = append(out, j.lists.lists[name])
		}
	}
	for name, list := range j.known.lists {
		if _, ok := set.Value(name); !ok {
			out = append(out, member.List{Zone: list.Zone})
		}
	}
	j.known = j.lists
	return out
}
