// Command rig2 plays the scripts of the second review: it starts entry hosts as
// processes around stand-ins of the platform, disturbs them, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scripts maps the numbers of the cases to their scripts. A script returns what broke
// the rule.
var scripts = map[string]func(w *world, trouble bool) (broken []string, err error){
	"6":  stopBehindPipeline,
	"9":  weightOfZero,
	"10": brokenAnswerBeforeOthers,
}

// hostCounts holds the number of hosts of each script.
var hostCounts = map[string]int{"6": 3, "9": 2, "10": 2}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE TROUBLE; a TROUBLE of 0 leaves the disruption out")
		return exitFailed
	}
	number := os.Args[1]
	r := newRecord()
	w, err := newWorld(r, hostCounts[number])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	trouble := os.Args[2] != "0"
	broken, err := scripts[number](w, trouble)
	w.close()
	for _, b := range broken {
		r.logf("BROKEN: %s", b)
	}
	r.logf("trouble=%t broken=%d error=%v", trouble, len(broken), err)
	if writeErr := r.write(filepath.Join("review", number, "record.txt")); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitFailed
	}
	switch {
	case err != nil:
		return exitFailed
	case len(broken) > 0:
		return exitBroken
	}
	return exitHeld
}
