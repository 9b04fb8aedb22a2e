package settings

import "time"

// Gateway holds the settings of pomelo-gateway.
type Gateway struct {
	Process      Process      `yaml:"process"`
	Log          Log          `yaml:"log"`
	Callers      Callers      `yaml:"callers"`
	Peers        Peers        `yaml:"peers"`
	TableService TableService `yaml:"table_service"`
	HostList     HostList     `yaml:"host_list"`
	ConfigSync   ConfigSync   `yaml:"config_sync"`
	Routing      Routing      `yaml:"routing"`
	Limits       Limits       `yaml:"limits"`
	Planner      Planner      `yaml:"planner"`
	ClientLimits ClientLimits `yaml:"client_limits"`
	Shutdown     Shutdown     `yaml:"shutdown"`
}

// Callers configures the HTTP listener for callers.
type Callers struct {
	Listen         string   `yaml:"listen"` // IP:port
	TLS            TLS      `yaml:"tls"`
	MaxBody        ByteSize `yaml:"max_body"`
	MaxHeader      ByteSize `yaml:"max_header"`
	HeaderTimeout  Duration `yaml:"header_timeout"` // time limit for reading the request header
	BodyTimeout    Duration `yaml:"body_timeout"`   // time limit for reading the request body
	MaxConcurrency int      `yaml:"max_concurrency"`
	DefaultService string   `yaml:"default_service"` // model service that serves /v1
}

// Peers configures the connections between the gateway and other gateways and sidecars.
type Peers struct {
	Listen   string   `yaml:"listen"`   // IP:port
	TLS      TLS      `yaml:"tls"`      // mutual
	Gateways []string `yaml:"gateways"` // IP:port of the gateways known at startup
	Sidecars []string `yaml:"sidecars"` // IP:port of the sidecars known at startup
}

// Routing controls how the gateway chooses a backend server.
type Routing struct {
	Policy         string   `yaml:"policy"` // load, probe, least_in_flight, round_robin or random
	ProbeCount     int      `yaml:"probe_count"`
	ProbeTimeout   Duration `yaml:"probe_timeout"`
	StatusInterval Duration `yaml:"status_interval"` // time between two status polls of a sidecar
	StatusMaxAge   Duration `yaml:"status_max_age"`  // age above which a status is polled anew before a choice
	StatusPolls    float64  `yaml:"status_polls"`    // largest number of polls per second, over all sidecars
	MaxAttempts    int      `yaml:"max_attempts"`    // attempts per request, including the first
}

// Limits controls the token limits of organisations and their division among limit holders.
type Limits struct {
	Enabled    bool     `yaml:"enabled"`
	Partitions int      `yaml:"partitions"` // per data centre; must be the same in every process
	LeaseTerm  Duration `yaml:"lease_term"`
	LoanTerm   Duration `yaml:"loan_term"` // longest loan from one limit holder to another
}

// Planner controls the placement of models.
type Planner struct {
	Enabled   bool     `yaml:"enabled"`
	Interval  Duration `yaml:"interval"`
	LeaseTerm Duration `yaml:"lease_term"`
	LoadRate  float64  `yaml:"load_rate"`  // model loads per second that the weight store allows
	LoadSlots int      `yaml:"load_slots"` // concurrent loads that the weight store serves at full speed
}

