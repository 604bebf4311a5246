// Package guard authorises calls of the administration interface by the bearer tokens
// and roles of operators.
package guard

import (
	"context"
	"net/http"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/common/bearer"
	"github.com/corianderhook/corianderhook/common/excerpt"
	"github.com/corianderhook/corianderhook/common/loopback"
	"github.com/corianderhook/corianderhook/version/access"
)

// Guard wraps HTTP handlers with authorisation. While no operator has a token, it accepts
// only requests from a loopback address.
type Guard struct {
	currentAccess func() *access.Access
}

// New returns a guard that calls currentAccess for the access rules at each request.
func New(currentAccess func() *access.Access) *Guard { return &Guard{currentAccess: currentAccess} }

// localOperator is the operator name of loopback requests without a token.
const localOperator = "local"

// operatorKey is the context key of the operator's name.
type operatorKey struct{}

// Operator returns the name of the operator that a guard has authorised for a request.
func Operator(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// RequireRole wraps a handler so that it accepts only operators with the role or a higher
// one.
func (g *Guard) RequireRole(role access.Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a := g.currentAccess()
		if !a.HasOperatorTokens() {
			g.serveLoopback(w, r, next)
			return
		}
		name, granted := a.AuthenticateOperator(bearer.Token(r))
		switch {
		case granted == access.Nobody:
			refuse(w, r, "", http.StatusUnauthorized, "the call needs an operator's bearer token")
		case granted < role:
			refuse(w, r, name, http.StatusForbidden, "the call needs the role "+role.String()+"; operator "+name+" has "+granted.String())
		default:
			next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
		}
	}
}

// serveLoopback serves a request if it comes from a loopback address. It applies while no
// operator has a token.
func (g *Guard) serveLoopback(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	if !loopback.Is(r.RemoteAddr) {
		refuse(w, r, "", http.StatusForbidden, "no operator has a token; the call is only taken from the machine itself")
		return
	}
	next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, localOperator)))
}

func refuse(w http.ResponseWriter, r *http.Request, name string, code int, reason string) {
	klog.InfoS("CH0601 administration call refused", "from", r.RemoteAddr, "operator", name, "method", r.Method, "path", excerpt.Of(r.URL.Path), "reason", reason)
	if code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	http.Error(w, reason, code)
}
