// Command toucangwctl is the operators' command-line tool.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], systemEnvironment()))
}
