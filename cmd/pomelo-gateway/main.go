// Command pomelo-gateway serves the HTTP requests of callers and routes them to the sidecars of backend servers.
package main

import (
	"os"

	"github.com/pomelowheel/pomelowheel/internal/process"
	"github.com/pomelowheel/pomelowheel/internal/settings"
)

func main() {
	os.Exit(process.Main("pomelo-gateway", os.Args[1:], os.Stderr, settings.LoadGateway, func(s *settings.Gateway) error {
		return run(s, process.NewLogger(s.Log))
	}))
}
