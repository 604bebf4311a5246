package directory

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func addresses(count int) []string {
	var list []string
	for n := range count {
		list = append(list, fmt.Sprintf("10.0.%d.%d:7000", n/200, 1+n%200))
	}
	return list
}

func job(n int) string { return fmt.Sprintf("%016x", n*0x9e3779b1) }

// Each job has the same registrars everywhere, and each dispatcher is asked for its share of them.
func TestRegistrarsAreSharedOut(t *testing.T) {
	for _, count := range []int{13, 55} {
		i := is.New(t)
		list := addresses(count)
		d, other := New(), New()
		reversed := slices.Clone(list)
		slices.Reverse(reversed)
		asked := map[string]int{}
		const jobs = 20000
		for n := range jobs {
			c := d.Choose(job(n), list, start)
			i.Equal(c.Asked, other.Choose(job(n), reversed, start).Asked)
			i.Equal(len(c.Asked), maxChosen)
			i.Equal(len(c.Registrars()), Copies)
			i.Equal(len(c.Missed), 0)
			asked[c.Asked[0]]++
		}
		for _, a := range list {
			share := float64(asked[a]*count) / jobs
			if share < 0.7 || share > 1.3 {
				t.Errorf("%d dispatchers: %s is asked for %.2f of its share", count, a, share)
			}
		}
	}
}

// A dispatcher knows one address less than another: whom it asks is told by the other one.
func TestViewsThatDifferByOneShareARegistrar(t *testing.T) {
	i := is.New(t)
	list := addresses(13)
	d := New()
	for n := range 5000 {
		here := d.Choose(job(n), list, start)
		there := d.Choose(job(n), list[1:], start)
		i.True(slices.Contains(here.Registrars(), there.Asked[0]))
	}
}

func TestSilentRegistrarIsPassedOverForAWhile(t *testing.T) {
	i := is.New(t)
	list := addresses(5)
	d := New()
	before := d.Choose(job(1), list, start)
	d.Silent(before.Asked[0], start)
	c := d.Choose(job(1), list, start.Add(SilenceTTL-1))
	i.Equal(c.Asked[:2], before.Asked[1:])
	i.Equal(c.Missed, before.Asked[:1])
	i.Equal(d.Choose(job(1), list, start.Add(SilenceTTL)).Asked, before.Asked)
	d.Silent(before.Asked[0], start)
	d.Answered(before.Asked[0])
	i.Equal(d.Choose(job(1), list, start).Asked, before.Asked)
}

func TestDispatcherThatTakesNoPartIsAskedAgainLater(t *testing.T) {
	i := is.New(t)
	list := addresses(2)
	d := New()
	d.Lacking(list[0], start)
	i.Equal(d.Choose(job(1), list, start.Add(lackTTL-1)).Asked, list[1:])
	i.Equal(len(d.Choose(job(1), list, start.Add(lackTTL)).Asked), 2)
}

func TestUnknownAddressesAreForgotten(t *testing.T) {
	i := is.New(t)
	d := New()
	d.Silent("gone:1", start)
	d.Silent("there:1", start)
	d.Known([]string{"there:1"})
	i.Equal(len(d.passedOver), 1)
}

func TestAloneThereIsNobodyElseToAsk(t *testing.T) {
	i := is.New(t)
	i.Equal(New().Choose(job(1), []string{"self:1"}, start).Asked, []string{"self:1"})
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 13, 55} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := addresses(count)
			d := New()
			for b.Loop() {
				d.Choose("00112233aabbccdd", list, start)
			}
		})
	}
}
