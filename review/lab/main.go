// Command lab runs the cases of the review: it starts nodes of the product as processes on loopback
// addresses, before the project's stand-in of the store and replicas of its own.
//
//	lab replica --id ID ...      one replica, a process of its own
//	lab NAME FILE                one case, with its record in FILE
//
// A case exits with 1 if its rule was broken, with 0 if it held, and with 2 if it could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the cases by name. Each returns what broke its rule.
var cases = map[string]func(s *site, trouble bool) ([]string, error){
	"drained-replica-ends": drainedReplicaEnds,
	"late-extra-answer":    lateExtraAnswer,
	"late-long-text":       lateLongText,
	"many-items":           manyItems,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// endOnSignal ends all processes of the site when this one is told to end, or takes too long.
func endOnSignal(s *site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	s.record("the case was ended")
	s.close()
	os.Exit(exitNotRun)
}

func runCase(name, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	s := newSite(file, temporary)
	defer s.close()
	go endOnSignal(s)
	trouble := os.Getenv("TROUBLE") != "0"
	s.record("case %s, disruption %v", name, trouble)
	broken, err := cases[name](s, trouble)
	if err != nil {
		s.record("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	for _, line := range broken {
		s.record("BROKEN: %s", line)
		fmt.Println("broken:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	s.record("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
