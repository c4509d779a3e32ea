// Command review runs the cases of the review. Each starts a small installation on
// loopback addresses: the project's node processes and stand-ins of the store, the
// backends and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// run is one run of a case.
type run struct {
	*site
	trouble bool

	mu         sync.Mutex
	broken     []string // what broke the rule
	cutInTouch int      // answers that a node in touch cut
}

func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
	r.record.line("BROKEN   %s", text)
}

// cases holds the cases by name.
var cases = map[string]func(*run) error{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	longest    = 115 * time.Second
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		return notRun(err)
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun(err)
	}
	defer rec.close()
	s, err := newSite(root, rec)
	if err != nil {
		return notRun(err)
	}
	defer s.close()
	r := &run{site: s, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, disruption: %v", name, r.trouble)
	done := make(chan error, 1)
	go func() { done <- cases[name](r) }()
	select {
	case err = <-done:
	case <-time.After(longest):
		err = fmt.Errorf("not finished after %v", longest)
	}
	if err != nil {
		rec.line("not run: %v", err)
		return notRun(err)
	}
	if len(r.broken) > 0 {
		fmt.Println("broken:", strings.Join(r.broken[:min(3, len(r.broken))], "; "))
		rec.line("broken: %d findings", len(r.broken))
		return exitBroken
	}
	fmt.Println("held")
	rec.line("held")
	return exitHeld
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
