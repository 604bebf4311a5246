package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the time after which an order without an answer is carried out.
const minLate, maxLate = 2 * time.Second, 12 * time.Second

// lateOrders is in front of an endpoint. It leaves a share of the orders without an answer and
// carries them out late. Calls that are no orders pass.
type lateOrders struct {
	site  *site
	name  string
	next  http.Handler
	mu    sync.Mutex
	rng   *rand.Rand
	share float64
	// allCalls extends the share to the calls that are no orders. While silent is set, no call
	// is carried out or answered.
	allCalls bool
	silent   bool
	// life counts the crashes. Orders of an earlier life are not carried out.
	life int
}

// forget drops the orders that are to be carried out.
func (o *lateOrders) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.life++
}

func (o *lateOrders) currentLife() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.life
}

func (o *lateOrders) setShare(share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.share = share
}

// setLateCalls sets the share of all calls that get no answer.
func (o *lateOrders) setLateCalls(share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.share, o.allCalls = share, true
}

func (o *lateOrders) setSilent(silent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silent = silent
}

// draw decides on a call: whether it is carried out at all, and whether late and by how much.
func (o *lateOrders) draw(isOrder bool) (silent, late bool, by time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	late = (isOrder || o.allCalls) && o.rng.Float64() < o.share
	return o.silent, late, minLate + time.Duration(o.rng.Float64()*float64(maxLate-minLate))
}

// statusWriter keeps the status and the body of an answer.
type statusWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *statusWriter) Header() http.Header         { return w.header }
func (w *statusWriter) WriteHeader(status int)      { w.status = status }
func (w *statusWriter) Write(b []byte) (int, error) { return w.body.Write(b) }

// ServeHTTP serves a call of the sidecar.
func (o *lateOrders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	isOrder := strings.HasPrefix(r.URL.Path, "/run-")
	silent, late, by := o.draw(isOrder)
	switch {
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case late:
		o.site.record.add("%s %s %s gets no answer, to be carried out in %s", o.name, r.URL.Path, body, by.Round(time.Millisecond))
		life := o.currentLife()
		time.AfterFunc(by, func() {
			if o.currentLife() != life {
				return
			}
			answer := o.execute(o.site.record.ctx, r, body)
			o.site.record.add("%s %s %s carried out late: %d %s", o.name, r.URL.Path, body, answer.status, strings.TrimSpace(answer.body.String()))
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer := o.execute(r.Context(), r, body)
	if r.Context().Err() != nil {
		o.site.record.add("%s %s %s has no answer", o.name, r.URL.Path, body)
		return
	}
	if isOrder {
		o.site.record.add("%s %s %s answered %d %s", o.name, r.URL.Path, body, answer.status, strings.TrimSpace(answer.body.String()))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	// A write fails if the sidecar has left.
	_, _ = w.Write(answer.body.Bytes())
}

// execute has the endpoint carry out a call.
func (o *lateOrders) execute(ctx context.Context, r *http.Request, body []byte) *statusWriter {
	copied := r.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	answer := &statusWriter{header: http.Header{}, status: http.StatusOK}
	o.next.ServeHTTP(answer, copied)
	return answer
}
