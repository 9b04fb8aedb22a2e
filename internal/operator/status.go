package operator

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/configsync"
	"github.com/pomelowheel/pomelowheel/internal/hostlist"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const (
	maxParallelQueries = 32
	pollInterval       = 500 * time.Millisecond
)

// Process is a gateway or sidecar with the configuration version that it reported.
type Process struct {
	Address string `json:"address"`
	Role    string `json:"role,omitempty"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms,omitempty"` // time since a gateway confirmed its version, in milliseconds; -1 if it never did
	Error   string `json:"error,omitempty"`  // why the version is not known; empty if it is
}

// Rollout describes on which processes a configuration version is in force.
type Rollout struct {
	Version   int64    `json:"version"`
	Processes int      `json:"processes"`
	At        int      `json:"at"`        // number of processes at the version or a later one
	Behind    []string `json:"behind"`    // addresses of processes at an older version
	NotHeard  []string `json:"not_heard"` // addresses of processes whose version is not known
}

// RolloutOf sorts processes into those at version or later, those behind it and those that did not answer.
func RolloutOf(version int64, processes []Process) Rollout {
	f := Rollout{Version: version, Processes: len(processes), Behind: []string{}, NotHeard: []string{}}
	for _, p := range processes {
		switch {
		case p.Error != "":
			f.NotHeard = append(f.NotHeard, p.Address)
		case p.Version >= version:
			f.At++
		default:
			f.Behind = append(f.Behind, p.Address)
		}
	}
	return f
}

// peers returns the processes given by -peers, whose role is not known, and those in the host list, without their
// versions.
func (inv *invocation) peers(ctx context.Context) ([]Process, error) {
	var found []Process
	for _, address := range splitList(inv.opts.peers) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, usagef("-peers: %q: expected an IP address and port", address)
		}
		found = append(found, Process{Address: address})
	}
	if inv.opts.hosts == "" {
		return found, nil
	}
	list := hostlist.New(hostlist.Options{URL: inv.opts.hosts})
	if err := list.Poll(ctx); err != nil {
		return nil, err
	}
	for _, a := range list.Gateways() {
		found = append(found, Process{Address: a, Role: "gateway"})
	}
	for _, a := range list.Sidecars() {
		found = append(found, Process{Address: a, Role: "sidecar"})
	}
	return found, nil
}

// countSidecars returns the number of listed sidecars in the data centres among entities. It is 0 if there is no host list
// or it cannot be read.
func (inv *invocation) countSidecars(ctx context.Context, entities []config.Entity) int {
	changed := make(map[string]bool)
	for _, e := range entities {
		if e.Kind == config.KindDataCentre {
			changed[e.Name] = true
		}
	}
	if inv.opts.hosts == "" || len(changed) == 0 {
		return 0
	}
	list := hostlist.New(hostlist.Options{URL: inv.opts.hosts})
	if err := list.Poll(ctx); err != nil {
		fmt.Fprintln(inv.env.Stderr, "backend servers not counted:", err)
		return 0
	}
	count := 0
	for _, address := range list.Sidecars() {
		if h, ok := list.Host(address); ok && changed[h.DataCentre] {
			count++
		}
	}
	return count
}

