package callers

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/gateway"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

const chatPath = "/v1/chat/completions"

// minSecretLen is the shortest key that is searched for in a body. A shorter one would match by chance.
const minSecretLen = 12

func notRun() gateway.Result { return gateway.Result{Ran: errkind.RanNo} }

func (s *Server) chat(x *exchange) { s.chatFor(x, s.opts.DefaultService) }

// chatFor serves a chat-completions request of the named model service.
func (s *Server) chatFor(x *exchange, service string) {
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, service, x.r.Header.Get("Pomelo-Profile"))
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	request, call, err := s.modelCall(x, p)
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	answer := &chatAnswer{x: x, model: request.model, created: x.arrived.Unix()}
	if !request.stream {
		s.whole(x, p, call, answer)
		return
	}
	s.streamed(x, p, call, request.includeUsage, answer)
}

func (s *Server) modelCall(x *exchange, p *gateway.Principal) (*chatRequest, gateway.ModelCall, error) {
	var call gateway.ModelCall
	body, err := s.readBody(x)
	if err != nil {
		return nil, call, err
	}
	for _, k := range secrets(x.r) {
		if len(k) >= minSecretLen && bytes.Contains(body, []byte(k)) {
			return nil, call, errkind.New(errkind.BadRequest, "the body contains the API key")
		}
	}
	request, err := parseChat(body)
	if err != nil {
		return nil, call, err
	}
	if _, err := p.Model(request.model); err != nil {
		return nil, call, err
	}
	output, err := p.OutputTokens(request.maxTokens)
	if err != nil {
		return nil, call, err
	}
	encoded, err := request.encode(output)
	if err != nil {
		return nil, call, err
	}
	call = gateway.ModelCall{
		RequestID: x.id, Arrived: x.arrived, Model: request.model, PromptTokens: request.promptTokens,
		MaxOutputTokens: output, Stream: request.stream, PrefixHash: request.prefixHash,
		HTTP: &wirepb.HTTPRequest{
			Method: http.MethodPost, Path: chatPath, Body: encoded,
			Headers: []*wirepb.Header{{Name: "Content-Type", Value: "application/json"}},
		},
	}
	return request, call, nil
}

func (s *Server) whole(x *exchange, p *gateway.Principal, call gateway.ModelCall, answer *chatAnswer) {
	var text strings.Builder
	result, err := s.opts.Gateway.RunModel(x.r.Context(), p, call, func(t string) error {
		text.WriteString(t)
		return nil
	})
	if err != nil {
		s.refuse(x, result, err)
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Pomelo-Ran", string(errkind.RanYes))
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = json.NewEncoder(x.w).Encode(answer.completion(text.String(), result))
}

func (s *Server) streamed(x *exchange, p *gateway.Principal, call gateway.ModelCall, includeUsage bool, answer *chatAnswer) {
	out := &eventStream{x: x}
	result, err := s.opts.Gateway.RunModel(x.r.Context(), p, call, func(t string) error {
		if err := out.start(answer); err != nil {
			return err
		}
		return out.send("", answer.chunk(delta{Content: &t}, nil))
	})
	if err != nil && !out.started {
		s.refuse(x, result, err)
		return
	}
	if err != nil {
		// The status line is already with the caller, so the failure is told by an event, and the missing
		// [DONE] shows that the answer is not whole.
		s.note(x, result, err)
		_, body := describe(x, err)
		_ = out.send("error", body)
		return
	}
	if out.start(answer) != nil || out.send("", answer.chunk(delta{}, &result.FinishReason)) != nil {
		return
	}
	if includeUsage && out.send("", answer.usageChunk(result)) != nil {
		return
	}
	_ = out.raw("data: [DONE]\n\n")
}

// eventStream writes server-sent events.
type eventStream struct {
	x       *exchange
	started bool
}

func (o *eventStream) start(answer *chatAnswer) error {
	if o.started {
		return nil
	}
	o.started = true
	h := o.x.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set("Pomelo-Ran", string(errkind.RanYes))
	o.x.w.WriteHeader(http.StatusOK)
	empty := ""
	return o.send("", answer.chunk(delta{Role: "assistant", Content: &empty}, nil))
}

func (o *eventStream) send(event string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	line := "data: " + string(data) + "\n\n"
	if event != "" {
		line = "event: " + event + "\n" + line
	}
	return o.raw(line)
}

func (o *eventStream) raw(line string) error {
	_ = o.x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.x.w.Write([]byte(line)); err != nil {
		return err
	}
	return o.x.control.Flush()
}

func (s *Server) models(x *exchange) {
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, s.opts.DefaultService, "")
	if err != nil {
		s.refuse(x, notRun(), err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range p.Snapshot.Models() {
		if m.Service == p.Service.Name {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: m.Service})
		}
	}
	x.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.w).Encode(list)
}
