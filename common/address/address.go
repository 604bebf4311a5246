// Package address validates the addresses of processes.
package address

import "net/netip"

// Valid reports whether text is an ip:port address to which a process can be dialled: the
// port is not 0, and the IP address is neither unspecified nor multicast.
func Valid(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
