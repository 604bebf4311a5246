// Package loopback recognises loopback addresses.
package loopback

import "net/netip"

// Is reports whether an ip:port address is a loopback address. It returns false if the
// address is invalid.
func Is(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Addr().Unmap().IsLoopback()
}
