// Command almonddev is the development program: stand-ins, a whole local system and experiments.
package main

func main() {}
