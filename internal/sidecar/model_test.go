package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/config"
	"github.com/pomelowheel/pomelowheel/internal/engineclient"
	"github.com/pomelowheel/pomelowheel/internal/errkind"
	"github.com/pomelowheel/pomelowheel/internal/transport"
	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// testEngine is a model engine that loads at once and answers "blue lantern". After the first word the prompt "hold"
// makes it wait until the request is cancelled, and "cut" makes it close the connection.
type testEngine struct {
	mu            sync.Mutex
	state         engineclient.State
	dropNextOrder bool          // closes the connection of the next order without carrying it out or answering
	stateGate     chan struct{} // if set, reads of the state wait until it is closed
	rejectStatus  int           // if set, chat requests get this status after rejectGate is closed
	rejectGate    chan struct{}
	chats         int // chat requests received
}

// restart makes the engine reject chat requests with status, once reject is closed, and keeps reads of its state
// waiting until report is closed.
func (e *testEngine) restart(status int, models []engineclient.ModelState) (reject, report chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reject, report = make(chan struct{}), make(chan struct{})
	DeferCleanup(func() { // a failed spec must not leave the engine's handlers waiting
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, gate := range []chan struct{}{reject, report} {
			select {
			case <-gate:
			default:
				close(gate)
			}
		}
	})
	e.rejectStatus, e.rejectGate, e.stateGate = status, reject, report
	e.state.Incarnation, e.state.Models = e.state.Incarnation+"+", models
	return reject, report
}

func (e *testEngine) chatCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chats
}

func (e *testEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := strings.Split(strings.TrimPrefix(r.URL.Path, "/v2/repository/models/"), "/")[0]
	switch {
	case r.URL.Path == "/v1/chat/completions":
		e.chat(w, r)
		return
	case r.URL.Path == "/engine/state":
		e.mu.Lock()
		gate := e.stateGate
		e.mu.Unlock()
		if gate != nil {
			<-gate
		}
	case strings.HasSuffix(r.URL.Path, "_lora_adapter"):
		e.adapter(w, r)
	default:
		e.order(name, strings.HasSuffix(r.URL.Path, "/load"))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.state)
}

func (e *testEngine) adapter(_ http.ResponseWriter, r *http.Request) {
	var order struct {
		Name string `json:"lora_name"`
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Adapters = slices.DeleteFunc(e.state.Adapters, func(name string) bool { return name == order.Name })
	if r.URL.Path == "/v1/load_lora_adapter" {
		e.state.Adapters = append(e.state.Adapters, order.Name)
	}
}

func (e *testEngine) order(name string, load bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropNextOrder {
		e.dropNextOrder = false
		panic(http.ErrAbortHandler)
	}
	e.state.Models = nil
	if load {
		e.state.Models = []engineclient.ModelState{{Name: name, State: "READY", MemoryMB: 400}}
	}
}

func (e *testEngine) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Messages []struct{ Content string }
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	e.mu.Lock()
	e.chats++
	status, gate := e.rejectStatus, e.rejectGate
	e.mu.Unlock()
	if status != 0 {
		<-gate
		w.WriteHeader(status)
		return
	}
	_, _ = fmt.Fprint(w, `data: {"choices":[{"delta":{"content":"blue "}}]}`, "\n\n")
	w.(http.Flusher).Flush()
	switch body.Messages[0].Content {
	case "hold":
		<-r.Context().Done()
	case "cut":
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, `data: {"choices":[{"delta":{"content":"lantern"},"finish_reason":"stop"}]}`, "\n\n",
		`data: {"usage":{"prompt_tokens":3,"completion_tokens":2}}`, "\n\ndata: [DONE]\n\n")
}

