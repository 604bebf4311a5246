// Package bearer reads bearer tokens from HTTP requests (RFC 6750, the header only).
package bearer

import (
	"net/http"
	"strings"
)

// Token returns the bearer token of a request, or nothing.
func Token(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
