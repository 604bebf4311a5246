package intake

//go:generate stringer -type=Reason -linecomment

// Reason is why a connection has given way.
type Reason uint8

// Reasons.
const (
	// None means that it has not.
	None Reason = iota // none
	// Crowded means that there are too many connections, Full that incomplete requests hold too
	// many bytes.
	Crowded // too many connections
	Full    // too many bytes of incomplete requests
	// Stalled means that nothing of the request has arrived for too long, Slow that the whole of
	// it takes too long.
	Stalled // the request has stalled
	Slow    // the request takes too long
	// NoRoom means that the requests that are being served leave no room for the request, TooLarge
	// that it needs more than all of them may take.
	NoRoom   // too many bytes of requests that are being served
	TooLarge // the request takes too much memory
	// Unread means that the client does not read the answer.
	Unread // the answer is not read
	// Busy means that too many calls are under way for another one of the same connection.
	Busy // too many calls
)