func defaultGateway() *Gateway {
	return &Gateway{
		Log: Log{Level: "info", Format: "text"},
		Callers: Callers{
			MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxConcurrency: 1024,
			HeaderTimeout: Duration(5 * time.Second), BodyTimeout: Duration(10 * time.Second),
		},
		TableService: defaultTableService(),
		HostList:     HostList{Interval: Duration(2 * time.Second)},
		ConfigSync:   ConfigSync{PollInterval: Duration(4 * time.Second), FreshFor: Duration(8 * time.Second)},
		Routing: Routing{
			Policy: "load", ProbeCount: 2, ProbeTimeout: Duration(50 * time.Millisecond),
			StatusInterval: Duration(time.Second), StatusMaxAge: Duration(5 * time.Second), MaxAttempts: 3,
			StatusPolls: 25,
		},
		Limits: Limits{
			Enabled: true, Partitions: 4, LeaseTerm: Duration(90 * time.Minute), LoanTerm: Duration(5 * time.Second),
		},
		Planner: Planner{
			Enabled: true, Interval: Duration(2 * time.Second), LeaseTerm: Duration(20 * time.Second),
			LoadRate: 1.5, LoadSlots: 2,
		},
		ClientLimits: defaultClientLimits(),
		Shutdown:     Shutdown{NoticeDelay: Duration(2 * time.Second), Grace: Duration(5 * time.Minute)},
	}
}

func (g *Gateway) problems() []Problem {
	var c validator
	c.common(g.Process, g.Log, g.TableService)
	c.address("$.callers.listen", g.Callers.Listen)
	c.address("$.peers.listen", g.Peers.Listen)
	c.addresses("$.peers.gateways", g.Peers.Gateways)
	c.addresses("$.peers.sidecars", g.Peers.Sidecars)
	c.tls("$.callers.tls", g.Callers.TLS, false)
	c.tls("$.peers.tls", g.Peers.TLS, true)
	c.require("$.callers.max_body", g.Callers.MaxBody > 0 && g.Callers.MaxBody <= 4<<20, "a size from 1B to 4MiB")
	c.require("$.callers.max_header", g.Callers.MaxHeader > 0, "a size above zero")
	c.require("$.callers.max_concurrency", g.Callers.MaxConcurrency > 0, "a whole number above zero")
	c.requireName("$.callers.default_service", g.Callers.DefaultService)
	c.require("$.callers.header_timeout", g.Callers.HeaderTimeout > 0, "a duration above zero")
	c.require("$.callers.body_timeout", g.Callers.BodyTimeout > 0, "a duration above zero")
	c.clientLimits(g.ClientLimits)
	c.configSync(g.ConfigSync)
	if g.HostList.URL != "" {
		c.url("$.host_list.url", g.HostList.URL)
	}
	c.require("$.host_list.interval", g.HostList.Interval > 0, "a duration above zero")
	c.oneOf("$.routing.policy", g.Routing.Policy, "load", "probe", "least_in_flight", "round_robin", "random")
	c.require("$.routing.probe_count", g.Routing.ProbeCount >= 1 && g.Routing.ProbeCount <= 8, "a whole number from 1 to 8")
	c.require("$.routing.probe_timeout", g.Routing.ProbeTimeout > 0, "a duration above zero")
	c.require("$.routing.max_attempts", g.Routing.MaxAttempts >= 1, "a whole number above zero")
	c.require("$.routing.status_interval", g.Routing.StatusInterval > 0, "a duration above zero")
	c.require("$.routing.status_max_age", g.Routing.StatusMaxAge >= g.Routing.StatusInterval, "at least status_interval")
	c.require("$.routing.status_polls", g.Routing.StatusPolls > 0, "a number above zero")
	c.require("$.limits.partitions", g.Limits.Partitions >= 1 && g.Limits.Partitions <= 64, "a whole number from 1 to 64")
	c.require("$.limits.loan_term", g.Limits.LoanTerm > 0, "a duration above zero")
	c.require("$.limits.lease_term", g.Limits.LeaseTerm > g.Limits.LoanTerm, "a duration above loan_term")
	c.require("$.planner.interval", g.Planner.Interval > 0, "a duration above zero")
	c.require("$.planner.lease_term", g.Planner.LeaseTerm > g.Planner.Interval, "a duration above interval")
	c.require("$.planner.load_rate", g.Planner.LoadRate > 0, "a number above zero")
	c.require("$.planner.load_slots", g.Planner.LoadSlots >= 1, "a whole number above zero")
	c.require("$.shutdown.grace", g.Shutdown.Grace > 0, "a duration above zero")
	return c.found
}
