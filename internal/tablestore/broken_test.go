package tablestore_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/pomelowheel/pomelowheel/internal/fake/rawserver"
	"github.com/pomelowheel/pomelowheel/internal/tablestore"
)

// startRaw starts a table service that answers with given bytes and returns a client of it.
func startRaw(answer rawserver.Answer) *tablestore.DynamoDB {
	GinkgoHelper()
	server, err := rawserver.Start(answer)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Stop)
	return tablestore.NewDynamoDB(tablestore.DynamoDBOptions{
		Endpoint: "http://" + server.Address, Region: "local", Table: "test", Timeout: 5 * time.Second,
	})
}

// Guards against a write that counts as made because of a part of an answer.
var _ = Describe("an answer without a length to a write that a reset ends", func() {
	It("leaves the outcome unknown", func() {
		store := startRaw(rawserver.Answer{Early: true, Text: "HTTP/1.1 200 OK\r\n\r\n{}", End: rawserver.Reset})
		value := strings.Repeat("u", 4<<20)
		for range 16 {
			Expect(store.Write(context.Background(), "w", put("a", tablestore.Any, value))).To(MatchError(tablestore.ErrUnknown))
		}
	})
})

// Guards against a call that counts as made, or as not made, because of an answer whose head is malformed.
var _ = Describe("an answer with a malformed head", func() {
	for name, head := range rawserver.MalformedHeads("") {
		It(name+" tells nothing about the call", func() {
			store := startRaw(rawserver.Answer{Text: head + "{  }"})
			Expect(store.Write(context.Background(), "w", put("a", tablestore.Any, "v"))).To(MatchError(tablestore.ErrUnknown))
			_, err := store.Get(context.Background(), key("a"))
			Expect(err).To(MatchError(tablestore.ErrUnavailable))
			_, err = store.Query(context.Background(), "p", "", 10)
			Expect(err).To(MatchError(tablestore.ErrUnavailable))
		})
	}
})
