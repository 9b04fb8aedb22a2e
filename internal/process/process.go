// Package process builds the parts that every binary needs from its settings: the log, certificates, the
// table service client and the identity towards peers.
package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/pomelowheel/pomelowheel/internal/settings"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// idleSession is the age at which an unused session to a peer is closed.
const idleSession = 5 * time.Minute

// NewLogger returns the log of a process on standard error. The settings were checked.
func NewLogger(l settings.Log) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(l.Level))
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, options))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, options))
}

// NewIdentity returns the identity of a process that listens on address, with a new incarnation.
func NewIdentity(p settings.Process, role, address string) *wirepb.Identity {
	return &wirepb.Identity{
		Host: p.Host, DataCentre: p.DataCentre, Role: role, Incarnation: uuid.NewString(), Address: address,
	}
}

// NewTableStore returns the client of the table service.
func NewTableStore(t settings.TableService) *tablestore.DynamoDB {
	return tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
		Endpoint: t.Endpoint, Region: t.Region, Table: t.Table, Timeout: t.Timeout.D(),
		AccessKeyID: os.Getenv("AWS_ACCESS_KEY_ID"), SecretAccessKey: os.Getenv("AWS_SECRET_ACCESS_KEY"),
	})
}

// Signals returns a context that ends with the first interrupt or termination signal, and a second one
// that ends with the next. Stop releases both.
func Signals(ctx context.Context) (first, second context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	first, cancelFirst := context.WithCancel(ctx)
	second, cancelSecond := context.WithCancel(ctx)
	go func() {
		for _, cancel := range []context.CancelFunc{cancelFirst, cancelSecond} {
			select {
			case <-signals:
				cancel()
			case <-second.Done():
				return
			}
		}
	}()
	return first, second, func() {
		signal.Stop(signals)
		cancelFirst()
		cancelSecond()
	}
}

// CloseIdle closes sessions of pool that were not used for a while, until ctx ends.
func CloseIdle(ctx context.Context, pool *transport.Pool) error {
	ticker := time.NewTicker(idleSession / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			pool.CloseIdle(now.Add(-idleSession))
		}
	}
}
