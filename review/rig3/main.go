// Command rig3 plays the cases of the third review: it starts hosts as separate processes
// around stand-ins of the platform's store, of backend servers and of clients, and judges
// what these have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

// playCase plays one case in a world. It returns whether the rule was broken.
type playCase func(w *world, trouble bool) (broken bool, err error)

var cases = map[int]playCase{}

func main() {
	number := flag.Int("case", 0, "number of the case")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	program := flag.String("program", "target/azurering", "the program of the deploy file")
	flag.Parse()
	os.Exit(run(*number, *record, *program, os.Getenv("TROUBLE") != "0"))
}

func run(number int, record, program string, trouble bool) int {
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "rig3: there is no case", number)
		return statusFailed
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return statusFailed
	}
	w, err := newWorld(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return statusFailed
	}
	defer w.close()
	w.note("case", "number=%d trouble=%t", number, trouble)
	broken, err := play(w, trouble)
	if err == nil {
		err = w.endedByItself()
	}
	switch {
	case err != nil:
		w.note("end", "the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return statusFailed
	case broken:
		w.note("end", "the rule was broken")
		fmt.Println("broken")
		return statusBroken
	}
	w.note("end", "the rule held")
	fmt.Println("held")
	return statusHeld
}
