package gossip

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func nth(n int) string { return fmt.Sprintf("10.0.%d.%d:1", n/200, n%200) }

// Some processes' addresses.
const a, b, c = "10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"

// An address that is gone for good is forgotten by all, though each hears of it from
// another; one that comes back makes itself known.
func TestExpiredAddressIsNotRelearnedFromPeers(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	g.Learn([]string{b, c, a}, start)
	i.Equal(g.Addresses(), []string{a, b, c})
	_, forgotten := g.Missed(c, start.Add(forgetAfter))
	i.True(!forgotten)
	now := start.Add(forgetAfter + time.Second)
	_, forgotten = g.Missed(c, now)
	i.True(forgotten)
	i.Equal(len(g.Learn([]string{c}, now)), 0)
	g.HeardFrom(c)
	i.Equal(g.Learn([]string{c}, now), []string{c})
	g.Answered(b, now)
	_, forgotten = g.Missed(b, now)
	i.True(!forgotten)
}

// Text that is no address is not passed on, and a flood of addresses is bounded.
func TestLearnRejectsInvalidAndExcessAddresses(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	i.Equal(len(g.Learn([]string{"", "x", "10.1.0.2", "0.0.0.0:1", "\x00\xff"}, start)), 0)
	var flood []string
	for n := range 3 * mostKnown {
		flood = append(flood, fmt.Sprintf("10.%d.%d.%d:1", n>>16, n>>8&255, n&255))
	}
	g.Learn(flood, start)
	i.Equal(len(g.Addresses()), mostKnown+1)
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

// Each address has its turn once in a lap, also where some come and go.
func TestRoundsReachEveryPeer(t *testing.T) {
	i := is.New(t)
	g := New(a, 1)
	for n := range 10 {
		g.Learn([]string{nth(n)}, start)
	}
	asked := map[string]int{}
	for range 10 {
		round := g.NextRound()
		i.Equal(len(round), fanout)
		for _, one := range round {
			asked[one]++
		}
	}
	for n := range 10 {
		i.True(asked[nth(n)] >= 2 && asked[nth(n)] <= 4)
	}
	i.Equal(len(New(a, 1).NextRound()), 0)
}

// network exchanges knowledge between processes as the dispatchers do.
type network struct {
	nodes   map[string]*Gossip
	version map[string]int
	// before are the versions at the beginning of the round.
	before   map[string]int
	messages map[string]int
	listed   int
}

func newNetwork(count int) *network {
	n := &network{nodes: map[string]*Gossip{}, version: map[string]int{}, messages: map[string]int{}}
	for k := range count {
		n.nodes[nth(k)] = New(nth(k), uint64(k))
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
			n.listed += len(g.Addresses())
			f.Learn(g.Addresses(), now)
		}
		n.version[from] = max(n.version[from], n.before[to])
		n.version[to] = max(n.version[to], n.before[from])
		if f.Digest() == g.Digest() {
			return
		}
		n.listed += len(f.Addresses())
		g.Learn(f.Addresses(), now)
	}
}

func (n *network) round(now time.Time) {
	n.before = maps.Clone(n.version)
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

// Processes that know one seed each know all after a few rounds; a change is known
// everywhere after a few more. What one process sends in a round does not grow with
// their number: 55 and 500 dispatchers.
func TestUpdatesSpreadAtConstantCost(t *testing.T) {
	for _, count := range []int{3, 11, 55, 500} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			i := is.New(t)
			n := newNetwork(count)
			for k := range count {
				n.nodes[nth(k)].Learn([]string{nth(0), nth(1), nth(2)}, start)
			}
			rounds := 0
			for !n.complete() && rounds < 20 {
				n.round(start)
				rounds++
			}
			t.Logf("all know all after %d rounds", rounds)
			i.True(rounds <= 6)
			clear(n.messages)
			n.listed = 0
			n.version[nth(0)] = 2
			spread := 0
			for known := 0; known < count && spread < 20; spread++ {
				n.round(start)
				known = 0
				for k := range count {
					known += n.version[nth(k)] / 2
				}
			}
			t.Logf("all know the version after %d rounds", spread)
			i.True(spread <= 6)
			// Equal knowledge is not sent again.
			i.Equal(n.listed, 0)
			sent := 0
			for _, m := range n.messages {
				sent += m
			}
			i.Equal(sent, 2*min(fanout, count-1)*count*spread)
		})
	}
}
