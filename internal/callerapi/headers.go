package callerapi

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// keyHeaders lists the header fields that carry credentials.
var keyHeaders = []string{"Authorization", "Api-Key", "X-Api-Key"}

// keyParameters lists the query parameters that carry credentials.
var keyParameters = []string{"api_key", "key"}

// bearerKey returns the bearer key of the Authorization header, or "" if there is none.
func bearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// requestKeys returns every value of r that may be a key: the bearer key and the values of the other header fields and
// query parameters that carry credentials.
func requestKeys(r *http.Request) []string {
	var found []string
	add := func(v string) {
		if v = strings.TrimSpace(v); v != "" && !slices.Contains(found, v) {
			found = append(found, v)
		}
	}
	for _, name := range keyHeaders {
		for _, v := range r.Header.Values(name) {
			if _, key, ok := strings.Cut(strings.TrimSpace(v), " "); ok {
				v = key
			}
			add(v)
		}
	}
	query := r.URL.Query()
	for _, name := range keyParameters {
		for _, v := range query[name] {
			add(v)
		}
	}
	return found
}

// containsAny reports whether value contains any of the keys.
func containsAny(value string, keys []string) bool {
	for _, k := range keys {
		if strings.Contains(value, k) {
			return true
		}
	}
	return false
}

// forwardedHeaders returns the header fields of r that are passed to a backend server, sorted by name: without
// hop-by-hop fields, the gateway's own fields and any value that contains a key.
func forwardedHeaders(r *http.Request, keys []string) []*wirepb.Header {
	drop := droppedHeaders(r.Header)
	var headers []*wirepb.Header
	for name, values := range r.Header {
		if drop[name] {
			continue
		}
		for _, v := range values {
			if name == "Cookie" {
				v = removeKeyCookies(v, keys)
			}
			if v == "" || containsAny(v, keys) {
				continue
			}
			headers = append(headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(headers, func(a, b *wirepb.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

// droppedHeaders returns the names of the header fields that are not passed on, in canonical form.
func droppedHeaders(h http.Header) map[string]bool {
	drop := map[string]bool{"Content-Length": true, "Expect": true, "Pomelo-Profile": true, "X-Request-Id": true}
	for _, names := range [][]string{hopByHop, keyHeaders} {
		for _, name := range names {
			drop[name] = true
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			drop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return drop
}

// removeKeyCookies returns the Cookie field without the cookies that carry a key.
func removeKeyCookies(line string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(line, ";") {
		pair = strings.TrimSpace(pair)
		name, value, _ := strings.Cut(pair, "=")
		decoded, err := url.QueryUnescape(value)
		switch {
		case pair == "", isKeyName(name), containsAny(value, keys), err == nil && containsAny(decoded, keys):
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "; ")
}

// isKeyName reports whether name is that of a header field or query parameter that carries credentials.
func isKeyName(name string) bool {
	name = strings.ToLower(strings.TrimSpace(name))
	return slices.Contains(keyParameters, name) || slices.Contains(keyHeaders, http.CanonicalHeaderKey(name))
}

// removeKeyParameters returns the raw query without malformed parameters and those that carry a key. The others
// keep their order.
func removeKeyParameters(raw string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		decodedName, nameErr := url.QueryUnescape(name)
		decodedValue, valueErr := url.QueryUnescape(value)
		malformed := nameErr != nil || valueErr != nil
		if pair == "" || malformed || isKeyName(decodedName) || containsAny(decodedName, keys) || containsAny(decodedValue, keys) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
