package control

import (
	"crypto/sha256"
	"fmt"

	"toucangw.example/core/gossip"
	"toucangw.example/settings"
)

const (
	compileRuns = 20
	localSite   = "site-00"
)

// ServiceSizes are the sizes of the base that Compile measures.
var ServiceSizes = []int{50, 150, 300, 450, targetServices}

// Compile measures the processor time that a change of one line of the base
// costs: full and incremental compilation, with the overlay of the local site
// alone and with all overlays, and applying the delta.
func Compile() ([]Row, error) {
	var out []Row
	for _, sites := range []int{1, targetZones} {
		all := overlays(sites)
		full := &series{scenario: "compile", variant: fmt.Sprintf("whole base, %d overlays", sites), metric: "processor time per change", unit: "ms", per: "services"}
		incremental := &series{scenario: "compile", variant: fmt.Sprintf("changed parts, %d overlays", sites), metric: "processor time per change", unit: "ms", per: "services"}
		for _, services := range ServiceSizes {
			versions := baseVersions(services)
			var failed settings.Problems
			full.add(float64(services), cpuPerRun(compileRuns, func(i int) {
				if _, problems := settings.Compile(1, versions[i+1], all); len(problems) > 0 {
					failed = problems
				}
			}))
			compiler := settings.NewCompiler()
			_, _ = compiler.CompileSite(1, versions[0], all, localSite)
			incremental.add(float64(services), cpuPerRun(compileRuns, func(i int) {
				if _, problems := compiler.CompileSite(1, versions[i+1], all, localSite); len(problems) > 0 {
					failed = problems
				}
			}))
			if len(failed) > 0 {
				return nil, fmt.Errorf("generated base of %d services: %w", services, failed)
			}
		}
		out = append(out, flatten(full, incremental)...)
		out = append(out, coreShare(full), coreShare(incremental))
	}
	return append(out, deltaCost()...), nil
}

func baseVersions(services int) []settings.Source {
	var out []settings.Source
	for i := range compileRuns + 1 {
		out = append(out, settings.Source{Name: "base", Data: baseFile(services, i)})
	}
	return out
}

// coreShare converts the time at the largest size to a share of a core at the
// target rate of changes.
func coreShare(s *series) Row {
	return s.row("share of a core at 18,000 base changes a day", "%", s.y[len(s.y)-1]/1000/secondsPerChange*100)
}

// deltaCost measures what a change of one line costs a node besides compiling:
// the processor time to apply the delta, and the sizes of the delta and of the
// full value.
func deltaCost() []Row {
	apply := &series{scenario: "delta", variant: "one line changed", metric: "processor time to check and apply", unit: "ms", per: "services"}
	size := &series{scenario: "delta", variant: "one line changed", metric: "update", unit: "bytes", per: "services"}
	full := &series{scenario: "delta", variant: "whole value, compressed", metric: "update", unit: "bytes", per: "services"}
	for _, services := range ServiceSizes {
		from, to := baseFile(services, 1), baseFile(services, 2)
		a, b := configSnapshot(1, from), configSnapshot(2, to)
		probe := gossip.NewProbe(a)
		update := probe.UpdateTo(b)
		apply.add(float64(services), cpuPerRun(200, func(int) { probe.Apply(update) }))
		size.add(float64(services), float64(updateBytes(update)))
		full.add(float64(services), float64(updateBytes(probe.FullUpdate(b))))
	}
	return flatten(apply, size, full)
}

func configSnapshot(revision uint64, base []byte) *gossip.Snapshot {
	return gossip.NewSnapshot(gossip.ConfigPrefix, revision, map[string]gossip.Value{
		gossip.BaseName: {Name: gossip.BaseName, Revision: revision, Sum: sha256.Sum256(base), Body: base},
	})
}
