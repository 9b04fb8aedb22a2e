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
	Shutdown     Shutdown     `yaml:"shutdown"`
}

// Callers is the HTTP edge towards callers.
type Callers struct {
	Listen         string   `yaml:"listen"` // IP:port
	TLS            TLS      `yaml:"tls"`
	MaxBody        ByteSize `yaml:"max_body"`
	MaxHeader      ByteSize `yaml:"max_header"`
	HeaderTimeout  Duration `yaml:"header_timeout"` // to read the request header
	BodyTimeout    Duration `yaml:"body_timeout"`   // to read the request body
	MaxConcurrency int      `yaml:"max_concurrency"`
	DefaultService string   `yaml:"default_service"` // model service behind /v1
}

// Peers is the edge between the system's processes.
type Peers struct {
	Listen   string   `yaml:"listen"`   // IP:port
	TLS      TLS      `yaml:"tls"`      // mutual
	Gateways []string `yaml:"gateways"` // IP:port of gateways known at start
	Sidecars []string `yaml:"sidecars"` // IP:port of sidecars known at start
}

// Routing controls the choice of a backend server.
type Routing struct {
	Policy         string   `yaml:"policy"` // load, probe, least_in_flight, round_robin or random
	ProbeCount     int      `yaml:"probe_count"`
	ProbeTimeout   Duration `yaml:"probe_timeout"`
	StatusInterval Duration `yaml:"status_interval"` // between two status polls of a sidecar
	StatusMaxAge   Duration `yaml:"status_max_age"`  // above it a sidecar is no candidate
	MaxAttempts    int      `yaml:"max_attempts"`    // of one request, the first included
}

// Limits controls the token shares of organisations.
type Limits struct {
	Enabled    bool     `yaml:"enabled"`
	Partitions int      `yaml:"partitions"` // in each data centre; the same in every process
	LeaseTerm  Duration `yaml:"lease_term"`
	LoanTerm   Duration `yaml:"loan_term"` // longest loan between two holders
}

// Planner controls the placement of models.
type Planner struct {
	Enabled   bool     `yaml:"enabled"`
	Interval  Duration `yaml:"interval"`
	LeaseTerm Duration `yaml:"lease_term"`
	LoadRate  float64  `yaml:"load_rate"`  // loads a second that the weight store allows
	LoadSlots int      `yaml:"load_slots"` // loads at once at full speed
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
		},
		Limits: Limits{
			Enabled: true, Partitions: 4, LeaseTerm: Duration(90 * time.Minute), LoanTerm: Duration(5 * time.Second),
		},
		Planner: Planner{
			Enabled: true, Interval: Duration(2 * time.Second), LeaseTerm: Duration(20 * time.Second),
			LoadRate: 1.5, LoadSlots: 2,
		},
		Shutdown: Shutdown{NoticeDelay: Duration(2 * time.Second), Grace: Duration(5 * time.Minute)},
	}
}

func (g *Gateway) problems() []Problem {
	var c checker
	c.common(g.Process, g.Log, g.TableService)
	c.address("$.callers.listen", g.Callers.Listen)
	c.address("$.peers.listen", g.Peers.Listen)
	c.addresses("$.peers.gateways", g.Peers.Gateways)
	c.addresses("$.peers.sidecars", g.Peers.Sidecars)
	c.tls("$.callers.tls", g.Callers.TLS, false)
	c.tls("$.peers.tls", g.Peers.TLS, true)
	c.positive("$.callers.max_body", g.Callers.MaxBody > 0 && g.Callers.MaxBody <= 4<<20, "a size from 1B to 4MiB")
	c.positive("$.callers.max_header", g.Callers.MaxHeader > 0, "a size above zero")
	c.positive("$.callers.max_concurrency", g.Callers.MaxConcurrency > 0, "a whole number above zero")
	c.name("$.callers.default_service", g.Callers.DefaultService)
	c.positive("$.callers.header_timeout", g.Callers.HeaderTimeout > 0, "a duration above zero")
	c.positive("$.callers.body_timeout", g.Callers.BodyTimeout > 0, "a duration above zero")
	c.configSync(g.ConfigSync)
	if g.HostList.URL != "" {
		c.url("$.host_list.url", g.HostList.URL)
	}
	c.positive("$.host_list.interval", g.HostList.Interval > 0, "a duration above zero")
	c.oneOf("$.routing.policy", g.Routing.Policy, "load", "probe", "least_in_flight", "round_robin", "random")
	c.positive("$.routing.probe_count", g.Routing.ProbeCount >= 1 && g.Routing.ProbeCount <= 8, "a whole number from 1 to 8")
	c.positive("$.routing.probe_timeout", g.Routing.ProbeTimeout > 0, "a duration above zero")
	c.positive("$.routing.max_attempts", g.Routing.MaxAttempts >= 1, "a whole number above zero")
	c.positive("$.routing.status_interval", g.Routing.StatusInterval > 0, "a duration above zero")
	c.positive("$.routing.status_max_age", g.Routing.StatusMaxAge >= g.Routing.StatusInterval, "at least status_interval")
	c.positive("$.limits.partitions", g.Limits.Partitions >= 1 && g.Limits.Partitions <= 64, "a whole number from 1 to 64")
	c.positive("$.limits.loan_term", g.Limits.LoanTerm > 0, "a duration above zero")
	c.positive("$.limits.lease_term", g.Limits.LeaseTerm > g.Limits.LoanTerm, "a duration above loan_term")
	c.positive("$.planner.interval", g.Planner.Interval > 0, "a duration above zero")
	c.positive("$.planner.lease_term", g.Planner.LeaseTerm > g.Planner.Interval, "a duration above interval")
	c.positive("$.planner.load_rate", g.Planner.LoadRate > 0, "a number above zero")
	c.positive("$.planner.load_slots", g.Planner.LoadSlots >= 1, "a whole number above zero")
	c.positive("$.shutdown.grace", g.Shutdown.Grace > 0, "a duration above zero")
	return c.found
}
