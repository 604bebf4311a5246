package guard_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/version/access"
)

func ask(a *access.Access, role access.Role, remote, authorization string) (code int, operator string) {
	g := guard.New(func() *access.Access { return a })
	handler := g.RequireRole(role, func(w http.ResponseWriter, r *http.Request) {
		operator = guard.Operator(r.Context())
		w.WriteHeader(http.StatusAccepted)
	})
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	request.RemoteAddr = remote
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	answer := httptest.NewRecorder()
	handler(answer, request)
	return answer.Code, operator
}

func TestWithoutOperatorsOnlyLoopbackIsAccepted(t *testing.T) {
	for remote, want := range map[string]int{
		"127.0.0.1:999":        http.StatusAccepted,
		"[::1]:999":            http.StatusAccepted,
		"[::ffff:127.0.0.1]:9": http.StatusAccepted,
		"10.0.0.1:999":         http.StatusForbidden,
		"nonsense":             http.StatusForbidden,
	} {
		t.Run(remote, func(t *testing.T) {
			is := is.New(t)
			code, _ := ask(access.New(false), access.Read, remote, "")
			is.Equal(code, want)
		})
	}
}

func TestRolesIncludeLowerRoles(t *testing.T) {
	a := access.New(false)
	roles := []access.Role{access.Read, access.Operate, access.Configure}
	for _, r := range roles {
		a.AddOperator(r.String(), r, []access.Digest{access.DigestOf("token-" + r.String())})
	}
	for _, has := range roles {
		for _, needs := range roles {
			t.Run(has.String()+" for "+needs.String(), func(t *testing.T) {
				is := is.New(t)
				code, operator := ask(a, needs, "127.0.0.1:9", "Bearer token-"+has.String())
				if has < needs {
					is.Equal(code, http.StatusForbidden)
					is.Equal(operator, "")
					return
				}
				is.Equal(code, http.StatusAccepted)
				is.Equal(operator, has.String())
			})
		}
	}
	for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic token-configure", "token-configure"} {
		t.Run("refused "+authorization, func(t *testing.T) {
			is := is.New(t)
			code, operator := ask(a, access.Read, "127.0.0.1:9", authorization)
			is.Equal(code, http.StatusUnauthorized)
			is.Equal(operator, "")
		})
	}
}
