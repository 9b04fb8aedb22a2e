// Command _driver-3 plays the scripts of the third review: it starts the project's programs on loopback with stand-ins of the
// platform, servers and consumers, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by the number of their folder. Each returns the number of times that its rule was broken.
var cases = map[string]func(s *system, trouble bool) (broken int, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD-FILE, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSystem(rec)
	if err != nil {
		rec.say("couldn't run: %v", err)
		return 2
	}
	defer s.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(110 * time.Second):
		}
		rec.say("couldn't run: interrupted, or not done after 110 s")
		s.close()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("disruption: %v", trouble)
	broken, err := cases[name](s, trouble)
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return 2
	case broken > 0:
		rec.say("the rule was broken %d times", broken)
		return 1
	}
	rec.say("the rule held")
	return 0
}
