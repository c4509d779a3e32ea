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

// baseSite is the key of the policy for sites without an overlay.
const baseSite = ""

// validator validates snapshots and keeps the results until the snapshots
// become active. Methods may be called concurrently, except that validate must
// not run twice at the same time for one prefix.
type validator struct {
	site    string
	compile Compiler

	mu           sync.Mutex
	validConfig  compiledConfig // last one that passed validation
	activeConfig compiledConfig
	validLists   parsedLists // last ones that passed validation
	activeLists  parsedLists
}

// compiledConfig is a valid configuration.
type compiledConfig struct {
	snapshot *gossip.Snapshot
	policy   *policy.Policy
}

// parsedLists is a valid snapshot of host lists.
type parsedLists struct {
	snapshot *gossip.Snapshot
	lists    map[string]member.List // by name
}

// validate reports why a snapshot is not valid. With allOverlays it compiles
// all changed overlays of a configuration, otherwise only that of this site.
func (v *validator) validate(snapshot *gossip.Snapshot, allOverlays bool) error {
	v.mu.Lock()
	activeConfig, activeLists := v.activeConfig, v.activeLists
	v.mu.Unlock()
	if snapshot.Prefix == gossip.HostsPrefix {
		lists, err := parseLists(snapshot, activeLists)
		if err != nil {
			return err
		}
		v.mu.Lock()
		v.validLists = parsedLists{snapshot, lists}
		v.mu.Unlock()
		return nil
	}
	compiled, err := v.validateConfig(snapshot, activeConfig, allOverlays)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.validConfig = compiledConfig{snapshot, compiled}
	v.mu.Unlock()
	return nil
}

// validateConfig compiles the parts that a change affects and returns the
// policy of this site, the only one needed. With an unchanged base, the overlays
// of the active configuration are known to be valid with it.
func (v *validator) validateConfig(snapshot *gossip.Snapshot, active compiledConfig, allOverlays bool) (*policy.Policy, error) {
	if snapshot.Base() == nil {
		return nil, errors.New("there is no base file")
	}
	overlays := snapshot.Overlays()
	toCompile := map[string][]byte{}
	sameBase := active.snapshot != nil && bytes.Equal(active.snapshot.Base(), snapshot.Base())
	var activeOverlays map[string][]byte
	if sameBase {
		activeOverlays = active.snapshot.Overlays()
	}
	for site, body := range overlays {
		old, exists := activeOverlays[site]
		if exists && bytes.Equal(old, body) {
			continue
		}
		if allOverlays || site == v.site {
			toCompile[site] = body
		}
	}
	overlay, hasOverlay := overlays[v.site]
	oldOverlay, hadOverlay := activeOverlays[v.site]
	sameSite := sameBase && hasOverlay == hadOverlay && bytes.Equal(overlay, oldOverlay)
	if sameSite && len(toCompile) == 0 {
		return withRevision(active.policy, snapshot.Revision), nil
	}
	policies, err := v.compile(snapshot.Revision, snapshot.Base(), toCompile)
	if err != nil {
		return nil, err
	}
	if sameSite {
		return withRevision(active.policy, snapshot.Revision), nil
	}
	if hasOverlay {
		return policyOf(policies, v.site)
	}
	return policyOf(policies, baseSite)
}

func policyOf(policies map[string]*policy.Policy, site string) (*policy.Policy, error) {
	if p := policies[site]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no policy for site %q", site)
}

// withRevision returns a copy of the policy with another store revision.
func withRevision(p *policy.Policy, revision uint64) *policy.Policy {
	out := *p
	out.Revision = revision
	return &out
}

// parseLists returns all lists of a snapshot. It parses those that differ from
// the active ones.
func parseLists(snapshot *gossip.Snapshot, active parsedLists) (map[string]member.List, error) {
	lists := map[string]member.List{}
	for _, name := range snapshot.Names() {
		value, _ := snapshot.Value(name)
		if list, ok := unchangedList(value, active); ok {
			lists[name] = list
			continue
		}
		list, err := member.ParseList(name, value.Body)
		if err != nil {
			return nil, err
		}
		lists[name] = list
	}
	return lists, nil
}

// unchangedList returns the active list that has the same content as a value.
func unchangedList(value gossip.Value, active parsedLists) (member.List, bool) {
	if active.snapshot == nil {
		return member.List{}, false
	}
	old, ok := active.snapshot.Value(value.Name)
	if !ok || old.Sum != value.Sum {
		return member.List{}, false
	}
	list, ok := active.lists[value.Name]
	return list, ok
}

// activateConfig makes a configuration active that passed validation, and
// returns its policy.
func (v *validator) activateConfig(snapshot *gossip.Snapshot) *policy.Policy {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.validConfig.snapshot == snapshot {
		v.activeConfig = v.validConfig
	}
	return v.activeConfig.policy
}

// activateLists makes host lists active that passed validation, and returns
// those that differ from the previously active ones. For a list that is no
// longer published it returns an empty list.
func (v *validator) activateLists(snapshot *gossip.Snapshot) []member.List {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.validLists.snapshot != snapshot {
		return nil
	}
	var out []member.List
	for _, name := range snapshot.Names() {
		value, _ := snapshot.Value(name)
		if _, same := unchangedList(value, v.activeLists); !same {
			out = append(out, v.validLists.lists[name])
		}
	}
	for name, list := range v.activeLists.lists {
		if _, ok := snapshot.Value(name); !ok {
			out = append(out, member.List{Zone: list.Zone})
		}
	}
	v.activeLists = v.validLists
	return out
}
