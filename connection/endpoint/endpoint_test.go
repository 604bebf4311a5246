package endpoint_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/connection/endpoint"
	"github.com/corianderhook/corianderhook/wire"
)

func do(url string, timeoutMS int64) *wire.TaskRecord {
	client := endpoint.New(url, 4, clockwork.NewRealClock())
	return client.Do(context.Background(), "team/key/0", &wire.TaskStart{Payload: []byte(`1`), Kind: "k", TimeoutMs: timeoutMS})
}

func TestDo(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    wire.TaskState
	}{
		"success": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, wire.TaskState_TASK_STATE_DONE},
		"failure": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, wire.TaskState_TASK_STATE_FAILED},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, wire.TaskState_TASK_STATE_FAILED},
		"not started": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.HeaderNotStarted, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, wire.TaskState_TASK_STATE_NOT_STARTED},
		"cut off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, wire.TaskState_TASK_STATE_UNKNOWN},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			is.Equal(do(server.URL, 10_000).GetState(), c.want)
		})
	}
}

func TestNoConnectionMeansNotStarted(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l.Close()
	is.Equal(do("http://"+l.Addr().String(), 10_000).GetState(), wire.TaskState_TASK_STATE_NOT_STARTED)
}

func TestTimeoutMeansUnknown(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	is.Equal(do(server.URL, 50).GetState(), wire.TaskState_TASK_STATE_UNKNOWN)
}

// TestKeptConnectionThatBreaksIsNotUsedTwice: net/http sends a request with an
// Idempotency-Key again when a kept connection breaks under it. Here that would
// start a task twice.
func TestRequestIsNotResentAfterBrokenConnection(t *testing.T) {
	is := is.New(t)
	var starts atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if starts.Add(1) == 1 {
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			c.Close()
		}
	}))
	defer server.Close()
	client := endpoint.New(server.URL, 1, clockwork.NewRealClock())
	task := &wire.TaskStart{Payload: []byte(`1`), TimeoutMs: 10_000}
	is.Equal(client.Do(context.Background(), "t/k/0", task).GetState(), wire.TaskState_TASK_STATE_DONE)
	is.Equal(client.Do(context.Background(), "t/k/1", task).GetState(), wire.TaskState_TASK_STATE_UNKNOWN)
	is.Equal(starts.Load(), int64(2))
}
