package operator

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/responsecheck"
)

// maxPromptsBytes bounds a fleet gateway's list of refused prompts, in bytes.
const maxPromptsBytes = 1 << 20

// refusedPrompt is a set of parts of prompts that a fleet gateway refuses.
type refusedPrompt struct {
	Parts []struct {
		Part  string `json:"part"`
		Model string `json:"model,omitempty"`
	} `json:"parts"`
	AgeSeconds   float64  `json:"age_s"`
	ServersEnded int      `json:"servers_ended"`
	Servers      []string `json:"servers"`
	Requests     []string `json:"requests"`
	Refused      int      `json:"refused"`
	Trials       int      `json:"trials"`
}

func promptCommands() []command {
	gateway := func(flags *flag.FlagSet, o *options) {
		flags.StringVar(&o.gateway, "gateway", "", "`address` of a fleet gateway's metrics (IP:port)")
	}
	return []command{
		{"prompt refused", "", "list the prompts that fleet gateways refuse because servers ended under them", false, gateway, runPromptRefused},
		{"prompt clear", "PART", "let fleet gateways serve prompts with a part again", false, gateway, runPromptClear},
	}
}

func runPromptRefused(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 0 {
		return usagef("no argument is expected")
	}
	body, err := inv.callGateway(ctx, http.MethodGet, "/refused-prompts")
	if err != nil {
		return err
	}
	var list []refusedPrompt
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("decode the gateway's answer: %w", err)
	}
	if len(list) == 0 {
		inv.out.linef("no prompts are refused")
	}
	for _, p := range list {
		var parts []string
		for _, part := range p.Parts {
			if part.Model != "" {
				part.Part += " with model " + part.Model
			}
			parts = append(parts, part.Part)
		}
		inv.out.linef("%s: refused for %.0f s, %d servers ended (%s) under requests %s, %d requests refused by this gateway, %d trials",
			strings.Join(parts, " and "), p.AgeSeconds, p.ServersEnded, strings.Join(p.Servers, ", "), strings.Join(p.Requests, ", "), p.Refused, p.Trials)
	}
	return inv.out.document(list)
}

func runPromptClear(ctx context.Context, inv *invocation) error {
	if len(inv.args) != 1 {
		return usagef("one part of a prompt is expected")
	}
	if _, err := inv.callGateway(ctx, http.MethodDelete, "/refused-prompts/"+url.PathEscape(inv.args[0])); err != nil {
		return err
	}
	inv.out.linef("prompts with part %s are served again; the other gateways follow within a second", inv.args[0])
	return inv.out.document(map[string]string{"cleared": inv.args[0]})
}

// callGateway sends a request to the fleet gateway and returns the body of its answer.
func (inv *invocation) callGateway(ctx context.Context, method, path string) ([]byte, error) {
	if inv.opts.gateway == "" {
		return nil, usagef("-gateway is missing")
	}
	ctx, cancel := context.WithTimeout(ctx, inv.opts.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+inv.opts.gateway+path, nil)
	if err != nil {
		return nil, usagef("%v", err)
	}
	resp, err := responsecheck.NewClient().Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPromptsBytes))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode == http.StatusNotFound && method == http.MethodDelete:
		return nil, &notFoundError{"refused prompt with this part"}
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("the gateway answered status %d", resp.StatusCode)
	}
	return body, nil
}
