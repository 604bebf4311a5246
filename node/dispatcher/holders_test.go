package dispatcher

import (
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/corianderhook/corianderhook/process/usage"
	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/sharing/holder/claim"
	"github.com/corianderhook/corianderhook/sharing/holder/directory"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
	"github.com/corianderhook/corianderhook/wire"
)

const (
	holdBudget = 20 * time.Second
	// notesArrive is longer than notes take to arrive, also on a busy machine.
	notesArrive = 3 * noteLag
)

// holdingSite is a group of dispatchers that ask registrars.
type holdingSite struct {
	t     testing.TB
	zones []string
	list  []*Dispatcher
	stops map[string]func()
}

func startHolding(t testing.TB, count int, zones ...string) *holdingSite {
	t.Helper()
	s := &holdingSite{t: t, zones: zones, stops: map[string]func(){}}
	for n := range count {
		s.add(fmt.Sprint("d", n), listen(t), time.Hour)
	}
	for _, d := range s.list {
		d.Learn(s.addresses())
	}
	s.awaitDirectories()
	return s
}

// awaitDirectories waits until all dispatchers know one another's zones.
func (s *holdingSite) awaitDirectories() {
	s.t.Helper()
	for _, d := range s.list {
		awaitPeers(s.t, d, len(s.list))
		for until := time.Now().Add(10 * time.Second); len(d.holders.directory.Unknown(d.peers.addresses(), time.Now())) > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				s.t.Fatal("a zone is not known")
			}
		}
	}
}

func (s *holdingSite) addresses() (list []string) {
	for _, d := range s.list {
		list = append(list, d.deps.Address)
	}
	return list
}

// add starts a dispatcher that has been a registrar for a time.
func (s *holdingSite) add(name string, l net.Listener, knows time.Duration) *Dispatcher {
	s.t.Helper()
	deps := dependencies(name, l, s.addresses())
	deps.Sharing.Holders = true
	if len(s.zones) > 0 {
		deps.Zone = s.zones[len(s.list)%len(s.zones)]
	}
	d := New(deps)
	d.holders.register = register.New(time.Now().Add(-knows))
	adopt(s.t, d, 3)
	s.list = append(s.list, d)
	s.stops[deps.Address] = run(s.t, d, l)
	return d
}

// jobOf returns a job with a given first registrar and, unless it is empty, second one.
func (s *holdingSite) jobOf(first, second string) string {
	for n := 0; ; n++ {
		job := fmt.Sprintf("%016x", 0xabc000000+n)
		r := s.list[0].holders.directory.Choose(job, time.Now()).Registrars
		if r[0] == first && (second == "" || len(r) > 1 && r[1] == second) {
			return job
		}
	}
}

// hold has a dispatcher have a request of a job in hand, which it has been granted.
func (s *holdingSite) hold(d *Dispatcher, job string) {
	s.t.Helper()
	s.t.Cleanup(d.NoteArrival(job))
	if v := s.awaitVerdict(d, job); v != claim.Granted {
		s.t.Fatalf("the first request of the job is %s", v)
	}
}

// takeAt asks for a job as a dispatcher that has read a request of it.
func (s *holdingSite) takeAt(d *Dispatcher, job string) claim.Verdict {
	s.t.Helper()
	defer d.NoteArrival(job)()
	return d.holders.take(s.t.Context(), job, holdBudget, true)
}

// Guards against a second run: a cut ends just after the caller has sent its job again, so that both
// requests arrive at the same time, in different zones.
func TestJobThatArrivesInTwoZonesAtOnceIsGrantedOnce(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 5, "z0", "z1", "z2")
	const jobs = 60
	granted := 0
	for n := range jobs {
		job := fmt.Sprintf("%016x", n)
		verdicts := make(chan claim.Verdict, 2)
		for _, d := range s.list[n%3 : n%3+2] {
			defer d.NoteArrival(job)()
			go func() { verdicts <- d.holders.take(t.Context(), job, holdBudget, false) }()
		}
		both := 0
		for range 2 {
			if <-verdicts == claim.Granted {
				both++
			}
		}
		i.True(both <= 1)
		granted += both
	}
	t.Logf("%d of %d jobs were granted", granted, jobs)
	i.True(granted >= jobs/2)
}

// awaitVerdict asks again while an answer is missing, as it may be on a busy machine.
func (s *holdingSite) awaitVerdict(d *Dispatcher, job string) claim.Verdict {
	s.t.Helper()
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if v := s.takeAt(d, job); v != claim.Unsure || time.Now().After(until) {
			return v
		}
	}
}

