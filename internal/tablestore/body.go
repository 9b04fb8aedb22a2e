package tablestore

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// bodyBuffer gives net/http a body of its own. The DynamoDB library closes a request's body as soon as the
// answer comes, while net/http may still look for its end; net/http then takes the closed body for a failed
// write and closes the connection under the answer.
type bodyBuffer struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (b bodyBuffer) RoundTrip(r *http.Request) (*http.Response, error) {
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
	own := r.Clone(r.Context())
	own.Body = io.NopCloser(bytes.NewReader(body))
	own.ContentLength = int64(len(body))
	return b.next.RoundTrip(own)
}
