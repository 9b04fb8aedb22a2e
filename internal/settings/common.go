package settings

import "time"

// Process states where the process runs.
type Process struct {
	Host       string `yaml:"host"`        // name of the host in the host list
	DataCentre string `yaml:"data_centre"` // data centre of the host
}

// Log sets the level and the format of the log.
type Log struct {
	Level  string `yaml:"level"`  // debug, info, warn or error
	Format string `yaml:"format"` // text or json
}

// TLS names the certificate files of a listener and of the connections of the same kind that the process dials.
// If all fields are empty, TLS is off and plain TCP is used.
type TLS struct {
	CertFile string   `yaml:"cert_file"`
	KeyFile  string   `yaml:"key_file"`
	CAFile   string   `yaml:"ca_file"` // CA that signs the peers' certificates; not for callers
	Allowed  []string `yaml:"allowed"` // names accepted in a peer's certificate; not for callers
}

// TableService sets how to reach the platform's table service.
type TableService struct {
	Endpoint string   `yaml:"endpoint"` // URL of the service
	Region   string   `yaml:"region"`
	Table    string   `yaml:"table"`
	Timeout  Duration `yaml:"timeout"` // per call
}

// HostList sets where and how often to read the platform's host list.
type HostList struct {
	URL      string   `yaml:"url"`
	Interval Duration `yaml:"interval"` // time between two reads
}

// ConfigSync controls how a process keeps its copy of the configuration up to date.
type ConfigSync struct {
	PollInterval Duration `yaml:"poll_interval"` // time between two polls, before jitter
	FreshFor     Duration `yaml:"fresh_for"`     // age of a confirmation above which it is renewed before use
}

// Shutdown controls a graceful shutdown.
type Shutdown struct {
	NoticeDelay Duration `yaml:"notice_delay"` // not ready but still serving, so that load balancer and peers notice
	Grace       Duration `yaml:"grace"`        // longest time to wait for running requests
}

// ClientLimits bounds what one client may take from the listeners of the process.
type ClientLimits struct {
	Memory    ByteSize `yaml:"memory"`     // of the process; 0 if it is not limited
	MaxFields int      `yaml:"max_fields"` // of the head of a request
}

// defaultClientLimits allows the fields of the longest head that a gateway is usually configured for, 128 KiB.
func defaultClientLimits() ClientLimits { return ClientLimits{MaxFields: 32 << 10} }

func (c *validator) clientLimits(l ClientLimits) {
	c.require("$.client_limits.memory", l.Memory == 0 || l.Memory >= 64<<20, "0B or at least 64MiB")
	c.require("$.client_limits.max_fields", l.MaxFields >= 64, "a whole number from 64")
}

func defaultTableService() TableService {
	return TableService{Region: "local", Table: "pomelowheel", Timeout: Duration(time.Second)}
}

func (c *validator) common(p Process, l Log, t TableService) {
	c.requireName("$.process.host", p.Host)
	c.requireName("$.process.data_centre", p.DataCentre)
	c.oneOf("$.log.level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("$.log.format", l.Format, "text", "json")
	c.url("$.table_service.endpoint", t.Endpoint)
	c.requireName("$.table_service.region", t.Region)
	c.requireName("$.table_service.table", t.Table)
	c.require("$.table_service.timeout", t.Timeout > 0, "a duration above zero")
}

// tls checks the TLS settings of a listener. An allow list or a CA without a certificate is an error, because the
// listener would use plain TCP. Callers authenticate with API keys, not certificates, so their listener (mutual is
// false) accepts neither.
func (c *validator) tls(path string, t TLS, mutual bool) {
	if t.CertFile == "" && t.KeyFile == "" && t.CAFile == "" && len(t.Allowed) == 0 {
		return
	}
	c.requireName(path+".cert_file", t.CertFile)
	c.requireName(path+".key_file", t.KeyFile)
	if mutual {
		c.requireName(path+".ca_file", t.CAFile)
		c.require(path+".allowed", len(t.Allowed) > 0, "at least one peer name")
		return
	}
	c.require(path+".ca_file", t.CAFile == "", "no value, callers present no certificate")
	c.require(path+".allowed", len(t.Allowed) == 0, "no value, callers present no certificate")
}

func (c *validator) configSync(s ConfigSync) {
	c.require("$.config_sync.poll_interval", s.PollInterval > 0, "a duration above zero")
	c.require("$.config_sync.fresh_for", s.FreshFor >= s.PollInterval, "at least poll_interval")
}
