// Package bearer reads bearer tokens from the Authorization header of HTTP requests (RFC
// 6750, section 2.1).
package bearer

import (
	"net/http"
	"strings"
)

// Token returns the bearer token of a request, or an empty string.
func Token(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
