// Program standin plays the cases of the review that are scripts: it starts the project's programs as processes, stands in
// for clients, backend servers, the platform and the operator, and checks a rule.
//
// Usage: standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// there is no disruption.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")

		return 2
	}

	play, known := map[string]func(*recorder, bool) []string{
		"setup":   playSetup,
		"planned": playPlanned,
		"restart": playRestart,
	}[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])

		return 2
	}

	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 2
	}

	rec := &recorder{file: bufio.NewWriter(file), began: time.Now()}

	defer func() {
		if failure := recover(); failure != nil {
			problem, expected := failure.(setupError)
			if !expected {
				panic(failure)
			}

			rec.line("the case could not run: %s", problem)
			fmt.Println("the case could not run:", problem)

			code = 2
		}

		rec.mutex.Lock()
		defer rec.mutex.Unlock()

		_ = rec.file.Flush()
		_ = file.Close()
	}()

	broken := play(rec, os.Getenv("TROUBLE") != "0")
	for i, each := range broken {
		rec.line("BROKEN %s", each)

		if i < 5 {
			fmt.Println("broken:", each)
		}
	}

	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(broken))

		return 1
	}

	fmt.Println("the rule held")

	return 0
}
