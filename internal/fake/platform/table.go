package platform

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

const (
	maxBodyBytes     = 8 << 20
	targetPrefix     = "DynamoDB_20120810."
	errorPrefix      = "com.amazonaws.dynamodb.v20120810#"
	maxTransactItems = 100
)

// attribute is a DynamoDB attribute value of the type S, N or B.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *string `json:"B,omitempty"` // base64
}

func (a attribute) text() string {
	if a.S == nil {
		return ""
	}
	return *a.S
}

type item map[string]attribute

func (i item) key() (partition, sort string) { return i["pk"].text(), i["sk"].text() }

// table holds the items by partition and sort key.
type table struct {
	mu           sync.Mutex
	items        map[string]map[string]item
	transactions map[string][]byte // canonical request of each transaction that took effect, by client token
}

func newTable() *table {
	return &table{items: make(map[string]map[string]item), transactions: make(map[string][]byte)}
}

type getInput struct{ Key item }

type queryInput struct {
	KeyConditionExpression    string
	ExpressionAttributeValues item
	ExclusiveStartKey         item
	Limit                     int
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

type transactItem struct {
	Put, Delete, ConditionCheck *transactOp
}

type transactOp struct {
	Key, Item                 item
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues item
}

type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
}

// apiError is an error response of the protocol.
type apiError struct {
	Status  int                  `json:"-"`
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

func invalid(message string) *apiError {
	return &apiError{Status: http.StatusBadRequest, Type: "ValidationException", Message: message}
}

func (s *Server) serveTable(w http.ResponseWriter, r *http.Request) {
	operation := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	write := operation == "TransactWriteItems"
	s.mu.Lock()
	f := s.faults
	if write {
		s.stats.Writes++
	} else {
		s.stats.Reads++
	}
	s.mu.Unlock()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeResponse(w, nil, invalid(err.Error()))
		return
	}
	if f.hang {
		<-r.Context().Done()
		return
	}
	if !wait(r, f.delay) {
		return
	}
	if f.unavailable {
		writeResponse(w, nil, &apiError{
			Status: http.StatusServiceUnavailable, Type: "ServiceUnavailable", Message: "the table service is unavailable",
		})
		return
	}
	answer, failure := s.dispatch(operation, body)
	if write && s.loseAnswer(failure == nil) {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, answer, failure)
}

// loseAnswer counts a write and reports whether its response must be dropped.
func (s *Server) loseAnswer(applied bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if applied {
		s.stats.WritesApplied++
	}
	if s.faults.loseAnswers == 0 {
		return false
	}
	s.faults.loseAnswers--
	s.stats.AnswersLost++
	return true
}

func writeResponse(w http.ResponseWriter, answer any, failure *apiError) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	if failure != nil {
		failure.Type = errorPrefix + failure.Type
		w.WriteHeader(failure.Status)
		answer = failure
	}
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) dispatch(operation string, body []byte) (any, *apiError) {
	switch operation {
	case "GetItem":
		return decodeAndRun(body, s.table.get)
	case "Query":
		return decodeAndRun(body, func(in queryInput) (any, *apiError) { return s.table.query(in, s.opts.PageSize) })
	case "TransactWriteItems":
		return decodeAndRun(body, s.table.transact)
	}
	return nil, &apiError{Status: http.StatusBadRequest, Type: "UnknownOperationException", Message: operation}
}

func decodeAndRun[T any](body []byte, run func(T) (any, *apiError)) (any, *apiError) {
	var in T
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, &apiError{Status: http.StatusBadRequest, Type: "SerializationException", Message: err.Error()}
	}
	return run(in)
}

func (t *table) get(in getInput) (any, *apiError) {
	t.mu.Lock()
	defer t.mu.Unlock()
	partition, sort := in.Key.key()
	if partition == "" || sort == "" {
		return nil, invalid("the key is incomplete: pk and sk are required")
	}
	found, ok := t.items[partition][sort]
	if !ok {
		return struct{}{}, nil
	}
	return map[string]item{"Item": found}, nil
}

