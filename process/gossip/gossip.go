// Package gossip keeps a dispatcher's list of known dispatchers and selects the peers to
// exchange state with next. The messages that a dispatcher sends per round are bounded by
// a constant, whatever the number of dispatchers, also while a new deployment or a new
// configuration becomes known to all of them. It does no I/O.
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
	// fanout is the number of peers contacted per round. If each dispatcher that has an
	// update passes it on to three others, it reaches n dispatchers after about log4(n)
	// rounds: three rounds for 55.
	fanout = 3
	// expireAfter is how long an address that does not answer is kept.
	expireAfter = time.Minute
	// maxAddresses limits the known addresses. It is several times the number of
	// dispatchers in the largest deployment.
	maxAddresses = 4096
	// tombstoneTTL is how long an expired address is not learned again from peers: until
	// every other dispatcher has expired it too.
	tombstoneTTL = 3 * expireAfter
)

// Gossip holds the addresses that one dispatcher knows. It is not safe for concurrent use.
type Gossip struct {
	self   string
	random *rand.Rand
	// lastAnswer is when an address last answered, or when it was learned.
	lastAnswer map[string]time.Time
	// tombstones holds when an address expired.
	tombstones map[string]time.Time
	// pendingPeers holds the addresses not yet contacted in the current cycle.
	pendingPeers []string
}

// New returns the state of a dispatcher that knows no other one.
func New(self string, seed uint64) *Gossip {
	return &Gossip{
		self: self, random: rand.New(rand.NewPCG(seed, 0)),
		lastAnswer: map[string]time.Time{}, tombstones: map[string]time.Time{},
	}
}

// Addresses returns this dispatcher's address, followed by the known ones in order.
func (g *Gossip) Addresses() []string {
	return append([]string{g.self}, slices.Sorted(maps.Keys(g.lastAnswer))...)
}

// Digest returns a hash of the known addresses. Dispatchers that know the same addresses,
// their own included, have the same digest.
func (g *Gossip) Digest() uint64 {
	sum := hash(g.self)
	for a := range g.lastAnswer {
		sum ^= hash(a)
	}
	return sum
}

func hash(text string) uint64 {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// Learn adds addresses received from peers and returns the new ones. Addresses that are
// invalid, have a tombstone or exceed maxAddresses are skipped.
func (g *Gossip) Learn(addresses []string, now time.Time) []string {
	maps.DeleteFunc(g.tombstones, func(_ string, at time.Time) bool { return now.Sub(at) > tombstoneTTL })
	var learned []string
	for _, a := range addresses {
		_, expired := g.tombstones[a]
		_, known := g.lastAnswer[a]
		if !known && !expired && a != g.self && len(g.lastAnswer) < maxAddresses && address.Valid(a) {
			g.lastAnswer[a] = now
			learned = append(learned, a)
		}
	}
	return learned
}

// HeardFrom deletes the tombstone of an address that has sent a message itself.
func (g *Gossip) HeardFrom(from string) { delete(g.tombstones, from) }

// Answered notes that an address has answered.
func (g *Gossip) Answered(from string, now time.Time) {
	if _, known := g.lastAnswer[from]; known {
		g.lastAnswer[from] = now
	}
}

// Missed notes that an address did not answer. The address expires after expireAfter
// without an answer; silence is the time since its last one.
func (g *Gossip) Missed(from string, now time.Time) (silence time.Duration, expired bool) {
	at, known := g.lastAnswer[from]
	if !known || now.Sub(at) <= expireAfter {
		return 0, false
	}
	delete(g.lastAnswer, from)
	g.tombstones[from] = now
	return now.Sub(at), true
}

// NextRound returns the addresses to contact in the next round. A cycle contacts each
// address once, in an order that is shuffled each time, and skips expired addresses.
func (g *Gossip) NextRound() []string {
	round := make([]string, 0, fanout)
	for len(round) < min(fanout, len(g.lastAnswer)) {
		if len(g.pendingPeers) == 0 {
			g.pendingPeers = slices.Sorted(maps.Keys(g.lastAnswer))
			g.random.Shuffle(len(g.pendingPeers), func(i, k int) { g.pendingPeers[i], g.pendingPeers[k] = g.pendingPeers[k], g.pendingPeers[i] })
		}
		next := g.pendingPeers[0]
		g.pendingPeers = g.pendingPeers[1:]
		if _, known := g.lastAnswer[next]; known && !slices.Contains(round, next) {
			round = append(round, next)
		}
	}
	return round
}
