// Command toucangwctl is the command-line tool for operators of toucangw.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], systemEnvironment()))
}
