package callerapi

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

// minSearchedKeyBytes is the length of the shortest key that is searched for in a body. A shorter one would match by
// chance.
const minSearchedKeyBytes = 12

func notRun() gateway.Result { return gateway.Result{Ran: errkind.RanNo} }

func (s *Server) chat(x *exchange) { s.chatForService(x, s.opts.DefaultService) }

// chatForService serves a chat-completions request of the named model service.
func (s *Server) chatForService(x *exchange, service string) {
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, service, x.r.Header.Get("Pomelo-Profile"))
	if err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	request, call, err := s.modelCall(x, p)
	if err != nil {
		s.sendError(x, notRun(), err)
		return
	}
	answer := &chatResponse{x: x, model: request.model, created: x.arrived.Unix()}
	if !request.stream {
		s.serveComplete(x, p, call, answer)
		return
	}
	s.serveStream(x, p, call, request.includeUsage, answer)
}

// modelCall reads and checks the request and returns the model call for it.
func (s *Server) modelCall(x *exchange, p *gateway.Principal) (*chatRequest, gateway.ModelCall, error) {
	var call gateway.ModelCall
	body, err := s.readBody(x)
	if err != nil {
		return nil, call, err
	}
	for _, k := range requestKeys(x.r) {
		if len(k) >= minSearchedKeyBytes && bytes.Contains(body, []byte(k)) {
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

// serveComplete answers with one JSON object after the model call has ended.
func (s *Server) serveComplete(x *exchange, p *gateway.Principal, call gateway.ModelCall, answer *chatResponse) {
	var text strings.Builder
	result, err := s.opts.Gateway.RunModel(x.r.Context(), p, call, func(t string) error {
		text.WriteString(t)
		return nil
	})
	if err != nil {
		s.sendError(x, result, err)
		return
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Pomelo-Ran", string(errkind.RanYes))
	_ = x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = json.NewEncoder(x.w).Encode(answer.completion(text.String(), result))
}

// serveStream answers with server-sent events while the model call runs.
func (s *Server) serveStream(x *exchange, p *gateway.Principal, call gateway.ModelCall, includeUsage bool, answer *chatResponse) {
	events := &eventStream{x: x}
	result, err := s.opts.Gateway.RunModel(x.r.Context(), p, call, func(t string) error {
		if err := events.start(answer); err != nil {
			return err
		}
		return events.send("", answer.chunk(delta{Content: &t}, nil))
	})
	if err != nil && !events.started {
		s.sendError(x, result, err)
		return
	}
	if err != nil {
		// The status line was already sent, so an error event reports the failure, and the missing [DONE] shows that
		// the response is incomplete.
		s.recordFailure(x, result, err)
		_, body := errorResponse(x, err)
		_ = events.send("error", body)
		return
	}
	if events.start(answer) != nil || events.send("", answer.chunk(delta{}, &result.FinishReason)) != nil {
		return
	}
	if includeUsage && events.send("", answer.usageChunk(result)) != nil {
		return
	}
	_ = events.write("data: [DONE]\n\n")
}

// eventStream writes a response as server-sent events.
type eventStream struct {
	x       *exchange
	started bool
}

func (o *eventStream) start(answer *chatResponse) error {
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
	return o.write(line)
}

func (o *eventStream) write(line string) error {
	_ = o.x.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.x.w.Write([]byte(line)); err != nil {
		return err
	}
	return o.x.control.Flush()
}

func (s *Server) models(x *exchange) {
	p, err := s.opts.Gateway.Admit(x.r.Context(), x.secret, s.opts.DefaultService, "")
	if err != nil {
		s.sendError(x, notRun(), err)
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
