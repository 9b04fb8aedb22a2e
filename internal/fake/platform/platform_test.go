package platform_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/platform"
)

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fake platform")
}

func do(s http.Handler, method, path, target, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Amz-Target", "DynamoDB_20120810."+target)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

var _ = Describe("fake platform", func() {
	It("limits the rate of weight loads", func() {
		now := time.Now()
		s := platform.New(platform.Options{WeightRate: 2, Now: func() time.Time { return now }})
		var codes []int
		for range 3 {
			codes = append(codes, do(s, "GET", "/weights/a/b", "", "").Code)
		}
		now = now.Add(500 * time.Millisecond)
		codes = append(codes, do(s, "GET", "/weights/a/b", "", "").Code)
		Expect(codes).To(Equal([]int{200, 200, 429, 200}))
		Expect(s.Stats()).To(Equal(platform.Stats{WeightLoads: 3, WeightRefused: 1}))
	})

	It("rejects an unknown control field, so that a mistyped fault is not ignored", func() {
		Expect(do(platform.New(platform.Options{}), "POST", "/control", "", `{"awya":true}`).Code).To(Equal(400))
	})

	// Guards against unsupported conditions that the fake platform would take as true.
	DescribeTable("rejects requests outside the supported subset", func(target, body string) {
		Expect(do(platform.New(platform.Options{}), "POST", "/", target, body).Code).To(Equal(400))
	},
		Entry("operation", "DeleteTable", `{}`),
		Entry("condition", "TransactWriteItems",
			`{"TransactItems":[{"Put":{"Item":{"pk":{"S":"a"},"sk":{"S":"b"}},"ConditionExpression":"size(pk) > 1"}}]}`),
		Entry("key", "GetItem", `{"Key":{"pk":{"S":"a"}}}`),
		Entry("two operations on one item", "TransactWriteItems", fmt.Sprintf(`{"TransactItems":[%[1]s,%[1]s]}`,
			`{"Put":{"Item":{"pk":{"S":"a"},"sk":{"S":"b"}}}}`)),
		Entry("query", "Query", `{"KeyConditionExpression":"sk = :x"}`),
		Entry("form", "GetItem", `[`),
	)

	It("writes an item and counts requests", func() {
		s := platform.New(platform.Options{})
		put := `{"TransactItems":[{"Put":{"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"version":{"N":"1"}}}}]}`
		Expect(do(s, "POST", "/", "TransactWriteItems", put).Code).To(Equal(200))
		got := do(s, "POST", "/", "GetItem", `{"Key":{"pk":{"S":"a"},"sk":{"S":"b"}}}`)
		Expect(got.Body.String()).To(MatchJSON(`{"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"version":{"N":"1"}}}`))
		Expect(s.Stats()).To(Equal(platform.Stats{Reads: 1, Writes: 1, WritesApplied: 1}))
	})
})

// Guards against a request that makes the fake platform panic.
func FuzzTable(f *testing.F) {
	f.Add("GetItem", `{"Key":{"pk":{"S":"a"},"sk":{"S":"b"}}}`)
	f.Add("Query", `{"KeyConditionExpression":"pk = :pk","ExpressionAttributeValues":{":pk":{"S":"a"}},"Limit":-1}`)
	f.Add("TransactWriteItems", `{"TransactItems":[{"Delete":{"Key":{"pk":{"S":"a"},"sk":{"S":"b"}}}},{}]}`)
	f.Fuzz(func(t *testing.T, target, body string) {
		s := platform.New(platform.Options{})
		if code := do(s, "POST", "/", target, body).Code; code != 200 && code != 400 {
			t.Fatalf("status %d", code)
		}
	})
}
