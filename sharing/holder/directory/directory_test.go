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

// site returns the directory of a dispatcher, the first of a site of many in some zones.
func site(count, zones int) (*Directory, []string) {
	list := addresses(count)
	d := New(list[0], "z0")
	for n, a := range list {
		d.Join(a, fmt.Sprint("z", n%zones))
	}
	return d, list
}

// Each job has the same registrars everywhere, one in each zone, and each dispatcher is asked for its
// share of the jobs. Their number does not grow with that of the dispatchers.
func TestRegistrarsAreSharedOut(t *testing.T) {
	for _, count := range []int{13, 55} {
		i := is.New(t)
		const zones = 3
		d, list := site(count, zones)
		other := New(list[1], "z1")
		for n, a := range list {
			other.Join(a, fmt.Sprint("z", n%zones))
		}
		asked := map[string]int{}
		const jobs = 20000
		for n := range jobs {
			c, there := d.Choose(job(n), start), other.Choose(job(n), start)
			i.Equal(len(c.Registrars), zones)
			i.Equal(len(c.Missed), 0)
			i.Equal(slices.Sorted(slices.Values(c.Registrars)), slices.Sorted(slices.Values(there.Registrars)))
			i.Equal(slices.Index(list, c.Asked[0])%zones, 0)
			i.Equal(slices.Index(list, there.Asked[0])%zones, 1)
			asked[c.Asked[0]]++
		}
		inZone := (count + zones - 1) / zones
		for a, n := range asked {
			share := float64(n*inZone) / jobs
			if share < 0.8 || share > 1.2 {
				t.Errorf("%d dispatchers: %s is asked for %.2f of its share", count, a, share)
			}
		}
		i.Equal(len(asked), inZone)
	}
}

// Dispatchers of different zones ask one registrar in common for a request that may be old.
func TestOneRegistrarIsCommon(t *testing.T) {
	i := is.New(t)
	const zones = 4
	d, list := site(9, zones)
	other := New(list[2], "z2")
	for n, a := range list {
		other.Join(a, fmt.Sprint("z", n%zones))
	}
	for n := range 500 {
		here, there := d.Choose(job(n), start), other.Choose(job(n), start)
		i.Equal(here.Asked[here.Common-1], there.Asked[there.Common-1])
	}
}

// A site of one zone has two registrars for each job.
func TestSiteOfOneZoneHasTwoRegistrars(t *testing.T) {
	i := is.New(t)
	d, list := site(5, 1)
	other := New(list[4], "z0")
	for _, a := range list {
		other.Join(a, "z0")
	}
	for n := range 100 {
		i.Equal(len(d.Choose(job(n), start).Registrars), minRegistrars)
		i.Equal(d.Choose(job(n), start), other.Choose(job(n), start))
	}
}

func TestManyZonesAreBounded(t *testing.T) {
	i := is.New(t)
	d, list := site(55, 20)
	c := d.Choose(job(1), start)
	i.Equal(len(c.Registrars), maxRegistrars)
	i.Equal(len(c.Asked), maxAsked)
	i.Equal(slices.Index(list, c.Asked[0])%20, 0)
}

// The set of dispatchers changes: jobs keep their registrars, but for those that the new one takes.
func TestChangedSetKeepsMostRegistrars(t *testing.T) {
	i := is.New(t)
	d, _ := site(12, 3)
	var before [1000][]string
	for n := range before {
		before[n] = d.Choose(job(n), start).Registrars
	}
	d.Join("10.1.0.1:7000", "z1")
	for n := range before {
		for _, r := range d.Choose(job(n), start).Registrars {
			i.True(r == "10.1.0.1:7000" || slices.Contains(before[n], r))
		}
	}
}

func TestSilentRegistrarIsPassedOverForAWhile(t *testing.T) {
	i := is.New(t)
	d, _ := site(6, 2)
	before := d.Choose(job(1), start)
	d.Silent(before.Asked[0], start)
	c := d.Choose(job(1), start.Add(SilenceTTL-1))
	i.True(!slices.Contains(c.Registrars, before.Asked[0]))
	i.Equal(len(c.Registrars), 2)
	i.Equal(c.Missed, before.Asked[:1])
	i.Equal(d.Choose(job(1), start.Add(SilenceTTL)), before)
	d.Silent(before.Asked[0], start)
	d.Answered(before.Asked[0])
	i.Equal(d.Choose(job(1), start), before)
}

// The last dispatcher of a zone is silent: the zone has no registrar meanwhile.
func TestSilentZoneIsMissed(t *testing.T) {
	i := is.New(t)
	d, list := site(3, 3)
	d.Silent(list[2], start)
	c := d.Choose(job(1), start)
	i.Equal(len(c.Registrars), 2)
	i.Equal(c.Missed, list[2:])
}

func TestDispatchersWithoutAZoneAreLookedFor(t *testing.T) {
	i := is.New(t)
	list := addresses(4)
	d := New(list[0], "z0")
	d.Join(list[1], "z1")
	d.Join("left:1", "z1")
	d.Silent("gone:1", start)
	d.Lacking(list[2], start)
	i.Equal(d.Unknown(list, start), list[3:])
	i.Equal(d.Unknown(list, start.Add(lackTTL)), list[2:])
	i.Equal(len(d.members), 2)
	i.Equal(len(d.passedOver), 1)
}

func TestAloneThereIsNobodyElseToAsk(t *testing.T) {
	i := is.New(t)
	i.Equal(New("self:1", "z0").Choose(job(1), start).Asked, []string{"self:1"})
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{3, 13, 55} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d, _ := site(count, 3)
			for b.Loop() {
				d.Choose("00112233aabbccdd", start)
			}
		})
	}
}

// Both registrars of a job in a site of one zone may be out of reach here, and answer others.
func TestPassedOverRegistrarsOfOneZoneAreMissed(t *testing.T) {
	i := is.New(t)
	d, _ := site(6, 1)
	for n := range 200 {
		before := d.Choose(job(n), start).Registrars
		d.Silent(before[1], start)
		i.Equal(d.Choose(job(n), start).Missed, before[1:])
		d.Silent(before[0], start)
		i.Equal(d.Choose(job(n), start).Missed, before)
		i.True(d.IsRegistrar(job(n), before[0], start))
		i.True(d.IsRegistrar(job(n), before[1], start))
		d.Answered(before[0])
		d.Answered(before[1])
	}
}
