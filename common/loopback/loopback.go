// Package loopback tells addresses of the machine itself from others.
package loopback

import "net/netip"

// Is reports whether an address, an IP number and a port, is of the machine
// itself. Text that is no such address is not.
func Is(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}
