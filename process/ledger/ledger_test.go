package ledger_test

import (
	"testing"

	"github.com/corianderhook/corianderhook/common/rapidmain"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/corianderhook/corianderhook/process/ledger"
	"github.com/corianderhook/corianderhook/request/size"
)

// TestMain fixes the seed and the number of runs unless the command line does.
func TestMain(m *testing.M) { rapidmain.Main(m, 100) }

func TestTakenRoomStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := ledger.New()
		capacity := size.Size{CPU: rapid.IntRange(0, 50).Draw(r, "cpu"), Memory: 100}
		l.Resize(capacity)
		held := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "name")
			cpu := rapid.IntRange(0, 30).Draw(r, "size")
			if rapid.Bool().Draw(r, "take") {
				if l.Reserve(name, size.Size{CPU: cpu, Memory: 1}) {
					if _, twice := held[name]; twice {
						r.Fatalf("%s has two reservations", name)
					}
					held[name] = cpu
				}
			} else {
				l.Release(name)
				delete(held, name)
			}
			used := 0
			for _, c := range held {
				used += c
			}
			if used > capacity.CPU || l.Free().CPU != capacity.CPU-used {
				r.Fatalf("%d of %d used, %d free", used, capacity.CPU, l.Free().CPU)
			}
		}
	})
}

func TestCapacityBelowReservationsBlocksReserve(t *testing.T) {
	i := is.New(t)
	l := ledger.New()
	l.Resize(size.Size{CPU: 10})
	i.True(l.Reserve("a", size.Size{CPU: 8}))
	l.Resize(size.Size{CPU: 5})
	i.Equal(l.Free().CPU, -3)
	i.True(!l.Reserve("b", size.Size{}))
	l.Clear()
	i.Equal(l.Free().CPU, 5)
}
