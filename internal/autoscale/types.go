// Package autoscale decides how many servers each service has in each data centre, and orders them from the platform. It
// answers load that moves faster than a server boots: steps, ramps, spikes and the loss of a data centre.
//
// Decider, RateEstimator and CapacityEstimator are pure: the time is passed in. Observer builds their input from what a
// gateway knows, and Runner carries out the decisions while its gateway holds the duty.
package autoscale

import (
	"time"

	"github.com/pomelowheel/pomelowheel/internal/fleet"
)

// Demand is what callers ask of a service. Work is counted in one unit for each service: requests or prompt tokens.
type Demand struct {
	Rate    float64 // work per second that arrives, including what is refused
	Trend   float64 // change of Rate per second
	Waiting float64 // work that waits in gateways for lack of room
	Refused float64 // work per second that is refused for lack of room
}

func (d Demand) plus(o Demand) Demand {
	return Demand{d.Rate + o.Rate, d.Trend + o.Trend, d.Waiting + o.Waiting, d.Refused + o.Refused}
}

// News says how far the input can be relied on.
type News struct {
	ListAge   time.Duration // since the server list was last known to be current
	DemandAge time.Duration // since the oldest report of demand that is included
	Complete  bool          // demand of all known gateways is included
}

// Service is the state of a service with scaling.
type Service struct {
	Name     string
	Bounds   fleet.Scaling
	Capacity float64       // learned work per second that one server can take; zero if not known yet
	Load     time.Duration // time to load models after a server has booted
	// ModelReplicas is the number of servers whose memory holds one copy of each model; zero without model engines.
	ModelReplicas int
	// Unplaced is demand whose data centre is not known.
	Unplaced    Demand
	News        News
	DataCentres []DataCentre
}

// DataCentre is the state of a service in one data centre.
type DataCentre struct {
	Name         string
	Ready        int // listed servers that serve
	Cold         int // listed servers that are still cold
	Draining     int // listed servers that leave; they count for nothing
	Order        Order
	Demand       Demand
	OutOfService bool // taken out by an operator
	Lost         bool // its servers or its gateways are silent
}

// listed returns the number of servers that are there and stay.
func (d *DataCentre) listed() int { return d.Ready + d.Cold }

// usable reports whether the data centre can take demand.
func (d *DataCentre) usable() bool { return !d.OutOfService && !d.Lost }

// Order is the last ordered number of servers. The zero value means that none was ordered.
type Order struct {
	Known bool
	Count int
	At    time.Duration // when it was ordered, or when this gateway learnt of it
}

// Reason says what decided a count.
type Reason string

// The reasons of decisions.
const (
	ReasonHold       Reason = "hold"              // no change is needed
	ReasonNews       Reason = "news_missing"      // news is missing or old: nothing is removed
	ReasonBounds     Reason = "bounds"            // the count was outside the configured bounds
	ReasonDemand     Reason = "demand"            // the demand at the end of the boot time needs more
	ReasonShortage   Reason = "shortage"          // requests wait or are refused although all servers serve
	ReasonModels     Reason = "models"            // the models need the memory of more servers
	ReasonInProgress Reason = "order_in_progress" // the last order is not carried out yet
	ReasonSurplus    Reason = "surplus"           // one server fewer sufficed for the stabilisation window
)

// Decision is the number of servers that a service should have in a data centre, with the figures that decided it.
type Decision struct {
	Service    string
	DataCentre string
	Count      int
	Reason     Reason
	Current    int     // count before the decision
	Listed     int     // servers that are there and stay
	Load       float64 // predicted work per second, including that of other data centres
	Needed     int     // servers that Load needs; zero if the capacity is not known
	Capacity   float64
	Floor      int // lowest count that the bounds and the models allow
	News       News
}
