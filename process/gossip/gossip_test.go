package gossip

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func addressOf(n int) string { return fmt.Sprintf("10.0.%d.%d:1", n/200, n%200) }

const a, b, c = "10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"

// An expired address must not be relearned from peers that have not expired it yet, or it
// would circulate for ever. A process that comes back makes itself known.
func TestExpiredAddressIsNotRelearnedFromPeers(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	g.Learn([]string{b, c, a}, start)
	i.Equal(g.Addresses(), []string{a, b, c})
	_, expired := g.Missed(c, start.Add(expireAfter))
	i.True(!expired)
	now := start.Add(expireAfter + time.Second)
	_, expired = g.Missed(c, now)
	i.True(expired)
	i.Equal(len(g.Learn([]string{c}, now)), 0)
	g.HeardFrom(c)
	i.Equal(g.Learn([]string{c}, now), []string{c})
	g.Answered(b, now)
	_, expired = g.Missed(b, now)
	i.True(!expired)
}

// Invalid addresses are not passed on, and the number of addresses is bounded.
func TestLearnRejectsInvalidAndExcessAddresses(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	i.Equal(len(g.Learn([]string{"", "x", "10.1.0.2", "0.0.0.0:1", "\x00\xff"}, start)), 0)
	var flood []string
	for n := range 3 * maxAddresses {
		flood = append(flood, fmt.Sprintf("10.%d.%d.%d:1", n>>16, n>>8&255, n&255))
	}
	g.Learn(flood, start)
	i.Equal(len(g.Addresses()), maxAddresses+1)
}

func TestDigestDependsOnAddressesOnly(t *testing.T) {
	i := is.New(t)
	first, second := New(a, 1), New(b, 2)
	i.True(first.Digest() != second.Digest())
	first.Learn([]string{b, c}, start)
	second.Learn([]string{c}, start)
	i.True(first.Digest() != second.Digest())
	second.Learn([]string{a}, start)
	i.Equal(first.Digest(), second.Digest())
}

// Each address is contacted once per cycle.
func TestRoundsReachEveryPeer(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	for n := range 10 {
		g.Learn([]string{addressOf(n)}, start)
	}
	contacted := map[string]int{}
	for range 10 {
		round := g.NextRound()
		i.Equal(len(round), fanout)
		for _, peer := range round {
			contacted[peer]++
		}
	}
	for n := range 10 {
		i.True(contacted[addressOf(n)] >= 2 && contacted[addressOf(n)] <= 4)
	}
	i.Equal(len(New(a, 1).NextRound()), 0)
}

// network simulates the exchanges between dispatchers.
type network struct {
	nodes    map[string]*Gossip
	versions map[string]int
	// versionsBefore holds the versions at the beginning of the round.
	versionsBefore map[string]int
	messages       map[string]int
	// sentAddresses counts the addresses sent in all exchanges.
	sentAddresses int
}

func newNetwork(count int) *network {
	n := &network{nodes: map[string]*Gossip{}, versions: map[string]int{}, messages: map[string]int{}}
	for k := range count {
		n.nodes[addressOf(k)] = New(addressOf(k), uint64(k))
	}
	return n
}

func (n *network) exchange(from, to string, now time.Time) {
	f, g := n.nodes[from], n.nodes[to]
	for range 2 {
		n.messages[from]++
		n.messages[to]++
		g.Learn([]string{from}, now)
		if f.Digest() != g.Digest() {
			n.sentAddresses += len(g.Addresses())
			f.Learn(g.Addresses(), now)
		}
		n.versions[from] = max(n.versions[from], n.versionsBefore[to])
		n.versions[to] = max(n.versions[to], n.versionsBefore[from])
		if f.Digest() == g.Digest() {
			return
		}
		n.sentAddresses += len(f.Addresses())
		g.Learn(f.Addresses(), now)
	}
}

func (n *network) round(now time.Time) {
	n.versionsBefore = maps.Clone(n.versions)
	for from, g := range n.nodes {
		for _, to := range g.NextRound() {
			n.exchange(from, to, now)
		}
	}
}

func (n *network) complete() bool {
	for _, g := range n.nodes {
		if len(g.Addresses()) != len(n.nodes) {
			return false
		}
	}
	return true
}

// Dispatchers that start with three seed addresses know each other after a few rounds, and
// a new version after a few more. The messages per dispatcher and round must not grow with
// the number of dispatchers.
func TestUpdatesSpreadAtConstantCost(t *testing.T) {
	for _, count := range []int{3, 11, 55, 500} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			i := is.New(t)
			n := newNetwork(count)
			for k := range count {
				n.nodes[addressOf(k)].Learn([]string{addressOf(0), addressOf(1), addressOf(2)}, start)
			}
			rounds := 0
			for !n.complete() && rounds < 20 {
				n.round(start)
				rounds++
			}
			t.Logf("all dispatchers know all addresses after %d rounds", rounds)
			i.True(rounds <= 6)
			clear(n.messages)
			n.sentAddresses = 0
			n.versions[addressOf(0)] = 2
			spread := 0
			for known := 0; known < count && spread < 20; spread++ {
				n.round(start)
				known = 0
				for k := range count {
					known += n.versions[addressOf(k)] / 2
				}
			}
			t.Logf("all dispatchers have the version after %d rounds", spread)
			i.True(spread <= 6)
			// Lists are not sent between dispatchers with equal digests.
			i.Equal(n.sentAddresses, 0)
			total := 0
			for _, m := range n.messages {
				total += m
			}
			i.Equal(total, 2*min(fanout, count-1)*count*spread)
		})
	}
}
