// Command toucangwd is the node process.
package main

func main() {}
