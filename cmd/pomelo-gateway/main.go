// Command pomelo-gateway is the entry process for callers.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

func main() {
	configFile := flag.String("config", "", "settings `FILE`")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Parse()
	s, err := settings.LoadGateway(*configFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *check {
		return
	}
	if err := run(s, process.NewLogger(s.Log)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
