// Command standins2 holds the stand-ins of the cases in review/6 to review/10: the
// platform's store, backends and clients. Each case starts the project's own nodes as
// processes and exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// result of a case.
type result int

const (
	held   result = 0
	broken result = 1
	noRun  result = 2
)

// env is what a case gets.
type env struct {
	rec     *Record
	site    *Site
	trouble bool
}

var cases = map[string]func(*env) (result, error){
	"cutback":  cutBack,
	"queue":    queueDrain,
	"longbody": longBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		os.Exit(int(noRun))
	}
	os.Exit(int(run(cases[os.Args[1]], os.Args[2])))
}

func run(c func(*env) (result, error), path string) result {
	rec, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	site, err := NewSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return noRun
	}
	defer site.Close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan result, 1)
	go func() {
		r, err := c(&env{rec: rec, site: site, trouble: os.Getenv("TROUBLE") != "0"})
		if err != nil {
			rec.Print("the case could not run: %v", err)
			r = noRun
		}
		done <- r
	}()
	select {
	case r := <-done:
		return r
	case <-ended:
		return noRun
	}
}
