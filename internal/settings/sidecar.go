package settings

import "time"

// Sidecar holds the settings of pomelo-sidecar.
type Sidecar struct {
	Process      Process      `yaml:"process"`
	Log          Log          `yaml:"log"`
	Peers        SidecarPeers `yaml:"peers"`
	Backend      Backend      `yaml:"backend"`
	TableService TableService `yaml:"table_service"`
	ConfigSync   ConfigSync   `yaml:"config_sync"`
	Admission    Admission    `yaml:"admission"`
	DebugListen  string       `yaml:"debug_listen"` // IP:port for /debug/vars and /healthz; off if empty
	ClientLimits ClientLimits `yaml:"client_limits"`
	Shutdown     Shutdown     `yaml:"shutdown"`
}

// SidecarPeers configures the connections between the sidecar and gateways.
type SidecarPeers struct {
	Listen   string   `yaml:"listen"`   // IP:port
	TLS      TLS      `yaml:"tls"`      // mutual
	Gateways []string `yaml:"gateways"` // IP:port of the gateways known at startup; source of the configuration
}

// Backend describes the backend server that the sidecar runs next to.
type Backend struct {
	Service      string   `yaml:"service"`
	Kind         string   `yaml:"kind"` // model or plain
	URL          string   `yaml:"url"`
	MemoryMB     int64    `yaml:"memory_mb"`     // accelerator memory, mebibytes; only for kind model
	ChecksOrders bool     `yaml:"checks_orders"` // whether the backend server rejects orders with an old fencing number
	AdapterSlots int      `yaml:"adapter_slots"` // concurrent adapter loads that run at full speed
	PollInterval Duration `yaml:"poll_interval"` // time between two reads of the engine's state
}

// Admission limits the requests that run on the backend server or wait for it.
type Admission struct {
	Policy           string   `yaml:"policy"`            // fair, fifo or priority
	ColdConcurrency  int      `yaml:"cold_concurrency"`  // concurrent requests on a backend server that is not warm
	MaxConcurrency   int      `yaml:"max_concurrency"`   // concurrent requests on a warm backend server
	RampStep         Duration `yaml:"ramp_step"`         // time with good answers before the concurrency limit doubles
	MaxQueue         int      `yaml:"max_queue"`         // longest queue, in requests
	MaxQueueOrg      int      `yaml:"max_queue_org"`     // largest number of queued requests of one organisation
	BatchConcurrency int      `yaml:"batch_concurrency"` // concurrent batch requests while interactive requests run
}

func defaultSidecar() *Sidecar {
	return &Sidecar{
		Log:          Log{Level: "info", Format: "text"},
		Backend:      Backend{Kind: "model", AdapterSlots: 16, PollInterval: Duration(500 * time.Millisecond)},
		TableService: defaultTableService(),
		ConfigSync:   ConfigSync{PollInterval: Duration(3 * time.Second), FreshFor: Duration(8 * time.Second)},
		Admission: Admission{
			Policy: "fair", ColdConcurrency: 2, MaxConcurrency: 16, RampStep: Duration(2 * time.Second),
			MaxQueue: 256, MaxQueueOrg: 128, BatchConcurrency: 2,
		},
		ClientLimits: defaultClientLimits(),
		Shutdown:     Shutdown{NoticeDelay: Duration(2 * time.Second), Grace: Duration(5 * time.Minute)},
	}
}

func (s *Sidecar) problems() []Problem {
	var c validator
	c.common(s.Process, s.Log, s.TableService)
	c.address("$.peers.listen", s.Peers.Listen)
	c.addresses("$.peers.gateways", s.Peers.Gateways)
	c.require("$.peers.gateways", len(s.Peers.Gateways) > 0, "at least one gateway address")
	c.tls("$.peers.tls", s.Peers.TLS, true)
	c.requireName("$.backend.service", s.Backend.Service)
	c.url("$.backend.url", s.Backend.URL)
	c.oneOf("$.backend.kind", s.Backend.Kind, "model", "plain")
	if s.Backend.Kind == "model" {
		c.require("$.backend.memory_mb", s.Backend.MemoryMB > 0, "mebibytes above zero for a model engine")
	}
	c.require("$.backend.adapter_slots", s.Backend.AdapterSlots >= 1, "a whole number above zero")
	c.require("$.backend.poll_interval", s.Backend.PollInterval > 0, "a duration above zero")
	c.clientLimits(s.ClientLimits)
	c.configSync(s.ConfigSync)
	c.oneOf("$.admission.policy", s.Admission.Policy, "fair", "fifo", "priority")
	c.require("$.admission.cold_concurrency", s.Admission.ColdConcurrency >= 1, "a whole number above zero")
	c.require("$.admission.max_concurrency", s.Admission.MaxConcurrency >= s.Admission.ColdConcurrency,
		"at least cold_concurrency")
	c.require("$.admission.ramp_step", s.Admission.RampStep > 0, "a duration above zero")
	c.require("$.admission.max_queue", s.Admission.MaxQueue >= 0, "a whole number, zero or above")
	c.require("$.admission.max_queue_org", s.Admission.MaxQueueOrg >= 0, "a whole number, zero or above")
	c.require("$.admission.batch_concurrency", s.Admission.BatchConcurrency >= 1, "a whole number above zero")
	c.require("$.shutdown.grace", s.Shutdown.Grace > 0, "a duration above zero")
	if s.DebugListen != "" {
		c.address("$.debug_listen", s.DebugListen)
	}
	return c.found
}
