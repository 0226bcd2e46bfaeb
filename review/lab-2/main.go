// Command lab2 plays one case of the review: a small deployment on loopback, one disruption, and a check of the rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// The processes of a case are ended with the thread that starts them, which is the main one.
func init() { runtime.LockOSThread() }

var cases = map[string]func(l *lab, trouble bool) (int, error){
	"bigconfig":   bigConfig,
	"hang":        hang,
	"failback":    failback,
	"gone":        gone,
	"slowread":    slowRead,
	"lostanswer":  lostAnswer,
	"silentstore": silentStore,
	"storm":       storm,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/pistachio-vm", "program of a VM, as the deploy file names it")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case with that name")
		os.Exit(exitNotRun)
	}
	l, err := newLab(*program, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		os.Exit(exitNotRun)
	}
	status, err := play(l, os.Getenv("TROUBLE") != "0")
	if err != nil {
		l.say("the case could not run: %v", err)
		status = exitNotRun
	}
	l.close()
	os.Exit(status)
}
