// Command pomeloctl is the command-line tool with which operators read and change the configuration and query the state of
// gateways and sidecars. Its exit codes are documented in package operator.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.Env{
		Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Now: time.Now, Random: rand.Reader,
	})
	stop()
	os.Exit(code)
}