// Guards against a second run at the same time: callers who have not been noticed to leave send their
// jobs again to other dispatchers, all at once. The messages for each do not grow with the number of dispatchers.
func TestBurstOfResentJobsIsHeldAtConstantCost(t *testing.T) {
	for _, count := range []int{13, 55} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			const jobs = 120
			i := is.New(t)
			s := startHolding(t, count)
			for n := range jobs {
				s.hold(s.list[n%3], fmt.Sprintf("%016x", n))
			}
			// Notes that were lost with their links, as all dispatchers have just started, are told again.
			time.Sleep(directory.SilenceTTL + notesArrive)
			before := sentBy(s.list)
			var held, granted atomic.Int32
			done := make(chan struct{})
			for n := range jobs {
				go func() {
					switch s.awaitVerdict(s.list[3+n%5], fmt.Sprintf("%016x", n)) {
					case claim.Held:
						held.Add(1)
					case claim.Granted:
						granted.Add(1)
					}
					done <- struct{}{}
				}()
			}
			for range jobs {
				<-done
			}
			time.Sleep(notesArrive)
			perJob := float64(sentBy(s.list)-before) / jobs
			t.Logf("%.1f messages for each job that was sent again", perJob)
			i.Equal(granted.Load(), int32(0))
			i.Equal(held.Load(), int32(jobs))
			// A claim, its answer, a question to the holder, its answer, and a note; on a busy machine some twice.
			i.True(perJob <= 8)
		})
	}
}

func sentBy(list []*Dispatcher) uint64 {
	total := uint64(0)
	for _, d := range list {
		total += d.usage.Total(usage.InquirySent)
	}
	return total
}

// The registrar that was asked ends, with all that it knows, and one that knows nothing takes its place.
func TestJobIsHeldAfterItsRegistrarHasRestarted(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	registrar := s.list[0].deps.Address
	job := s.jobOf(registrar, s.list[1].deps.Address)
	s.hold(s.list[2], job)
	time.Sleep(notesArrive)
	s.stops[registrar]()
	i.Equal(s.awaitVerdict(s.list[3], job), claim.Held)

	l, err := net.Listen("tcp", registrar)
	i.NoErr(err)
	s.list = s.list[1:]
	restarted := s.add("d0", l, 0)
	time.Sleep(2 * directory.SilenceTTL)
	// The other registrar would answer for it.
	_, holders := restarted.holders.register.Claim(job, "other:1", holdBudget, time.Now())
	i.True(slices.Contains(holders, s.list[1].deps.Address))
	i.Equal(s.awaitVerdict(s.list[2], job), claim.Held)
}

// Jobs that were never sent before are served while their registrars are dead.
func TestDeadRegistrarsDoNotRefuseNewJobs(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	for n := range 3 {
		s.stops[s.list[n].deps.Address]()
	}
	for n := range 20 {
		i.Equal(s.takeAt(s.list[3], fmt.Sprintf("%016x", n)), claim.Granted)
	}
}

// The dispatcher that had the job ends, and its runs with it.
func TestJobOfADeadDispatcherIsTakenOver(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	job := s.jobOf(s.list[0].deps.Address, s.list[1].deps.Address)
	s.hold(s.list[2], job)
	i.Equal(s.awaitVerdict(s.list[3], job), claim.Held)
	s.stops[s.list[2].deps.Address]()
	i.Equal(s.awaitVerdict(s.list[3], job), claim.Granted)
}

// A dispatcher has been added that the holder did not know, and that is asked first.
func TestJobIsHeldAfterTheDispatchersHaveChanged(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 3)
	l := listen(t)
	job := ""
	for n := 0; job == ""; n++ {
		id := fmt.Sprintf("%016x", n)
		after := directory.New(l.Addr().String(), "")
		for _, a := range s.addresses() {
			after.Join(a, "")
		}
		if after.Choose(id, time.Now()).Asked[0] == l.Addr().String() {
			job = id
		}
	}
	s.hold(s.list[0], job)
	time.Sleep(notesArrive)
	s.add("d3", l, 0)
	s.awaitDirectories()
	i.Equal(s.awaitVerdict(s.list[2], job), claim.Held)
}

// silentRegistrar reads what it is sent, and answers nothing, as a machine does behind a cut.
type silentRegistrar struct {
	wire.UnimplementedDispatcherServer
	frames atomic.Int32
}

func (s *silentRegistrar) Holders(stream grpc.BidiStreamingServer[wire.HolderFrame, wire.HolderReply]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
		s.frames.Add(1)
	}
}

