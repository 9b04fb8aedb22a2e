package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*harness) (broken bool, err error){
		"bodies":      bodies,
		"connections": connections,
		"events":      events,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(exitNotDone)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*harness) (bool, error), folder string) int {
	h, err := newHarness(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if h != nil {
			h.stop()
		}
		return exitNotDone
	}
	defer h.stop()
	broken, err := run(h)
	switch {
	case err != nil:
		h.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotDone
	case broken:
		h.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	h.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
