// Package loopback restricts HTTP handlers to callers on the same machine.
package loopback

import (
	"net/http"
	"net/netip"
)

// Only wraps a handler so that it refuses callers from other machines. It is
// for calls that change something and for which there are no credentials.
func Only(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !remote.Addr().Unmap().IsLoopback() {
			http.Error(w, "this call is only taken from the machine itself", http.StatusForbidden)
			return
		}
		next(w, r)
	}
}
