package settings

import "time"

// Process identifies a process and the host that it runs on.
type Process struct {
	Host       string `yaml:"host"`        // name of the host in the host list
	DataCentre string `yaml:"data_centre"` // data centre of the host
}

// Log selects the form and the level of the log.
type Log struct {
	Level  string `yaml:"level"`  // debug, info, warn or error
	Format string `yaml:"format"` // text or json
}

// TLS names the certificate of one edge. Empty files mean plain TCP.
type TLS struct {
	CertFile string   `yaml:"cert_file"`
	KeyFile  string   `yaml:"key_file"`
	CAFile   string   `yaml:"ca_file"` // CA of the peers; only between the system's processes
	Allowed  []string `yaml:"allowed"` // names that a peer's certificate may carry; only between processes
}

// TableService locates the platform's table service.
type TableService struct {
	Endpoint string   `yaml:"endpoint"` // URL of the service
	Region   string   `yaml:"region"`
	Table    string   `yaml:"table"`
	Timeout  Duration `yaml:"timeout"` // of one call
}

// HostList locates the platform's host list.
type HostList struct {
	URL      string   `yaml:"url"`
	Interval Duration `yaml:"interval"` // between two reads
}

// ConfigSync controls how a process follows the configuration.
type ConfigSync struct {
	PollInterval Duration `yaml:"poll_interval"` // between two polls, before jitter
	FreshFor     Duration `yaml:"fresh_for"`     // age of a copy above which it is confirmed before use
}

// Shutdown controls a graceful shutdown.
type Shutdown struct {
	NoticeDelay Duration `yaml:"notice_delay"` // not ready, but still serving, so that balancer and peers notice
	Grace       Duration `yaml:"grace"`        // longest wait for running requests
}

func defaultTableService() TableService {
	return TableService{Region: "local", Table: "pomelowheel", Timeout: Duration(time.Second)}
}

func (c *checker) common(p Process, l Log, t TableService) {
	c.name("$.process.host", p.Host)
	c.name("$.process.data_centre", p.DataCentre)
	c.oneOf("$.log.level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("$.log.format", l.Format, "text", "json")
	c.url("$.table_service.endpoint", t.Endpoint)
	c.name("$.table_service.region", t.Region)
	c.name("$.table_service.table", t.Table)
	c.positive("$.table_service.timeout", t.Timeout > 0, "a duration above zero")
}

// tls checks the certificate of one edge. An allow list or a CA without a certificate is a mistake, because
// the edge would be plain TCP. Callers present keys, not certificates, so their edge takes neither.
func (c *checker) tls(path string, t TLS, mutual bool) {
	if t.CertFile == "" && t.KeyFile == "" && t.CAFile == "" && len(t.Allowed) == 0 {
		return
	}
	c.name(path+".cert_file", t.CertFile)
	c.name(path+".key_file", t.KeyFile)
	if mutual {
		c.name(path+".ca_file", t.CAFile)
		c.positive(path+".allowed", len(t.Allowed) > 0, "at least one peer name")
		return
	}
	c.positive(path+".ca_file", t.CAFile == "", "no value, callers present no certificate")
	c.positive(path+".allowed", len(t.Allowed) == 0, "no value, callers present no certificate")
}

func (c *checker) configSync(s ConfigSync) {
	c.positive("$.config_sync.poll_interval", s.PollInterval > 0, "a duration above zero")
	c.positive("$.config_sync.fresh_for", s.FreshFor >= s.PollInterval, "at least poll_interval")
}
