// Package guard lets operators in to the administration interface by their
// bearer tokens and roles.
package guard

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/bearer"
	"github.com/corianderhook/corianderhook/common/loopback"
	"github.com/corianderhook/corianderhook/version/access"
)

// Guard wraps handlers. Where no operator has a token it takes only requests
// from the machine itself.
type Guard struct {
	source func() *access.Access
}

// New returns a guard over the access that is in force at each request.
func New(source func() *access.Access) *Guard { return &Guard{source: source} }

// localOperator is who acts on the machine itself without a token.
const localOperator = "local"

type nameKey struct{}

// Operator returns the name of the operator of a request that passed a guard.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// Need wraps a handler so that it takes only operators with the role.
func (g *Guard) RequireRole(role access.Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := g.source()
		if !a.HasOperatorTokens() {
			g.local(w, r, next)
			return
		}
		name, has := a.AuthenticateOperator(bearer.Token(r))
		switch {
		case has == access.Nobody:
			refuse(w, r, "", http.StatusUnauthorized, "the call needs an operator's bearer token")
		case has < role:
			refuse(w, r, name, http.StatusForbidden, "the call needs the role "+role.String()+"; operator "+name+" has "+has.String())
		default:
			next(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, name)))
		}
	}
}

// local is for processes without operators.
func (g *Guard) local(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !loopback.Is(r.RemoteAddr) {
		refuse(w, r, "", http.StatusForbidden, "no operator has a token; the call is only taken from the machine itself")
		return
	}
	next(w, r.WithContext(context.WithValue(r.Context(), nameKey{}, localOperator)))
}

func refuse(w http.ResponseWriter, r *http.Request, name string, code int, reason string) {
	klog.InfoS("CH0601 administration call refused", "from", r.RemoteAddr, "operator", name, "method", r.Method, "path", r.URL.Path, "reason", reason)
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	http.Error(w, reason, code)
}
