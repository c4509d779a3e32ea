// Package settings reads node settings, base files and overlays. Files are
// TOML and are read strictly: an unknown key, a wrong unit or a value out of
// range is a problem, and all problems of all files are reported at once, each
// with its file, line and key.
//
// All functions are safe for concurrent use and deterministic: every node
// judges the same files in the same way.
package settings

//go:generate go run ./reference ../docs/reference-settings.md

import (
	"maps"
	"slices"

	"toucangw.example/core/policy"
)

// Source is a file to read. Name is used in problems only.
type Source struct {
	Name string
	Data []byte
}

// BaseSite is the key under which Compile returns the policy of the base
// alone, which applies at sites without an overlay.
const BaseSite = ""

// Compile checks the base with every overlay (by site name) and returns one
// policy per site plus the policy of the base alone under BaseSite. If there
// is any problem, no policy is returned.
func Compile(revision uint64, base Source, overlays map[string]Source) (map[string]*policy.Policy, Problems) {
	var c collector
	baseDoc := read(base, baseTables, modeBase, &c)
	checkBase(baseDoc, &c)
	merged := map[string]*document{BaseSite: baseDoc}
	for _, site := range slices.Sorted(maps.Keys(overlays)) {
		checkSiteName(site, overlays[site].Name, &c)
		overlay := read(overlays[site], baseTables, modeOverlay, &c)
		merged[site] = applyOverlay(baseDoc, overlay, &c)
	}
	if problems := c.result(); len(problems) > 0 {
		return nil, problems
	}
	policies := make(map[string]*policy.Policy, len(merged))
	for site, doc := range merged {
		policies[site] = buildPolicy(revision, site, doc)
	}
	return policies, nil
}

func checkSiteName(site, file string, c *collector) {
	if !validName(site) {
		c.add(Problem{File: file, Rule: RuleSiteName, Message: quoted("site name %s: "+nameHelp, site)})
	}
}
