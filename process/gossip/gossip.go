// Package gossip decides at a dispatcher which others it knows and whom it exchanges
// with next. It answers the load of a deployment in which every dispatcher has just
// heard of every other, or of a new configuration: what one process sends in a round
// is bounded by a constant, whatever their number. It does no I/O.
package gossip

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/corianderhook/corianderhook/common/address"
)

const (
	// fanout is how many others a round reaches. News told by each who learns it, to
	// three others, is known to n dispatchers after about log4(n) rounds: three for 55.
	fanout = 3
	// forgetAfter is how long an address that does not answer is kept.
	forgetAfter = time.Minute
	// mostKnown bounds the addresses: some times the dispatchers of the largest
	// deployment.
	mostKnown = 4096
	// shunFor is how long a forgotten address is not learned again by hearsay: until
	// every other dispatcher has forgotten it too.
	shunFor = 3 * forgetAfter
)

// Gossip is what one dispatcher knows of the others. It is not safe for concurrent use.
type Gossip struct {
	self   string
	random *rand.Rand
	// answered is when an address last answered, or was learned.
	answered map[string]time.Time
	// forgotten is when an address was forgotten.
	forgotten map[string]time.Time
	// lap holds the addresses that have not had their turn.
	lap []string
}

// New returns the knowledge of a dispatcher that knows nobody yet.
func New(self string, seed uint64) *Gossip {
	return &Gossip{
		self: self, random: rand.New(rand.NewPCG(seed, 0)),
		answered: map[string]time.Time{}, forgotten: map[string]time.Time{},
	}
}

// Addresses returns this dispatcher's address and those of the others in order.
func (g *Gossip) Addresses() []string {
	return append([]string{g.self}, slices.Sorted(maps.Keys(g.answered))...)
}

// Digest is the same for all who know the same addresses.
func (g *Gossip) Digest() uint64 {
	sum := hash(g.self)
	for a := range g.answered {
		sum ^= hash(a)
	}
	return sum
}

func hash(text string) uint64 {
	h := fnv.New64a()
	// A hash takes every write.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// Learn takes addresses that others have told of and returns those that are new.
func (g *Gossip) Learn(addresses []string, now time.Time) []string {
	maps.DeleteFunc(g.forgotten, func(_ string, at time.Time) bool { return now.Sub(at) > shunFor })
	var learned []string
	for _, a := range addresses {
		_, shunned := g.forgotten[a]
		_, known := g.answered[a]
		if !known && !shunned && a != g.self && len(g.answered) < mostKnown && address.Valid(a) {
			g.answered[a] = now
			learned = append(learned, a)
		}
	}
	return learned
}

// Met notes a sign of life from an address itself.
func (g *Gossip) HeardFrom(from string) { delete(g.forgotten, from) }

// Answered notes an answer of an address.
func (g *Gossip) Answered(from string, now time.Time) {
	if _, known := g.answered[from]; known {
		g.answered[from] = now
	}
}

// Missed notes that an address did not answer. It is forgotten after a time without
// any answer; unheard is that time.
func (g *Gossip) Missed(from string, now time.Time) (unheard time.Duration, forgotten bool) {
	at, known := g.answered[from]
	if !known || now.Sub(at) <= forgetAfter {
		return 0, false
	}
	delete(g.answered, from)
	g.forgotten[from] = now
	return now.Sub(at), true
}

// Round returns the addresses to exchange with now. Each has its turn once in a lap, in
// another order each time.
func (g *Gossip) NextRound() []string {
	round := make([]string, 0, fanout)
	for len(round) < min(fanout, len(g.answered)) {
		if len(g.lap) == 0 {
			g.lap = slices.Sorted(maps.Keys(g.answered))
			g.random.Shuffle(len(g.lap), func(i, k int) { g.lap[i], g.lap[k] = g.lap[k], g.lap[i] })
		}
		next := g.lap[0]
		g.lap = g.lap[1:]
		if _, known := g.answered[next]; known && !slices.Contains(round, next) {
			round = append(round, next)
		}
	}
	return round
}
