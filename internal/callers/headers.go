package callers

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/pomelowheel/pomelowheel/internal/wire/wirepb"
)

// hopByHop lists the header fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// keyHeaders lists the header fields that carry credentials.
var keyHeaders = []string{"Authorization", "Api-Key", "X-Api-Key"}

// keyParameters lists the query parameters that carry credentials.
var keyParameters = []string{"api_key", "key"}

// bearer returns the key of the Authorization header, or "".
func bearer(h http.Header) string {
	scheme, key, ok := strings.Cut(strings.TrimSpace(h.Get("Authorization")), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// secrets returns every value of r that may be a key: the bearer key and what stands in the other fields
// and parameters for credentials.
func secrets(r *http.Request) []string {
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

func carries(value string, keys []string) bool {
	for _, k := range keys {
		if strings.Contains(value, k) {
			return true
		}
	}
	return false
}

// forwarded returns the header fields of r that a backend server may see: without hop-by-hop fields, the
// gateway's own fields and anything that carries a key.
func forwarded(r *http.Request, keys []string) []*wirepb.Header {
	drop := dropped(r.Header)
	var headers []*wirepb.Header
	for name, values := range r.Header {
		if drop[name] {
			continue
		}
		for _, v := range values {
			if name == "Cookie" {
				v = withoutKeyCookies(v, keys)
			}
			if v == "" || carries(v, keys) {
				continue
			}
			headers = append(headers, &wirepb.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(headers, func(a, b *wirepb.Header) int { return strings.Compare(a.Name, b.Name) })
	return headers
}

func dropped(h http.Header) map[string]bool {
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

func withoutKeyCookies(line string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(line, ";") {
		pair = strings.TrimSpace(pair)
		name, value, _ := strings.Cut(pair, "=")
		decoded, err := url.QueryUnescape(value)
		switch {
		case pair == "", isKeyName(name), carries(value, keys), err == nil && carries(decoded, keys):
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "; ")
}

func isKeyName(name string) bool {
	name = strings.ToLower(strings.TrimSpace(name))
	return slices.Contains(keyParameters, name) || slices.Contains(keyHeaders, http.CanonicalHeaderKey(name))
}

// cleanQuery returns the raw query without parameters that carry a key, in their old order.
func cleanQuery(raw string, keys []string) string {
	var kept []string
	for pair := range strings.SplitSeq(raw, "&") {
		name, value, _ := strings.Cut(pair, "=")
		plainName, nameErr := url.QueryUnescape(name)
		plainValue, valueErr := url.QueryUnescape(value)
		broken := nameErr != nil || valueErr != nil
		if pair == "" || broken || isKeyName(plainName) || carries(plainName, keys) || carries(plainValue, keys) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
