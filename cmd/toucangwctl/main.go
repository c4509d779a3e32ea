// Command toucangwctl is the operators' tool.
package main

func main() {}
