package control

import (
	"fmt"
	"strings"

	"toucangw.example/settings"
)

// Deployment names the size of deployment that the measurements represent.
const Deployment = "target"

const (
	targetServices = 650
	targetHosts    = 21_000
	targetZones    = 13
	changesPerDay  = 18_000
	// kindsPerService makes the base of 650 services about half a megabyte.
	kindsPerService = 3
)

// secondsPerChange is the mean time between two changes.
const secondsPerChange = 86_400.0 / changesPerDay

// baseFile returns a valid base with the given number of services. The version
// sets one slot count in the middle of the file, so that versions differ by one
// line.
func baseFile(services, version int) []byte {
	var out strings.Builder
	for i := range services {
		slots := 80
		if i == services/2 {
			slots += version
		}
		fmt.Fprintf(&out, "[[service]]\nname = \"service-%03d\"\nslots = %d\nconnections = 570\nprobe_path = \"/healthz\"\n\n", i, slots)
	}
	for i := range services {
		for k := range kindsPerService {
			fmt.Fprintf(&out, "[[kind]]\nname = \"read-%03d-%d\"\nservice = \"service-%03d\"\nmethod = \"GET\"\npath_prefix = \"/read-%d\"\n", i, k, i, k)
			fmt.Fprintf(&out, "importance = \"normal\"\nworth = %d\ndeadline = \"400ms\"\nextra_attempts = 1\ncost = \"5ms\"\n\n", k+1)
		}
	}
	out.WriteString("[[caller]]\nname = \"house-a\"\nshare = 1\n")
	return []byte(out.String())
}

// overlayFile returns a valid overlay for a base with at least 20 services.
func overlayFile() []byte {
	var out strings.Builder
	for i := range 20 {
		fmt.Fprintf(&out, "[[service]]\nname = \"service-%03d\"\ncold_start = \"8s\"\n\n", i)
	}
	return []byte(out.String())
}

func overlays(n int) map[string]settings.Source {
	out := map[string]settings.Source{}
	for i := range n {
		name := fmt.Sprintf("site-%02d", i)
		out[name] = settings.Source{Name: name, Data: overlayFile()}
	}
	return out
}
