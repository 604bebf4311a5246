package loopback_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/common/loopback"
)

func TestOnly(t *testing.T) {
	for remote, want := range map[string]int{
		"127.0.0.1:999":        http.StatusAccepted,
		"[::1]:999":            http.StatusAccepted,
		"[::ffff:127.0.0.1]:9": http.StatusAccepted,
		"10.0.0.1:999":         http.StatusForbidden,
		"nonsense":             http.StatusForbidden,
	} {
		t.Run(remote, func(t *testing.T) {
			is := is.New(t)
			handler := loopback.Only(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
			request := httptest.NewRequest(http.MethodPost, "/", nil)
			request.RemoteAddr = remote
			answer := httptest.NewRecorder()
			handler(answer, request)
			is.Equal(answer.Code, want)
		})
	}
}
