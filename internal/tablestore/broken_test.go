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
