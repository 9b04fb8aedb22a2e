// Package fleet models the state of the fleet as a gateway knows it: the operator's configuration, the backend servers
// and the model engines. Use its types between packages; they are independent of any wire format.
package fleet

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/rowversion"
)

// RepeatPolicy says how often a request of a route may run.
type RepeatPolicy int

// The repeat policies of routes.
const (
	// Once allows a request to run at most once.
	Once RepeatPolicy = iota
	// Idempotent allows a request to run any number of times.
	Idempotent
	// Stream is for requests whose response is a stream of events. They run at most once unless the route is resumable.
	Stream
)

var repeatNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of r as used in metrics: "once", "idempotent" or "stream".
func (r RepeatPolicy) String() string { return repeatNames[r] }

// Configuration is one version of the operator's configuration. It is immutable.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]*Service
	Organisations map[string]*Organisation
	Limits        CallerLimits
	Keys          map[KeyDigest]string // name of the organisation by the digest of its API key
	Ignored       []error              // why sections that hold invalid values are not in force
}

// Content orders the versions of the configuration.
func (c *Configuration) Content() rowversion.Content { return rowversion.Content{c.Version} }

// KeyDigest is the SHA-256 digest of an API key. The keys themselves are not stored.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CallerLimits limit what a caller may send. Zero means no limit.
type CallerLimits struct {
	BodyBytes   int64         // size of a request body
	IdleTimeout time.Duration // how long a connection may be idle; callers use one again within it
}

// Route maps requests with a hostname and a path prefix to services.
type Route struct {
	Name        string
	Hostname    string
	PathPrefix  string // begins and ends with a slash
	Repeat      RepeatPolicy
	Resumable   bool          // a stream may continue at another server after the last event sent
	Public      bool          // requests need no API key
	Timeout     time.Duration // limit from the arrival of the request to the end of its response
	Target      time.Duration // target latency to the complete response, or to the first event of a stream
	MaxEventGap time.Duration // target for the longest pause between two events of a stream
	MaxAttempts int           // number of servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Targets     []Target
}

// Repeatable reports whether a request of the route may be sent again although an earlier attempt may have run.
func (r *Route) Repeatable() bool {
	return r.Repeat == Idempotent || (r.Repeat == Stream && r.Resumable)
}

// Target is a service that receives a share of a route's requests in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int           // connections that one server accepts from all gateways together
	ColdStart      time.Duration // time for which a server is cold after its start
	ColdPerSecond  float64       // requests per second that a cold server can handle; zero if servers are never cold
	Engine         *Engine       // nil for a service without model engines
	Scaling        *Scaling      // nil for a service whose number of servers is not changed
}

// Scaling bounds the number of servers of a service in each data centre.
type Scaling struct {
	Min  int
	Max  int           // at least 1 and at least Min
	Boot time.Duration // from the order of a server until it serves
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int     // maximum number of requests in one batch
	CacheTokens    int     // memory for running requests and cached prompts, in tokens
	WeightsMB      float64 // memory for weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64           // loads from the weight store, over all servers
	Models         map[string]*Model // by name
}

// Model is a base model that engines can load.
type Model struct {
	Name      string
	WeightsMB float64       // memory for the weights
	AdapterMB float64       // memory for one adapter
	Load      time.Duration // load time from the weight store while few loads run
	WarmLoad  time.Duration // load time from the server's memory
	DiskLoad  time.Duration // load time from the server's disk
}

// Organisation owns API keys and has an optional rate limit.
type Organisation struct {
	Name          string
	HasPriority   bool
	Priority      int     // overrides the route's priority if HasPriority is set
	Rate          float64 // limit over all gateways in tokens or requests per second; zero means no limit
	Burst         float64 // tokens or requests
	ByTokens      bool    // the limit counts tokens instead of requests
	DefaultTokens int64   // tokens charged for a request that states no token counts
}

// Replica is a backend server as listed in the platform's store.
type Replica struct {
	ID          string
	Service     string
	Address     string // IP:port
	DataCentre  string
	Slots       int
	Draining    bool
	Cold        time.Duration // time for which the server stays cold, counted from the entry
	Born        int64         // start of this incarnation in Unix milliseconds; zero if not stated
	Sequence    int64         // only rises in an incarnation
	Models      []ResidentModel
	ListVersion int64 // store version of the entry
}

// Content orders the states of the server's entry. An incarnation that drains does not stop doing so.
func (r *Replica) Content() rowversion.Content {
	if r.Born == 0 {
		return nil
	}
	draining := int64(0)
	if r.Draining {
		draining = 1
	}
	return rowversion.Content{r.Born, draining, r.Sequence}
}

// ResidentModel is a base model that a server holds, with its adapters there.
type ResidentModel struct {
	Name     string
	Adapters []string
}

// Report is the status that a model engine reports.
type Report struct {
	Born            int64 // start of this incarnation in Unix milliseconds
	Sequence        int64 // number of orders accepted in this incarnation
	Busy            bool  // an order is being executed
	Draining        bool
	Models          []ResidentModel
	PendingAdapters []string // adapters that are being loaded, as MODEL/ADAPTER
	Nearby          []string // models in the server's memory or on its disk, which load without the weight store
}

// Names returns the names of the models that the engine can load, sorted.
func (e *Engine) Names() []string { return slices.Sorted(maps.Keys(e.Models)) }
