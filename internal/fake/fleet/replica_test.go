package fleet_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/fleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "emulated platform")
}

// send sends a request to replica and returns the response with its body.
func send(replica *fleet.Replica, id string, header map[string]string) (*http.Response, string) {
	q := httptest.NewRequest(http.MethodPost, "/book/1", strings.NewReader("body"))
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Expect-Instance", "i-1")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	replica.Handler().ServeHTTP(w, q)
	body, err := io.ReadAll(w.Result().Body)
	Expect(err).NotTo(HaveOccurred())
	return w.Result(), string(body)
}

func stateInList(replica *fleet.Replica) string {
	var entry struct{ State string }
	Expect(json.Unmarshal(replica.Entry(), &entry)).To(Succeed())
	return entry.State
}

var _ = Describe("an emulated backend server", func() {
	var replica *fleet.Replica
	BeforeEach(func() {
		replica = fleet.NewReplica(fleet.ReplicaOptions{ID: "i-1", Service: "desk", Slots: 4})
	})

	// Guards against a soak that tests the sign in answers and the state in the list only together.
	It("says in every answer that it leaves, apart from its state in the list", func() {
		replica.Drain()
		answer, _ := send(replica, "a", nil)
		Expect(answer.Header.Get("Server-Leaving")).To(BeEmpty())
		Expect(stateInList(replica)).To(Equal("draining"))

		replica = fleet.NewReplica(fleet.ReplicaOptions{ID: "i-1", Service: "desk", Slots: 4})
		replica.Leave()
		Expect(stateInList(replica)).To(Equal("ready"))
		statusOf := func(f fleet.ReplicaFaults, header map[string]string) int {
			replica.SetFaults(f)
			answer, _ := send(replica, "b", header)
			Expect(answer.Header.Get("Server-Leaving")).To(Equal("1"))
			return answer.StatusCode
		}
		Expect(statusOf(fleet.ReplicaFaults{}, nil)).To(Equal(http.StatusOK))
		Expect(statusOf(fleet.ReplicaFaults{Fail: 1}, nil)).To(Equal(http.StatusInternalServerError))
		Expect(statusOf(fleet.ReplicaFaults{Shed: 1}, nil)).To(Equal(http.StatusServiceUnavailable))
		Expect(statusOf(fleet.ReplicaFaults{}, map[string]string{"X-Expect-Instance": "i-2"})).To(Equal(http.StatusMisdirectedRequest))
		records := replica.Records()
		Expect(records.Runs).To(HaveLen(2))
		Expect(records.Rejections).To(HaveLen(2))
		for _, run := range records.Runs {
			Expect(run.Leaving).To(BeTrue())
			Expect(run.EndMS).To(BeNumerically(">=", run.AtMS))
		}
	})

	// Guards against a promise that the checks do not know of.
	It("states and records for how long it rejects", func() {
		for wait, text := range map[time.Duration]string{2 * time.Second: "2", 1250 * time.Millisecond: "1.25"} {
			replica.SetFaults(fleet.ReplicaFaults{Shed: 1, RetryAfter: wait})
			answer, _ := send(replica, text, nil)
			Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(answer.Header.Get("X-Not-Executed")).To(Equal("1"))
			Expect(answer.Header.Get("Retry-After")).To(Equal(text))
			Expect(replica.Records().Rejections).To(ContainElement(And(
				HaveField("ID", text), HaveField("RetryAfterMS", wait.Milliseconds()), HaveField("Status", http.StatusServiceUnavailable))))
		}
	})

	// Guards against long answers that are not long, or not the ones that their signature is for.
	It("sends a body of the length that a request asks for", func() {
		answer, body := send(replica, "long", map[string]string{fleet.AnswerBytesHeader: "600001"})
		Expect(body).To(HaveLen(600001))
		Expect(body).To(Equal(fleet.LongBody("long", 600001)))
		Expect(answer.Header.Get("X-Response-Signature")).To(Equal(fleet.Signature(body)))
	})
})
