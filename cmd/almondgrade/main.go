// Command almondgrade is the database proxy and its control process.
package main

func main() {}
