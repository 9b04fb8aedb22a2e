package discovery

import (
	"math"
	"time"

	"github.com/pomelowheel/pomelowheel/platform"
)

// ListAge returns the time since the server list was last known to be current: when this gateway read it, or knew that other gateways
// do. It is the longest possible time before the first list.
func (f *Follower) ListAge(now time.Duration) time.Duration {
	if at := f.listed.Load(); at >= 0 {
		return max(0, now-time.Duration(at))
	}
	return math.MaxInt64
}

// recordListed records that a table is known to be current now.
func (f *Follower) recordListed(table string) {
	if table == platform.TableServers {
		f.listed.Store(int64(f.opts.Clock()))
	}
}
