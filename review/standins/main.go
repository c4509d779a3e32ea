// Command review runs one case of the review: it starts nodes of this project as
// separate processes on loopback addresses, with stand-ins of the platform's store,
// of the servers and of the clients, and judges what clients and servers have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	held     = 0
	broken   = 1
	notRun   = 2
	exitHelp = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE DIRECTORY")
		os.Exit(exitHelp)
	}
	cases := map[string]func(s *site, trouble bool) (int, error){
		"restarted-server-drains": restartedServerDrains,
		"slow-reader":             slowReader,
		"pipelined-stop":          pipelinedStop,
		"download-stop":           downloadStop,
		"kill-then-freeze":        killThenFreeze,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitHelp)
	}
	os.Exit(play(run, os.Args[1], os.Args[2]))
}

func play(run func(*site, bool) (int, error), name, dir string) int {
	root, err := filepath.Abs(filepath.Join(dir, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s, err := newSite(root, dir, staleLags[name])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.log("case %s, disruption: %v", name, trouble)
	verdict, err := run(s, trouble)
	if err != nil {
		s.log("did not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	text := map[int]string{held: "the rule held", broken: "THE RULE WAS BROKEN"}[verdict]
	s.log("%s", text)
	fmt.Println(text)
	return verdict
}
