package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/pomelowheel/pomelowheel/internal/fake/standin"
)

// CloudFaults are the faults that the cloud interface injects. The zero value injects none.
type CloudFaults struct {
	Down      bool          `json:"down"`       // respond with status 503 and do nothing
	Cut       bool          `json:"cut"`        // do not respond and do nothing
	Hosts     []string      `json:"hosts"`      // IP addresses of the clients to which the two faults above apply; all if empty
	Delay     time.Duration `json:"delay"`      // delay before each response
	Lose      float64       `json:"lose"`       // fraction (0 to 1) of the calls that are executed and get no response
	PerSecond float64       `json:"per_second"` // calls beyond this rate get status 429; no limit if zero
}

// CloudCall is a record of a call that the cloud interface executed.
type CloudCall struct {
	At     time.Duration `json:"at"` // since the start
	Path   string        `json:"path"`
	Holder string        `json:"holder"`
	Token  int64         `json:"token"`
	Body   string        `json:"body"`
}

// Cloud is the emulated cloud interface. It is safe for concurrent use.
type Cloud struct {
	mu      sync.Mutex
	faults  CloudFaults
	limiter *rate.Limiter
	calls   []CloudCall
	refused int
	start   time.Time
}

// NewCloud returns a cloud interface without any call.
func NewCloud() *Cloud { return &Cloud{start: time.Now()} }

// Handler returns the HTTP interface, and the paths below /control/ by which tests control it: PUT faults and GET calls.
func (c *Cloud) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/usage", c.withFaults(c.execute)).Methods(http.MethodPost)
	router.HandleFunc("/scale", c.withFaults(c.execute)).Methods(http.MethodPost)
	router.HandleFunc("/control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f CloudFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.SetFaults(f)
	}).Methods(http.MethodPut)
	router.HandleFunc("/control/calls", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, c.Calls())
	}).Methods(http.MethodGet)
	return router
}

// SetFaults replaces the injected faults.
func (c *Cloud) SetFaults(f CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults, c.limiter = f, nil
	if f.PerSecond > 0 {
		c.limiter = rate.NewLimiter(rate.Limit(f.PerSecond), int(max(1, f.PerSecond)))
	}
}

// Calls returns the calls that were executed, in order.
func (c *Cloud) Calls() []CloudCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.calls)
}

// Refused returns the number of calls that were refused with status 429.
func (c *Cloud) Refused() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (c *Cloud) withFaults(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		f := c.faults
		limited := c.limiter != nil && !c.limiter.Allow()
		if limited {
			c.refused++
		}
		c.mu.Unlock()
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		affected := len(f.Hosts) == 0 || slices.Contains(f.Hosts, host)
		switch {
		case affected && f.Cut:
			_, _ = io.Copy(io.Discard, r.Body) // net/http notices that the client has left only after the body
			<-r.Context().Done()
		case affected && f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case limited:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case rand.Float64() < f.Lose:
			handle(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			handle(w, r)
			time.Sleep(f.Delay) // net/http sends a short response after the handler returns
		}
	}
}

// execute records a call. It answers 400 to one that does not have the published form.
func (c *Cloud) execute(w http.ResponseWriter, r *http.Request) {
	at := time.Since(c.start)
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = checkCloudBody(r.URL.Path, body)
	}
	token, tokenErr := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil || tokenErr != nil || holder == "" {
		http.Error(w, fmt.Sprint("body: ", err, ", token: ", tokenErr, ", holder: ", holder), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.calls = append(c.calls, CloudCall{at, r.URL.Path, holder, token, string(body)})
	c.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{})
}

// checkCloudBody checks that a body has exactly the published fields.
func checkCloudBody(path string, body []byte) error {
	var usage struct {
		Window *int64            `json:"window_id"`
		Counts *map[string]int64 `json:"counts"`
	}
	var scale struct {
		Service *string `json:"service"`
		Zone    *string `json:"zone"`
		Count   *int    `json:"desired_count"`
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if path == "/scale" {
		if err := decoder.Decode(&scale); err != nil {
			return err
		}
		if scale.Service == nil || scale.Zone == nil || scale.Count == nil {
			return fmt.Errorf("a field is missing")
		}
		return nil
	}
	if err := decoder.Decode(&usage); err != nil {
		return err
	}
	if usage.Window == nil || usage.Counts == nil {
		return fmt.Errorf("a field is missing")
	}
	return nil
}

// CheckCloudCalls returns what the calls, in the order of their execution, violate: reports of a window with different counts, tokens
// that decrease or are shared by two holders, and holders that alternate within the lease time.
func CheckCloudCalls(calls []CloudCall, lease time.Duration) []string {
	var violations []string
	violate := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	reports := make(map[string]string) // body by window
	holders := make(map[int64]string)  // by token
	lastCall := make(map[string]time.Duration)
	for i, c := range calls {
		if c.Path == "/usage" {
			window, _, _ := strings.Cut(c.Body, ",")
			if before, ok := reports[window]; ok && before != c.Body {
				violate("%s reported by %s as %s and before as %s", window, c.Holder, c.Body, before)
			}
			reports[window] = c.Body
		}
		if holder, ok := holders[c.Token]; ok && holder != c.Holder {
			violate("token %d used by %s and %s", c.Token, holder, c.Holder)
		}
		holders[c.Token] = c.Holder
		if i > 0 && c.Token < calls[i-1].Token {
			violate("token %d of %s after %d of %s", c.Token, c.Holder, calls[i-1].Token, calls[i-1].Holder)
		}
		if i > 0 && c.Holder != calls[i-1].Holder {
			if c.Token == calls[i-1].Token {
				violate("token %d kept by another holder", c.Token)
			}
			if last, ok := lastCall[c.Holder]; ok && c.At-last < lease {
				violate("%s called again %v after its last call, with %s in between", c.Holder, c.At-last, calls[i-1].Holder)
			}
		}
		lastCall[c.Holder] = c.At
	}
	return violations
}
