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
	askParallel  = 32
	waitInterval = 500 * time.Millisecond
)

// Process is what one gateway or sidecar said about its configuration.
type Process struct {
	Address string `json:"address"`
	Role    string `json:"role,omitempty"`
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms,omitempty"` // of a gateway's confirmation, milliseconds; -1 if never
	Error   string `json:"error,omitempty"`
}

// Force says how far a version is in force.
type Force struct {
	Version   int64    `json:"version"`
	Processes int      `json:"processes"`
	At        int      `json:"at"` // processes at the version or a later one
	Behind    []string `json:"behind"`
	NotHeard  []string `json:"not_heard"`
}

// ForceOf counts processes by the version that they hold.
func ForceOf(version int64, processes []Process) Force {
	f := Force{Version: version, Processes: len(processes), Behind: []string{}, NotHeard: []string{}}
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

// peers returns the addresses to ask by role; the role is empty if it is not known.
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

// sidecarsIn counts the listed sidecars of the data centres among entities, 0 without a host list.
func (inv *invocation) sidecarsIn(ctx context.Context, entities []config.Entity) int {
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

// pool returns a session pool, with mutual TLS if a certificate is given. Processes are dialled by IP address, so
// their certificates are checked by CA and allowed name, as between processes.
func (inv *invocation) pool() (*transport.Pool, error) {
	o := inv.opts
	if o.tlsCert == "" && o.tlsKey == "" && o.tlsCA == "" {
		return transport.NewPool(nil), nil
	}
	if o.tlsCert == "" || o.tlsKey == "" || o.tlsCA == "" {
		return nil, usagef("-tls-cert, -tls-key and -tls-ca belong together")
	}
	certificates, err := transport.LoadCertificates(transport.TLSFiles{
		CertFile: o.tlsCert, KeyFile: o.tlsKey, CAFile: o.tlsCA, Allowed: splitList(o.tlsAllowed),
	})
	if err != nil {
		return nil, usagef("%v", err)
	}
	return transport.NewPool(certificates.Peers()), nil
}

// askAll asks every process for its version.
func (inv *invocation) askAll(ctx context.Context, pool *transport.Pool, processes []Process) []Process {
	var group errgroup.Group
	group.SetLimit(askParallel)
	var mu sync.Mutex
	answered := slices.Clone(processes)
	for i, p := range processes {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, inv.opts.timeout)
			defer cancel()
			p = askProcess(ctx, pool, p)
			mu.Lock()
			defer mu.Unlock()
			answered[i] = p
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answered
}

// askProcess asks one process: a gateway by a configuration request that no change matches, a sidecar
// by its status. A process of unknown role is asked both ways.
func askProcess(ctx context.Context, pool *transport.Pool, p Process) Process {
	identity := &wirepb.Identity{Role: "operator"}
	if p.Role != "sidecar" {
		delta, err := configsync.AskPeer(ctx, pool, p.Address, &wirepb.ConfigRequest{Identity: identity, Since: math.MaxInt64})
		if err == nil {
			p.Role, p.Version, p.AgeMS = "gateway", delta.GetVersion(), delta.GetConfirmedAgeMs()
			return p
		}
		p.Error = err.Error()
		if p.Role == "gateway" {
			return p
		}
	}
	reply, err := configsync.Converse(ctx, pool, p.Address, &wirepb.Envelope{
		Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{Identity: identity}},
	})
	switch {
	case err != nil:
		p.Error = err.Error()
	case reply.GetStatus() == nil:
		p.Error = fmt.Sprintf("answered with %T", reply.GetMessage())
	default:
		p.Role, p.Version, p.Error = "sidecar", reply.GetStatus().GetConfigVersion(), ""
	}
	return p
}

// inForce asks the processes until all that answer hold version or the wait is over. It returns nil if
// no process is known.
func (inv *invocation) inForce(ctx context.Context, version int64) (*Force, error) {
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
	told := -1
	for {
		force := ForceOf(version, inv.askAll(ctx, pool, processes))
		if force.At > told && force.At < force.Processes && inv.opts.wait > 0 {
			fmt.Fprintf(inv.env.Stderr, "in force on %d of %d processes so far\n", force.At, force.Processes)
			told = force.At
		}
		if force.At == force.Processes || !time.Now().Add(waitInterval).Before(deadline) {
			return &force, nil
		}
		timer := time.NewTimer(waitInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &force, nil
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
	processes = inv.askAll(ctx, pool, processes)
	wanted := head
	if headErr != nil {
		for _, p := range processes {
			wanted = max(wanted, p.Version)
		}
		inv.out.linef("newest version not known; the newest version seen is %d", wanted)
	} else {
		inv.out.linef("newest accepted version: %d", head)
	}
	for _, p := range processes {
		if p.Error != "" {
			inv.out.linef("  %-22s %-8s not heard from: %s", p.Address, p.Role, p.Error)
			continue
		}
		inv.out.linef("  %-22s %-8s version %d%s", p.Address, p.Role, p.Version, confirmedText(p))
	}
	force := ForceOf(wanted, processes)
	inv.out.linef("processes at version %d: %d of %d; not heard from: %d", wanted, force.At, force.Processes, len(force.NotHeard))
	// The processes are shown also while the table service is away.
	return errors.Join(headErr, inv.out.document(struct {
		Head      *int64    `json:"head"` // null if the table service is unavailable
		Processes []Process `json:"processes"`
		Force     Force     `json:"in_force"`
	}{knownHead(head, headErr), processes, force}))
}

func knownHead(head int64, err error) *int64 {
	if err != nil {
		return nil
	}
	return &head
}

// confirmedText says when a gateway confirmed its version last.
func confirmedText(p Process) string {
	switch {
	case p.Role != "gateway":
		return ""
	case p.AgeMS < 0:
		return ", never confirmed"
	}
	return fmt.Sprintf(", confirmed %.1f s ago", float64(p.AgeMS)/1000)
}
