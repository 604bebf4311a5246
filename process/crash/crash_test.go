package crash

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func runOf(job string, age time.Duration) Run {
	return Run{Task: Task{Job: job}, Queue: "queue-" + job, Age: age}
}

func record(agent string, born int64, runs ...Run) Record {
	return Record{ID: ID{Agent: agent, BornMS: born}, At: start, Runs: runs}
}

// A task that crashes its endpoints at their start is told from those that ran beside it, after
// two crashes. Its neighbours are not, even if one is lost with it twice.
func TestHarmfulTaskIsToldFromItsNeighbours(t *testing.T) {
	i := is.New(t)
	l := NewLog()
	l.Add(record("a", 1, runOf("deadly", 20*time.Millisecond), runOf("x", 48*time.Millisecond), runOf("y", 958*time.Millisecond)), start)
	i.True(!l.Harmful(Task{Job: "deadly"})) // one crash proves nothing
	l.Add(record("b", 1, runOf("deadly", 0), runOf("y", 0), runOf("z", 60*time.Millisecond)), start)
	i.True(l.Harmful(Task{Job: "deadly"}))
	i.True(!l.Harmful(Task{Job: "y"}))
	i.Equal(l.Crashes(Task{Job: "y"}), 2)
}

// A task that crashes its endpoints late has little blame each time; the number of crashes
// alone ends it.
func TestLateCrashesEndATask(t *testing.T) {
	i := is.New(t)
	l := NewLog()
	for n := range maxCrashes {
		i.True(!l.Harmful(Task{Job: "late"}))
		l.Add(record("a", int64(n), runOf("late", 800*time.Millisecond), runOf(fmt.Sprint("young", n), 10*time.Millisecond)), start)
	}
	i.True(l.Harmful(Task{Job: "late"}))
	i.True(!l.Harmful(Task{Job: "young0"}))
}

func TestInferredCrashCountsButBlamesNoQueue(t *testing.T) {
	i := is.New(t)
	r := record("a", 1, runOf("x", 0))
	r.Inferred = true
	queue, _ := r.PrimeSuspect()
	i.Equal(queue, "")
	l := NewLog()
	i.True(l.Add(r, start))
	i.Equal(l.Crashes(Task{Job: "x"}), 1)
}

func TestRecordsExpire(t *testing.T) {
	i := is.New(t)
	l := NewLog()
	l.Add(record("a", 1, runOf("x", 0)), start)
	later := record("b", 1, runOf("y", 0))
	later.At = start.Add(Retention + time.Second)
	l.Add(later, later.At)
	i.Equal(l.Crashes(Task{Job: "x"}), 0)
	i.Equal(len(l.Recent(Retention, later.At)), 1)
	i.True(!l.Add(record("a", 1, runOf("x", 0)), later.At)) // too old to be taken again
	for n := range 2 * maxRecords {
		r := record("c", int64(n), runOf("z", 0))
		r.At = later.At
		l.Add(r, later.At)
	}
	i.True(len(l.Recent(Retention, later.At)) <= maxRecords)
}

// Records reach processes in any order, twice, and in parts that several dispatchers inferred.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 12).Draw(t, "records") {
			r := record(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "agent"), int64(rapid.IntRange(1, 3).Draw(t, "born")))
			r.Inferred = true
			for _, job := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"x", "y", "z"}), 1, 3, rapid.ID[string]).Draw(t, "jobs") {
				r.Runs = append(r.Runs, runOf(job, 0))
			}
			records = append(records, r)
		}
		one, other := NewLog(), NewLog()
		for _, r := range records {
			one.Add(r, start)
		}
		for _, r := range rapid.Permutation(append(records, records...)).Draw(t, "order") {
			other.Add(r, start)
		}
		for _, job := range []string{"x", "y", "z"} {
			task := Task{Job: job}
			if one.Crashes(task) != other.Crashes(task) || one.Harmful(task) != other.Harmful(task) {
				t.Fatalf("job %s: %d and %d crashes", job, one.Crashes(task), other.Crashes(task))
			}
		}
	})
}

func TestMessageKeepsARecord(t *testing.T) {
	i := is.New(t)
	r := record("a", 7, Run{Task: Task{Job: "x", Step: 1, Index: 2}, Queue: "q", Age: 30 * time.Millisecond})
	got := FromWire(r.Wire(start.Add(time.Second)), start.Add(2*time.Second))
	i.Equal(got.At, start.Add(time.Second))
	got.At = r.At
	i.Equal(got, r)
}