var _ = Describe("a model engine", func() {
	var e *testEngine
	var h *harness
	BeforeEach(func() {
		e = &testEngine{state: engineclient.State{Incarnation: "a", MemoryTotalMB: 1000}}
		backend := httptest.NewServer(e)
		DeferCleanup(backend.Close)
		h = newHarness("model", "float", backend.URL)
		Eventually(func() bool { return h.server.Status().GetReady() }).Should(BeTrue())
	})
	order := func(action, model string, epoch int64) errkind.Kind {
		GinkgoHelper()
		stream := h.open(&wirepb.Envelope{Message: &wirepb.Envelope_ModelOrder{ModelOrder: &wirepb.ModelOrder{
			Action: action, Model: model, PlannerEpoch: epoch}}})
		reply, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		return errkind.Kind(reply.GetOrderReply().GetKind())
	}
	resident := func() []string { return h.server.Status().GetResident() }
	row := func() []Copy {
		stored, _ := h.store.Get(context.Background(), CopiesKey("m"))
		var r CopiesRow
		_ = json.Unmarshal(stored.Value, &r)
		return r.Copies
	}
	load := func() {
		GinkgoHelper()
		Expect(order("load", "m", 1)).To(Equal(errkind.None))
		Eventually(resident).Should(ConsistOf("m"))
		Eventually(row).Should(HaveLen(1))
	}
	chat := func(model, prompt string) *wirepb.Submit {
		return &wirepb.Submit{
			RequestId: "r1", Attempt: 1, Organisation: "org", KeyId: "key", Service: "float", Profile: "clerk", Model: model,
			DeadlineMs: 30_000, MaxOutputTokens: 50, PrefixHash: "p",
			Http: &wirepb.HTTPRequest{Body: []byte(`{"messages":[{"role":"user","content":"` + prompt + `"}]}`)},
		}
	}

	It("answers status requests on one stream and leaves out what the gateway holds", func() {
		load()
		stream := h.open(&wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: &wirepb.StatusRequest{}}})
		first, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.GetStatus().GetResident()).NotTo(BeEmpty())
		again := &wirepb.StatusRequest{KnownLists: first.GetStatus().GetListsVersion()}
		Expect(stream.Send(&wirepb.Envelope{Message: &wirepb.Envelope_StatusRequest{StatusRequest: again}})).To(Succeed())
		second, err := stream.Recv()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.GetStatus().GetSameLists()).To(BeTrue())
		Expect(second.GetStatus().GetResident()).To(BeEmpty())
		Expect(second.GetStatus().GetReady()).To(BeTrue())
	})

	// Guards against requests that go on to an engine at the rate of its time before a restart, until the next read of
	// its state.
	DescribeTable("sends nothing more after an answer that shows a restart until it has read the engine's state",
		func(status int, models []engineclient.ModelState, want errkind.Kind) {
			load()
			reject, report := e.restart(status, models)
			first := h.start(chat("m", "x"))
			Eventually(e.chatCount).Should(Equal(1))
			second := h.start(chat("m", "y"))
			Eventually(func() int64 { return h.server.Status().GetQueued() }).Should(BeEquivalentTo(1))
			close(reject)
			Expect(first.finish().refused).To(BeTrue())
			Consistently(e.chatCount, "300ms").Should(Equal(1), "requests sent before the state was read")
			e.mu.Lock()
			e.rejectStatus = 0
			e.mu.Unlock()
			close(report)
			Expect(second.finish().kind).To(Equal(want))
			if want != errkind.None {
				Expect(e.chatCount()).To(Equal(1), "a request for a model that is known to be gone was sent")
			}
		},
		Entry("404, without its models", http.StatusNotFound, nil, errkind.ModelNotResident),
		Entry("503, without its models", http.StatusServiceUnavailable, nil, errkind.ModelNotResident),
		Entry("503, with its models", http.StatusServiceUnavailable,
			[]engineclient.ModelState{{Name: "m", State: "READY", MemoryMB: 400}}, errkind.None),
	)

	It("streams an answer and fills the status", func() {
		Expect(h.do(chat("m", "x")).kind).To(Equal(errkind.ModelNotResident))
		Expect(h.do(chat("none", "x")).kind).To(Equal(errkind.ModelUnknown))
		load()
		Expect(h.do(chat("m", "x"))).To(Equal(conversationResult{status: 200, body: "blue lantern", tokens: 2}))
		status := h.server.Status()
		Expect(status.GetPrefixes()).To(ConsistOf("p"))
		Expect(status.GetModelLoads()).To(HaveLen(1))
		Expect(status.GetModelLoads()[0].GetTokens()).To(BeEquivalentTo(2))
		Expect(status.GetMemoryFreeMb()).To(BeEquivalentTo(600))
	})

	It("loads an adapter before it hands a request over", func() {
		load()
		Expect(h.do(chat("m-a", "x")).kind).To(Equal(errkind.None))
		Expect(h.server.Status().GetAdapters()).To(ConsistOf("m-a"))
		Expect(h.server.Status().GetMemoryFreeMb()).To(BeEquivalentTo(580))
	})

	// Guards against refusing a request whose adapter fits as soon as a report shows the unload of another. The idle
	// adapter was not loaded by the sidecar, so no late load order can bring it back.
	It("waits for the memory of an idle adapter that it evicts", func() {
		load()
		e.mu.Lock()
		e.state.Adapters = []string{"m-a"}
		e.mu.Unlock()
		Eventually(func() []string { return h.server.Status().GetAdapters() }).Should(ConsistOf("m-a"))
		Expect(order("load", "m-c", 1)).To(Equal(errkind.MemoryFull), "an order evicts nothing")
		Expect(h.do(chat("m-b", "x")).kind).To(Equal(errkind.None))
		Expect(h.server.Status().GetAdapters()).To(ConsistOf("m-b"))
	})

	It("refuses orders that would overcommit memory and orders of an older planner", func() {
		load()
		Expect(order("load", "big", 1)).To(Equal(errkind.MemoryFull))
		Expect(order("load", "m", 0)).To(Equal(errkind.BadRequest))
	})

	It("refuses a request whose KV cache cannot fit beside the models", func() {
		load()
		r := chat("m", "x")
		r.MaxOutputTokens = 1 << 20
		Expect(h.do(r).kind).To(Equal(errkind.MemoryFull))
	})

	It("unloads only if another copy remains and the table service is available", func() {
		load()
		Expect(order("unload", "m", 1)).To(Equal(errkind.BadRequest), "it is the last copy")
		other := &copyRegistry{store: h.store, timeout: h.server.copyRegistry.timeout, self: Copy{Address: "other"}}
		Expect(other.add(context.Background(), "m")).To(Succeed())
		h.store.setUnavailable(true)
		Expect(order("unload", "m", 1)).To(Equal(errkind.StoreUnavailable))
		h.store.setUnavailable(false)
		Expect(resident()).To(ConsistOf("m"))
		Expect(order("unload", "m", 1)).To(Equal(errkind.None))
		Expect(row()).To(ConsistOf(other.self))
		Expect(h.do(chat("m", "x")).kind).To(Equal(errkind.ModelNotResident))
		Eventually(func() int64 { return h.server.Status().GetMemoryFreeMb() }).Should(BeEquivalentTo(1000))
	})

	// Guards against unloading the last copy in service while the row still lists a sidecar that died.
	It("counts only copies whose sidecar serves the model now before an unload", func() {
		load()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serve := func(_ context.Context, s *transport.Stream) {
			_, _ = s.Recv()
			_ = s.Send(&wirepb.Envelope{Message: &wirepb.Envelope_Status{
				Status: &wirepb.Status{Ready: true, Resident: []string{"m"}}}})
		}
		other := transport.NewServer(listener, nil, serve, slog.New(slog.DiscardHandler))
		go func() { _ = other.Serve(context.Background()) }()
		peerServes := NewPeerServes(h.pool, &wirepb.Identity{Role: "sidecar"})
		registry := &copyRegistry{store: h.store, timeout: time.Second, self: Copy{Address: h.addr}, peerServes: peerServes}
		otherRegistry := &copyRegistry{store: h.store, timeout: time.Second, self: Copy{Address: other.Addr().String()}}
		Expect(otherRegistry.add(context.Background(), "m")).To(Succeed())

		Expect(other.Close()).To(Succeed())
		Expect(errkind.Of(registry.remove(context.Background(), "m", 1))).To(Equal(errkind.BadRequest))

		listener, err = net.Listen("tcp", otherRegistry.self.Address)
		Expect(err).NotTo(HaveOccurred())
		again := transport.NewServer(listener, nil, serve, slog.New(slog.DiscardHandler))
		go func() { _ = again.Serve(context.Background()) }()
		DeferCleanup(again.Close)
		Expect(registry.remove(context.Background(), "m", 1)).To(Succeed())
		Expect(row()).To(ConsistOf(otherRegistry.self))
	})

	It("keeps the memory of a lost load order reserved", func() {
		e.mu.Lock()
		e.dropNextOrder = true
		e.mu.Unlock()
		Expect(order("load", "m", 1)).To(Equal(errkind.None))
		Consistently(func() int64 { return h.server.Status().GetMemoryFreeMb() }, "100ms").Should(BeEquivalentTo(600))
	})

	It("corrects the copies row and the ramp when the engine restarts cold", func() {
		load()
		e.mu.Lock()
		e.state = engineclient.State{Incarnation: "b", MemoryTotalMB: 1000}
		e.mu.Unlock()
		Eventually(row).Should(BeEmpty())
		Expect(h.server.Status().GetBackendIncarnation()).To(Equal("b"))
		Eventually(func() int64 { return h.server.Status().GetMemoryFreeMb() }).Should(BeEquivalentTo(1000))
	})

	It("ends a running stream of a withdrawn key as unknown, because it was handed over", func() {
		load()
		c := h.start(chat("m", "hold"))
		c.firstChunk()
		h.config.set(config.Key{ID: "key", Organisation: "org", Withdrawn: true})
		a := c.finish()
		Expect(a.kind).To(Equal(errkind.OutcomeUnknown))
		Expect(a.refused).To(BeFalse())
	})

	It("does not take a broken stream for a whole answer", func() {
		load()
		a := h.do(chat("m", "cut"))
		Expect(a.kind).To(Equal(errkind.OutcomeUnknown))
		Expect(a.refused).To(BeFalse())
	})
})
