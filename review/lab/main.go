// Command lab runs one script case of the review: it starts VMs as separate processes beside stand-ins on loopback, and
// judges what clients and servers have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Case is a script case. It returns whether the rule was broken.
type Case func(l *Lab) bool

var cases = map[string]Case{}

// Lab is what a case works with.
type Lab struct {
	*Record
	Dir     string // temporary folder
	Trouble bool   // false leaves the disruption out
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	unable(err)
	tempDir = dir
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		stopAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	l := &Lab{Record: NewRecord(filepath.Join(os.Args[2], "record.txt")), Dir: dir, Trouble: os.Getenv("TROUBLE") != "0"}
	l.Line("case %s, disruption %v", os.Args[1], l.Trouble)
	broken := cases[os.Args[1]](l)
	stopAll()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	if broken {
		l.Say("the rule was broken")
		os.Exit(1)
	}
	l.Say("the rule held")
}
