// Package address tells addresses of processes from text that is none.
package address

import "net/netip"

// Valid reports whether a text is ip:port of a single machine.
func Valid(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
