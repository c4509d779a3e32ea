// Package settings reads node settings, base files and overlays. Files are
// TOML and are read strictly: an unknown key, a wrong unit or a value out of
// range is a problem. All problems of all files are reported together, each
// with its file, line and key.
//
// All functions are safe for concurrent use; a Compiler is not. Results depend
// on the files alone, so that all nodes accept and reject the same files.
package settings

//go:generate go run ./reference ../docs/reference-settings.md

import "toucangw.example/core/policy"

// Source is a file to read. Name is only used to report problems.
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
	return NewCompiler().Compile(revision, base, overlays)
}

func checkSiteName(site, file string, c *collector) {
	if !validName(site) {
		c.add(Problem{File: file, Rule: RuleSiteName, Message: quoted("site name %s: "+nameHelp, site)})
	}
}
