// Package engine is the sidecar's client of a model engine: chat completions as server-sent events, the
// model repository extension of the KServe v2 protocol, adapters and the engine's state.
package engine

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
)

const (
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second
	maxControlBody = 1 << 20 // bytes of an answer to a control call
	maxErrorBody   = 4 << 10 // bytes of an error answer that are kept
	// chatIdle is shorter than the 5 s after which common servers close an idle connection, so that a call
	// seldom meets one that is being closed.
	chatIdle = 2 * time.Second
	// maxIdleChats bounds the idle connections for chat completions.
	maxIdleChats = 64
)

// Client talks to one engine.
type Client struct {
	base string
	http *http.Client // of control calls
	chat *http.Client // of chat completions
}

// New returns a client of the engine at baseURL. Each control call has its own connection, because net/http
// may resend a request on its own only on a reused connection. Chat completions may be repeated and reuse
// connections.
func New(baseURL string) *Client {
	return &Client{
		base: baseURL,
		http: newHTTP(&http.Transport{DisableKeepAlives: true}),
		chat: newHTTP(&http.Transport{MaxIdleConnsPerHost: maxIdleChats, IdleConnTimeout: chatIdle}),
	}
}

func newHTTP(t *http.Transport) *http.Client {
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	t.DisableCompression = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// State is what the engine reports about itself. Memory is in mebibytes.
type State struct {
	Incarnation   string       `json:"incarnation"`
	MemoryTotalMB int64        `json:"memory_total_mb"`
	MemoryUsedMB  int64        `json:"memory_used_mb"`
	HighWaterMB   int64        `json:"high_water_mb"`
	Running       int          `json:"running"`
	Waiting       int          `json:"waiting"` // taken but not in the batch yet; may hold memory too
	Models        []ModelState `json:"models"`
	Adapters      []string     `json:"adapters"`
}

// ModelState is one model in the engine. State is READY, LOADING, UNLOADING or UNAVAILABLE.
type ModelState struct {
	Name     string `json:"name"`
	State    string `json:"state"`
	MemoryMB int64  `json:"memory_mb"`
}

// State reads the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var s State
	_, err := c.control(ctx, http.MethodGet, "/engine/state", nil, &s)
	return s, err
}

// Load orders the engine to load a model. taken is false when the engine refused the order's fencing
// number as old. After an error the order may or may not have arrived.
func (c *Client) Load(ctx context.Context, model string, fencing uint64, memoryMB int64) (taken bool, err error) {
	return c.order(ctx, model, "load", fencing, memoryMB)
}

// Unload orders the engine to unload a model, with the results of Load.
func (c *Client) Unload(ctx context.Context, model string, fencing uint64) (taken bool, err error) {
	return c.order(ctx, model, "unload", fencing, 0)
}

func (c *Client) order(ctx context.Context, model, action string, fencing uint64, memoryMB int64) (bool, error) {
	parameters := map[string]string{"fencing_number": strconv.FormatUint(fencing, 10)}
	if memoryMB > 0 {
		parameters["memory_mb"] = strconv.FormatInt(memoryMB, 10)
	}
	path := "/v2/repository/models/" + url.PathEscape(model) + "/" + action
	status, err := c.control(ctx, http.MethodPost, path, map[string]any{"parameters": parameters}, nil)
	if status == http.StatusConflict {
		return false, nil
	}
	return err == nil, err
}

// LoadAdapter loads an adapter. After an error it may or may not have been loaded.
func (c *Client) LoadAdapter(ctx context.Context, name, path string) error {
	_, err := c.control(ctx, http.MethodPost, "/v1/load_lora_adapter",
		map[string]string{"lora_name": name, "lora_path": path}, nil)
	return err
}

// UnloadAdapter unloads an adapter. After an error it may or may not have been unloaded.
func (c *Client) UnloadAdapter(ctx context.Context, name string) error {
	_, err := c.control(ctx, http.MethodPost, "/v1/unload_lora_adapter", map[string]string{"lora_name": name}, nil)
	return err
}

// control makes one control call and returns the HTTP status, or 0 if there was no answer.
func (c *Client) control(ctx context.Context, method, path string, body, into any) (int, error) {
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
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBody))
	if err != nil {
		return 0, fmt.Errorf("read answer of %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, fmt.Errorf("call %s: status %d: %.200s", path, response.StatusCode, content)
	}
	if into == nil {
		return response.StatusCode, nil
	}
	if err := json.Unmarshal(content, into); err != nil {
		return response.StatusCode, fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return response.StatusCode, nil
}
