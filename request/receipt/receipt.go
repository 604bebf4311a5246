// Package receipt is what an entry knew of a request's owner when the request came.
package receipt

// Receipt names the owner of a request's key.
type Receipt struct {
	// Owner is the instance that owned the key.
	Owner string
	// Reading is the owner's clock as it was last heard.
	OwnerClock uint64
}
