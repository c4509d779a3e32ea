package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"toucangw.example/core/policy"
	"toucangw.example/settings"
)

// checkResult is the result of a check. Its JSON form is stable.
type checkResult struct {
	Valid    bool              `json:"valid"`
	Base     string            `json:"base"`
	Overlays []checkOverlay    `json:"overlays"`
	Problems settings.Problems `json:"problems"`

	services, kinds, callers int // counts in the base, for the text output
}

type checkOverlay struct {
	Site string `json:"site"`
	File string `json:"file"`
}

func newCheckResult(base string, files map[string]string, problems settings.Problems) *checkResult {
	r := &checkResult{
		Valid:    len(problems) == 0,
		Base:     base,
		Overlays: []checkOverlay{},
		Problems: settings.Problems{},
	}
	for _, site := range slices.Sorted(maps.Keys(files)) {
		r.Overlays = append(r.Overlays, checkOverlay{Site: site, File: files[site]})
	}
	r.Problems = append(r.Problems, problems...)
	return r
}

func (r *checkResult) setCounts(p *policy.Policy) {
	r.services = len(p.Services)
	r.kinds = len(p.Kinds)
	r.callers = len(p.Callers)
}

func (r *checkResult) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Terminal escape sequences.
const (
	styleBold  = "\x1b[1m"
	styleRed   = "\x1b[31m"
	styleGreen = "\x1b[32m"
	styleReset = "\x1b[0m"
)

func (r *checkResult) writeText(w io.Writer, colour bool) error {
	style := func(code, text string) string {
		if !colour {
			return text
		}
		return code + text + styleReset
	}
	var b strings.Builder
	for _, p := range r.Problems {
		position := fmt.Sprintf("%s:%d:", p.File, p.Line)
		rest := strings.TrimPrefix(p.String(), position)
		b.WriteString(style(styleBold, position) + rest + "\n")
	}
	if r.Valid {
		summary := fmt.Sprintf(": %s with %s: %s, %s, %s", r.Base, plural(len(r.Overlays), "overlay"),
			plural(r.services, "service"), plural(r.kinds, "kind"), plural(r.callers, "caller"))
		b.WriteString(style(styleGreen, "valid") + summary + "\n")
	} else {
		b.WriteString(style(styleRed, "not valid") + ": " + plural(len(r.Problems), "problem") + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}
