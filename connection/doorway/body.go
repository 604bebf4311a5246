package doorway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/intake"
)

// retryAfter is the Retry-After of a refusal for want of room.
const retryAfter = time.Second

// Refusal is the error of a request that is not received to its end, or not served, for want of
// room or time. Nothing of it has run.
type Refusal struct{ reason intake.Reason }

// Error returns the reason.
func (r *Refusal) Error() string { return r.reason.String() }

// Status returns the HTTP status of the refusal, and sets its headers. Where the rest of the body is
// not read, the connection ends.
func (r *Refusal) Status(h http.Header) int {
	switch r.reason {
	case intake.TooLarge:
		return http.StatusRequestEntityTooLarge
	case intake.NoRoom:
		h.Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		return http.StatusServiceUnavailable
	case intake.Stalled, intake.Slow:
		h.Set("Connection", "close")
		return http.StatusRequestTimeout
	default:
		h.Set("Connection", "close")
		h.Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
		return http.StatusServiceUnavailable
	}
}

// RefusalOf returns the refusal that an error of reading a body stands for, nil if it is another.
func RefusalOf(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

// body is the body of a request, which is counted while it is read.
type body struct {
	io.ReadCloser
	connection *connection
	// header is what the header of the request takes.
	header int64
	// complete is set at the end of the body.
	complete bool
}

// Read reads a part of the body. At its end the request does not give way any more.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.complete {
		return n, err
	}
	d, v := b.connection.doorway, b.connection.visitor
	now := d.clock.Now()
	stays := d.intake.Receive(v, int64(n), now)
	if errors.Is(err, io.EOF) {
		b.complete = true
		stays = d.intake.Serve(v, now)
	}
	if !stays {
		if reason := d.intake.Dismissed(v); reason != intake.None {
			return 0, &Refusal{reason}
		}
	}
	d.awaitDrained()
	return n, err
}

// Handler returns a handler that counts the headers and bodies of requests.
func (d *Doorway) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		if c != nil {
			c.inRequest.Store(true)
			defer c.inRequest.Store(false)
		}
		switch {
		case r.ContentLength != 0 && !d.bodies:
			w.Header().Set("Connection", "close")
			http.Error(w, "this address takes no bodies", http.StatusRequestEntityTooLarge)
		case c == nil:
			next.ServeHTTP(w, r)
		case r.ContentLength == 0:
			d.serve(c, next, w, r)
		default:
			counted, b := *r, &body{ReadCloser: r.Body, connection: c, header: requestMemory(r)}
			counted.Body = b
			// One that has given way is refused when its body is read.
			d.intake.Begin(c.visitor, b.header, d.clock.Now())
			defer d.finish(b)
			next.ServeHTTP(w, &counted)
		}
	})
}

// finish notes that a request has been answered. The server skips what its handler has not read of
// the body, for which the client has as long as for the rest.
func (d *Doorway) finish(b *body) {
	if b.complete {
		d.intake.Wait(b.connection.visitor, d.clock.Now())
		return
	}
	d.intake.Release(b.connection.visitor)
}

// serve serves a request without a body.
func (d *Doorway) serve(c *connection, next http.Handler, w http.ResponseWriter, r *http.Request) {
	defer func() { d.intake.Wait(c.visitor, d.clock.Now()) }()
	reason := d.intake.Dismissed(c.visitor)
	if d.intake.Serve(c.visitor, d.clock.Now()) {
		if reason = d.intake.Keep(c.visitor, requestMemory(r)); reason == intake.None {
			next.ServeHTTP(w, r)
			return
		}
	}
	refusal := &Refusal{reason}
	http.Error(w, refusal.Error(), refusal.Status(w.Header()))
}

// Keep notes how many bytes the request takes while it is served. The error is a Refusal if there is
// no room for them.
func (b *body) Keep(bytes int64) error {
	d := b.connection.doorway
	if reason := d.intake.Keep(b.connection.visitor, b.header+bytes); reason != intake.None {
		d.note(reason.String())
		return &Refusal{reason}
	}
	return nil
}

// Keep notes how many bytes a request whose body has been read takes while it is served. The error
// is a Refusal if there is no room for them.
func Keep(r *http.Request, bytes int64) error {
	if b, ok := r.Body.(*body); ok {
		return b.Keep(bytes)
	}
	return nil
}