// pool returns a session pool, with mutual TLS if a certificate is given. Processes are dialled by IP address, so their
// certificates are verified by CA and allowed name, as they are between processes.
func (inv *invocation) pool() (*transport.Pool, error) {
	o := inv.opts
	if o.tlsCert == "" && o.tlsKey == "" && o.tlsCA == "" {
		return transport.NewPool(nil), nil
	}
	if o.tlsCert == "" || o.tlsKey == "" || o.tlsCA == "" {
		return nil, usagef("-tls-cert, -tls-key and -tls-ca must be given together")
	}
	certificates, err := transport.LoadCertificates(transport.TLSFiles{
		CertFile: o.tlsCert, KeyFile: o.tlsKey, CAFile: o.tlsCA, Allowed: splitList(o.tlsAllowed),
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return transport.NewPool(certificates.PeerTLSConfig()), nil
}

// queryAll asks every process for its version and returns copies with the answers, in the same order.
func (inv *invocation) queryAll(ctx context.Context, pool *transport.Pool, processes []Process) []Process {
	var group errgroup.Group
	group.SetLimit(maxParallelQueries)
	var mu sync.Mutex
	answers := slices.Clone(processes)
	for i, p := range processes {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, inv.opts.timeout)
			defer cancel()
			p = queryProcess(ctx, pool, p)
			mu.Lock()
			defer mu.Unlock()
			answers[i] = p
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

// queryProcess asks one process for its version: a gateway by a configuration request that no change matches, a sidecar by
// a status request. A process of unknown role is asked as a gateway, then as a sidecar.
func queryProcess(ctx context.Context, pool *transport.Pool, p Process) Process {
	identity := &wirepb.Identity{Role: "operator"}
	if p.Role != "sidecar" {
		delta, err := configsync.FetchDelta(ctx, pool, p.Address, &wirepb.ConfigRequest{Identity: identity, Since: math.MaxInt64})
		if err == nil {
			p.Role, p.Version, p.AgeMS = "gateway", delta.GetVersion(), delta.GetConfirmedAgeMs()
			return p
		}
		p.Error = err.Error()
		if p.Role == "gateway" {
			return p
		}
	}
	reply, err := configsync.Exchange(ctx, pool, p.Address, &wirepb.Envelope{
		Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{Identity: identity}},
	})
	switch {
	case err != nil:
		p.Error = err.Error()
	case reply.GetStatus() == nil:
		p.Error = fmt.Sprintf("unexpected answer: %T", reply.GetMessage())
	default:
		p.Role, p.Version, p.Error = "sidecar", reply.GetStatus().GetConfigVersion(), ""
	}
	return p
}

// waitInForce asks the processes until all of them are at version or a later one, or until the -wait time is over. It
// returns nil if no process is listed.
func (inv *invocation) waitInForce(ctx context.Context, version int64) (*Rollout, error) {
	processes, err := inv.peers(ctx)
	if err != nil || len(processes) == 0 {
		return nil, err
	}
	pool, err := inv.pool()
	if err != nil {
		return nil, err
	}
	defer pool.Close()
	deadline := time.Now().Add(inv.opts.wait)
	reported := -1
	for {
		rollout := RolloutOf(version, inv.queryAll(ctx, pool, processes))
		if rollout.At > reported && rollout.At < rollout.Processes && inv.opts.wait > 0 {
			fmt.Fprintf(inv.env.Stderr, "in force on %d of %d processes so far\n", rollout.At, rollout.Processes)
			reported = rollout.At
		}
		if rollout.At == rollout.Processes || !time.Now().Add(pollInterval).Before(deadline) {
			return &rollout, nil
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &rollout, nil
		}
	}
}

func runStatus(ctx context.Context, inv *invocation) error {
	head, headErr := inv.log.Head(ctx)
	processes, err := inv.peers(ctx)
	if err != nil {
		return err
	}
	pool, err := inv.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	processes = inv.queryAll(ctx, pool, processes)
	newest := head
	if headErr != nil {
		for _, p := range processes {
			newest = max(newest, p.Version)
		}
		inv.out.linef("newest accepted version not known; newest version on a process: %d", newest)
	} else {
		inv.out.linef("newest accepted version: %d", head)
	}
	for _, p := range processes {
		if p.Error != "" {
			inv.out.linef("  %-22s %-8s not heard from: %s", p.Address, p.Role, p.Error)
			continue
		}
		inv.out.linef("  %-22s %-8s version %d%s", p.Address, p.Role, p.Version, confirmationText(p))
	}
	rollout := RolloutOf(newest, processes)
	inv.out.linef("processes at version %d: %d of %d; not heard from: %d",
		newest, rollout.At, rollout.Processes, len(rollout.NotHeard))
	// The processes are reported even while the table service is unavailable.
	return errors.Join(headErr, inv.out.document(struct {
		Head      *int64    `json:"head"` // null if the table service is unavailable
		Processes []Process `json:"processes"`
		Rollout   Rollout   `json:"in_force"`
	}{headOrNil(head, headErr), processes, rollout}))
}

// headOrNil returns nil if reading the head failed with err.
func headOrNil(head int64, err error) *int64 {
	if err != nil {
		return nil
	}
	return &head
}

// confirmationText returns the time since a gateway last confirmed its version, or "" for a sidecar.
func confirmationText(p Process) string {
	switch {
	case p.Role != "gateway":
		return ""
	case p.AgeMS < 0:
		return ", never confirmed"
	}
	return fmt.Sprintf(", confirmed %.1f s ago", float64(p.AgeMS)/1000)
}