func (t *table) query(in queryInput, pageSize int) (any, *apiError) {
	after := in.ExpressionAttributeValues[":after"].text()
	switch in.KeyConditionExpression {
	case "pk = :pk":
		after = ""
	case "pk = :pk AND sk > :after":
	default:
		return nil, invalid("unsupported KeyConditionExpression")
	}
	if _, start := in.ExclusiveStartKey.key(); start > after {
		after = start
	}
	limit := pageSize
	if in.Limit > 0 {
		limit = min(limit, in.Limit)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	partition := t.items[in.ExpressionAttributeValues[":pk"].text()]
	out := struct {
		Items            []item
		Count            int
		LastEvaluatedKey item `json:",omitempty"`
	}{Items: []item{}}
	for _, sort := range slices.Sorted(maps.Keys(partition)) {
		if sort <= after {
			continue
		}
		if out.Count == limit {
			last := out.Items[limit-1]
			out.LastEvaluatedKey = item{"pk": last["pk"], "sk": last["sk"]}
			break
		}
		out.Items = append(out.Items, partition[sort])
		out.Count++
	}
	return out, nil
}

func (t *table) transact(in transactInput) (any, *apiError) {
	// Clients encode maps in any order, so requests are compared in canonical form.
	body, err := json.Marshal(in)
	if err != nil {
		return nil, invalid(err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.transactions[in.ClientRequestToken]; ok && in.ClientRequestToken != "" {
		if !bytes.Equal(old, body) {
			return nil, &apiError{Status: http.StatusBadRequest, Type: "IdempotentParameterMismatchException"}
		}
		return struct{}{}, nil
	}
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactItems {
		return nil, invalid("a transaction must have 1 to 100 items")
	}
	if failure := t.check(in.TransactItems); failure != nil {
		return nil, failure
	}
	for _, ti := range in.TransactItems {
		t.apply(ti)
	}
	if in.ClientRequestToken != "" {
		t.transactions[in.ClientRequestToken] = body
	}
	return struct{}{}, nil
}

func (ti transactItem) op() (*transactOp, item) {
	switch {
	case ti.Put != nil:
		return ti.Put, ti.Put.Item
	case ti.Delete != nil:
		return ti.Delete, ti.Delete.Key
	case ti.ConditionCheck != nil:
		return ti.ConditionCheck, ti.ConditionCheck.Key
	}
	return nil, nil
}

// check evaluates the conditions of all items before any of them is written.
func (t *table) check(items []transactItem) *apiError {
	reasons := make([]cancellationReason, len(items))
	failed := false
	seen := make(map[[2]string]bool)
	for i, ti := range items {
		op, key := ti.op()
		partition, sort := key.key()
		if op == nil || partition == "" || sort == "" {
			return invalid("the key is incomplete: pk and sk are required")
		}
		if seen[[2]string{partition, sort}] {
			return invalid("Transaction request cannot include multiple operations on one item")
		}
		seen[[2]string{partition, sort}] = true
		holds, ok := op.holds(t.items[partition][sort])
		if !ok {
			return invalid("unsupported ConditionExpression")
		}
		reasons[i].Code = "None"
		if !holds {
			reasons[i] = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
			failed = true
		}
	}
	if !failed {
		return nil
	}
	return &apiError{
		Status: http.StatusBadRequest, Type: "TransactionCanceledException",
		Message: "Transaction cancelled", Reasons: reasons,
	}
}

// holds evaluates the condition against the stored item; ok is false if the expression is not supported.
func (op *transactOp) holds(stored item) (holds, ok bool) {
	switch op.ConditionExpression {
	case "":
		return true, true
	case "attribute_not_exists(pk)":
		return stored == nil, true
	case "#version = :version":
		want := op.ExpressionAttributeValues[":version"].N
		have := stored[op.ExpressionAttributeNames["#version"]].N
		return want != nil && have != nil && *want == *have, true
	}
	return false, false
}

func (t *table) apply(ti transactItem) {
	switch {
	case ti.Put != nil:
		partition, sort := ti.Put.Item.key()
		if t.items[partition] == nil {
			t.items[partition] = make(map[string]item)
		}
		t.items[partition][sort] = ti.Put.Item
	case ti.Delete != nil:
		partition, sort := ti.Delete.Key.key()
		delete(t.items[partition], sort)
	}
}
