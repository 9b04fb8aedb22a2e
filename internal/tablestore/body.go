package tablestore

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// bufferingTransport passes each request on with a buffered copy of its body. The DynamoDB library closes the
// body of a request as soon as the response arrives, while net/http may still be reading the body to find its
// end. net/http would then treat the closed body as a failed write and close the connection while the response
// is being read.
type bufferingTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b bufferingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return b.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	clone := r.Clone(r.Context())
	clone.Body = io.NopCloser(bytes.NewReader(body))
	clone.ContentLength = int64(len(body))
	return b.next.RoundTrip(clone)
}
