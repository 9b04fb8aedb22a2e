// Package engineclient is the sidecar's HTTP client for a model engine. It runs chat completions as server-sent events,
// loads and unloads models with the model repository extension of the KServe v2 protocol, loads and unloads adapters,
// and reads the engine's state.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

const (
	dialTimeout         = time.Second
	controlTimeout      = 2 * time.Second
	maxControlBodyBytes = 1 << 20 // of the response to a control call
	maxErrorBodyBytes   = 4 << 10 // of an error response that are kept
	// chatIdleTimeout is shorter than the 5 s after which common servers close an idle connection, so that a call
	// is seldom sent on one that is being closed.
	chatIdleTimeout = 2 * time.Second
	// maxIdleChatConnections bounds the idle connections for chat completions.
	maxIdleChatConnections = 64
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client // for control calls
	chat *http.Client // for chat completions
}

// New returns a client for the engine at baseURL. Each control call uses a connection of its own, because net/http may
// resend a request automatically, but only on a reused connection. Chat completions may be resent and reuse
// connections.
func New(baseURL string) *Client {
	return &Client{
		base: baseURL,
		http: newHTTPClient(&http.Transport{DisableKeepAlives: true}),
		chat: newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdleChatConnections, IdleConnTimeout: chatIdleTimeout}),
	}
}

func newHTTPClient(t *http.Transport) *http.Client {
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.DisableCompression = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: responsecheck.NewTransport(t), CheckRedirect: noRedirect}
}

// State is what the engine reports about itself. Memory is in mebibytes.
type State struct {
	Incarnation   string       `json:"incarnation"`
	MemoryTotalMB int64        `json:"memory_total_mb"`
	MemoryUsedMB  int64        `json:"memory_used_mb"`
	HighWaterMB   int64        `json:"high_water_mb"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"` // accepted but not in the batch yet; may hold memory too
	Models        []ModelState `json:"models"`
	Adapters      []string     `json:"adapters"`
}

// ModelState is the state of one model in the engine: READY, LOADING, UNLOADING or UNAVAILABLE. Memory is in mebibytes.
type ModelState struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	MemoryMB int64  `json:"memory_mb"`
}

// State reads the engine's state. The error has kind BackendUnreachable if the engine did not respond.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	_, err := c.callControl(ctx, http.MethodGet, "/engine/state", nil, &s)
	return s, err
}

// Load orders the engine to load a model of memoryMB mebibytes. accepted is false without an error if the engine refused
// the order because its fencing number is too old. After an error the order may or may not have been carried out.
func (c *Client) Load(ctx context.Context, model string, fencingNumber uint64, memoryMB int64) (accepted bool, err error) {
	return c.sendOrder(ctx, model, "load", fencingNumber, memoryMB)
}

// Unload orders the engine to unload a model. Its results are those of Load.
func (c *Client) Unload(ctx context.Context, model string, fencingNumber uint64) (accepted bool, err error) {
	return c.sendOrder(ctx, model, "unload", fencingNumber, 0)
}

func (c *Client) sendOrder(ctx context.Context, model, action string, fencingNumber uint64, memoryMB int64) (bool, error) {
	parameters := map[string]string{"fencing_number": strconv.FormatUint(fencingNumber, 10)}
	if memoryMB > 0 {
		parameters["memory_mb"] = strconv.FormatInt(memoryMB, 10)
	}
	path := "/v2/repository/models/" + url.PathEscape(model) + "/" + action
	status, err := c.callControl(ctx, http.MethodPost, path, map[string]any{"parameters": parameters}, nil)
	if status == http.StatusConflict {
		return false, nil
	}
	return err == nil, err
}

// LoadAdapter loads the adapter called name from the weights at path. After an error it may or may not have been loaded.
func (c *Client) LoadAdapter(ctx context.Context, name, path string) error {
	_, err := c.callControl(ctx, http.MethodPost, "/v1/load_lora_adapter",
		map[string]string{"lora_name": name, "lora_path": path}, nil)
	return err
}

// UnloadAdapter unloads an adapter. After an error it may or may not have been unloaded.
func (c *Client) UnloadAdapter(ctx context.Context, name string) error {
	_, err := c.callControl(ctx, http.MethodPost, "/v1/unload_lora_adapter", map[string]string{"lora_name": name}, nil)
	return err
}

// callControl makes one control call, decodes the response into result unless it is nil, and returns the HTTP status, or 0
// if there was no complete response.
func (c *Client) callControl(ctx context.Context, method, path string, body, result any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, fmt.Errorf("encode body of %s: %w", path, err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return 0, fmt.Errorf("build request of %s: %w", path, err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errkind.Wrap(errkind.BackendUnreachable, err, "call %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBodyBytes))
	if err != nil {
		return 0, fmt.Errorf("read response of %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("call %s: status %d: %.200s", path, response.StatusCode, content)
	}
	if result == nil {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(content, result); err != nil {
		return response.StatusCode, fmt.Errorf("decode response of %s: %w", path, err)
	}
	return response.StatusCode, nil
}