// A registrar is cut off from one dispatcher: new jobs are served there after a bounded wait, and the
// others hear of them from the registrar, to which another one has passed on the note.
func TestRegistrarBehindACutIsToldByAnother(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 3)
	cut := s.list[2]
	registrar := s.list[0].deps.Address
	job := s.jobOf(registrar, s.list[1].deps.Address)
	cut.holders.directory.Silent(registrar, time.Now())
	s.hold(cut, job)
	time.Sleep(2 * notesArrive)
	_, holders := s.list[0].holders.register.Claim(job, "other:1", holdBudget, time.Now())
	i.Equal(holders, []string{cut.deps.Address})
}

func TestSilentRegistrarDelaysOneJob(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 2)
	l, silent := listen(t), &silentRegistrar{}
	serve(t, l, silent)
	s.list[0].Learn([]string{l.Addr().String()})
	time.Sleep(2 * lookInterval)
	s.list[0].holders.directory.Join(l.Addr().String(), "")
	began := time.Now()
	for n := range 40 {
		i.Equal(s.takeAt(s.list[0], fmt.Sprintf("%016x", n)), claim.Granted)
	}
	// One wait, and another one if the machine was busy for as long as the registrar is passed over.
	i.True(time.Since(began) < directory.SilenceTTL)
	i.True(silent.frames.Load() <= 3)
}

// Builds run side by side in an upgrade, and the part may be off at some.
func TestDispatcherWithoutThePartDelaysNothing(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 1)
	l := listen(t)
	serve(t, l, earlierBuild{})
	_, off := startDispatcher(t, "off")
	s.list[0].Learn([]string{l.Addr().String(), off})
	awaitPeers(t, s.list[0], 3)
	for n := range 20 {
		i.Equal(s.takeAt(s.list[0], fmt.Sprintf("%016x", n)), claim.Granted)
	}
}

// countingRegistrar counts streams.
type countingRegistrar struct {
	wire.UnimplementedDispatcherServer
	streams atomic.Int32
}

func (c *countingRegistrar) Holders(grpc.BidiStreamingServer[wire.HolderFrame, wire.HolderReply]) error {
	c.streams.Add(1)
	return nil
}

func TestNothingIsSentWhileThePartIsOff(t *testing.T) {
	i := is.New(t)
	l, counting := listen(t), &countingRegistrar{}
	serve(t, l, counting)
	d, _ := startDispatcher(t, "off", l.Addr().String())
	adopt(t, d, 3)
	awaitPeers(t, d, 2)
	for n := range 10 {
		submitParked(t, d, fmt.Sprintf("%016x", n))
	}
	for d.JobCount() < 10 {
		time.Sleep(time.Millisecond)
	}
	d.Cancel(t.Context(), fmt.Sprintf("%016x", 0))
	time.Sleep(notesArrive)
	i.Equal(counting.streams.Load(), int32(0))
}

// A job is canceled at the dispatcher that has it, and its request arrives again later, when that one is
// gone too.
func TestJobCanceledAtItsHolderIsNotRunAgain(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	job := s.jobOf(s.list[0].deps.Address, s.list[1].deps.Address)
	answered := submitParked(t, s.list[2], job)
	awaitJob(t, s.list[2])
	i.True(s.list[2].Cancel(t.Context(), job))
	i.Equal((<-answered).Reason(), "canceled")
	i.Equal(s.takeAt(s.list[2], job), claim.Canceled)
	time.Sleep(notesArrive)
	i.Equal(s.awaitVerdict(s.list[3], job), claim.Canceled)
	s.stops[s.list[2].deps.Address]()
	s.stops[s.list[0].deps.Address]()
	i.Equal(s.awaitVerdict(s.list[3], job), claim.Canceled)
}

// A job that was refused is free for the dispatcher that its caller tries next, without a question to
// the one that is full.
func TestRefusedJobIsReleased(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 3)
	job := s.jobOf(s.list[0].deps.Address, "")
	i.Equal(s.takeAt(s.list[1], job), claim.Granted)
	s.list[1].holders.leave(job, outcome.NotRun)
	time.Sleep(notesArrive)
	before := s.list[1].usage.Total(usage.InquiryReceived)
	i.Equal(s.awaitVerdict(s.list[2], job), claim.Granted)
	i.Equal(s.list[1].usage.Total(usage.InquiryReceived), before)
}

// A job has been completed, and its request arrives again seconds after the answer.
func TestCompletedJobIsAnsweredOnce(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 3)
	job := s.jobOf(s.list[0].deps.Address, "")
	i.Equal(s.takeAt(s.list[1], job), claim.Granted)
	s.list[1].holders.leave(job, outcome.Complete)
	time.Sleep(notesArrive)
	i.Equal((<-submitParked(t, s.list[2], job)).Outcome(), outcome.Complete)
}
