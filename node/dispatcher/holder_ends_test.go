package dispatcher

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderhook/corianderhook/request/outcome"
	"github.com/corianderhook/corianderhook/sharing/holder/claim"
	"github.com/corianderhook/corianderhook/sharing/holder/directory"
	"github.com/corianderhook/corianderhook/sharing/holder/register"
	"github.com/corianderhook/corianderhook/wire"
)

// restart ends a dispatcher and starts one that knows nothing at its address.
func (s *holdingSite) restart(n int) *Dispatcher {
	s.t.Helper()
	address := s.list[n].deps.Address
	s.stops[address]()
	l, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.add("restarted", l, 0)
}

// Guards against a job that runs after its cancellation was acknowledged: a copy of its request arrives
// elsewhere before the registrars have heard of the end.
func TestJobCanceledWhileItWaitsIsGrantedNowhere(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	job := s.jobOf(s.list[0].deps.Address, s.list[1].deps.Address)
	answered := submitParked(t, s.list[2], job)
	awaitJob(t, s.list[2])
	time.Sleep(notesArrive)
	i.True(s.list[2].Cancel(t.Context(), job))
	i.True(s.takeAt(s.list[3], job) != claim.Granted)
	i.Equal((<-answered).Reason(), "canceled")
	i.True(s.takeAt(s.list[3], job) != claim.Granted)
	// The rounds tell it to all, also to those that find no registrar.
	for until := time.Now().Add(5 * time.Second); s.list[3].cancellations.Find(job, time.Now()) == nil; time.Sleep(5 * time.Millisecond) {
		i.True(time.Now().Before(until))
	}
}

func TestRestartedRegistrarIsToldOfACanceledJob(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	job := s.jobOf(s.list[0].deps.Address, s.list[1].deps.Address)
	answered := submitParked(t, s.list[2], job)
	awaitJob(t, s.list[2])
	i.True(s.list[2].Cancel(t.Context(), job))
	<-answered
	time.Sleep(noteTTL + notesArrive)
	d := s.restart(0)
	time.Sleep(2 * directory.SilenceTTL)
	i.Equal(d.holders.register.EndOf(job, time.Now()), register.Canceled)
}

// A registrar was out of reach of the holder when the job was taken, and hears of the end from another one.
func TestRegistrarBehindACutIsToldOfTheEnd(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 3)
	cut := s.list[2]
	registrar := s.list[0].deps.Address
	completed, refused := s.jobOf(registrar, s.list[1].deps.Address), s.jobOf(registrar, cut.deps.Address)
	cut.holders.directory.Silent(registrar, time.Now())
	s.hold(cut, completed)
	s.hold(cut, refused)
	time.Sleep(notesArrive)
	cut.holders.leave(completed, outcome.Complete)
	cut.holders.leave(refused, outcome.NotRun)
	i.Equal(cut.holders.register.EndOf(completed, time.Now()), register.Completed)
	time.Sleep(2 * notesArrive)
	i.Equal(s.list[0].holders.register.EndOf(completed, time.Now()), register.Completed)
	state, _ := s.list[0].holders.register.Claim(refused, "other:1", holdBudget, time.Now())
	i.Equal(state, register.Free)
}

// failingRegistrar ends each stream with an error, as a connection does that is closed because its
// other end is silent.
type failingRegistrar struct {
	wire.UnimplementedDispatcherServer
}

func (failingRegistrar) Holders(grpc.BidiStreamingServer[wire.HolderFrame, wire.HolderReply]) error {
	return status.Error(codes.Unavailable, "closed")
}

// A process that listens may know a holder though its stream has failed.
func TestOnlyARegistrarThatRefusesConnectionsIsGone(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 1)
	failing, dead := listen(t), listen(t)
	serve(t, failing, failingRegistrar{})
	dead.Close()
	for address, gone := range map[string]bool{failing.Addr().String(): false, dead.Addr().String(): true} {
		answers := make(chan registrarAnswer, 1)
		s.list[0].holders.link(address).claim(pendingClaim{job: canceledJob, hold: holdBudget, answers: answers})
		a := <-answers
		i.True(a.failed)
		i.Equal(a.gone, gone)
	}
}

// The second registrar of a job restarts.
func TestRestartedSecondRegistrarIsTold(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	holder := s.list[2]
	job := s.jobOf(s.list[1].deps.Address, s.list[0].deps.Address)
	s.hold(holder, job)
	time.Sleep(noteTTL + notesArrive)
	d := s.restart(0)
	time.Sleep(2 * directory.SilenceTTL)
	_, holders := d.holders.register.Claim(job, "other:1", holdBudget, time.Now())
	i.Equal(holders, []string{holder.deps.Address})
}

// Builds run side by side in an upgrade: a job that one of the older build has is found by inquiries only,
// also if it took part before.
func TestRegistrarsAreNotReliedOnWhileADispatcherTakesNoPart(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 2)
	i.True(s.list[0].AsksRegistrars())
	s.list[0].holders.directory.Lacking(s.list[1].deps.Address, time.Now())
	i.True(!s.list[0].AsksRegistrars())

	l := listen(t)
	serve(t, l, earlierBuild{})
	s.list[1].Learn([]string{l.Addr().String()})
	awaitPeers(t, s.list[1], 3)
	time.Sleep(2 * lookInterval)
	i.True(!s.list[1].AsksRegistrars())
}

// A note is made while its link ends, or while its stream is stuck.
func TestNotesAreKeptForTheNextLink(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 2)
	holder, registrar := s.list[0], s.list[1]
	closed := newHolderLink(holder, registrar.deps.Address)
	closed.close(time.Now(), false)
	closed.note(&wire.HolderNote{Job: canceledJob, State: register.Canceled.Wire()})
	for until := time.Now().Add(5 * time.Second); registrar.holders.register.EndOf(canceledJob, time.Now()) == register.Free; time.Sleep(5 * time.Millisecond) {
		i.True(time.Now().Before(until))
	}

	stuck := newHolderLink(holder, registrar.deps.Address)
	for range maxQueuedNotes {
		stuck.note(&wire.HolderNote{Job: canceledJob, State: register.Held.Wire()})
	}
	stuck.note(&wire.HolderNote{Job: canceledJob, State: register.Completed.Wire()})
	lost, excess := stuck.close(time.Now(), false)
	i.Equal(excess, 1)
	i.True(slices.ContainsFunc(lost, func(n queuedNote) bool { return n.note.GetState() == register.Completed.Wire() }))
}

// A second request of a job that has been granted here is refused, as the first one was not known yet.
func TestClaimOfARefusedCopyDoesNotReleaseTheJob(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 2)
	registrar := s.list[0].deps.Address
	job := s.jobOf(registrar, "")
	s.hold(s.list[1], job)
	s.list[1].holders.release(job, []string{registrar})
	time.Sleep(notesArrive)
	state, _ := s.list[0].holders.register.Claim(job, "other:1", holdBudget, time.Now())
	i.Equal(state, register.Held)
}

// A registrar stays dead while there are jobs to tell it of.
func TestDeadRegistrarIsNotReportedWithEachRetry(t *testing.T) {
	i := is.New(t)
	h := startHolding(t, 1).list[0].holders
	now, reports := time.Now(), 0
	for range int(time.Minute / retryTime) {
		now = now.Add(retryTime)
		if h.isReported("a:1", now) {
			reports++
		}
	}
	i.Equal(reports, int(time.Minute/reportInterval))
}

// Guards against a copy that is refused taking away the hold of an earlier request, whose runs may not
// have ended.
func TestRefusedCopyReleasesNoEarlierRequest(t *testing.T) {
	i := is.New(t)
	s := startHolding(t, 4)
	d := s.list[2]
	job := s.jobOf(s.list[0].deps.Address, s.list[1].deps.Address)
	i.Equal(s.takeAt(d, job), claim.Granted)
	i.True(d.inquiries.Submit(job, time.Now()))
	d.inquiries.End(job, outcome.Unknown, time.Now())
	d.holders.leave(job, outcome.Unknown)
	i.Equal(s.takeAt(d, job), claim.Granted)
	d.holders.leave(job, outcome.NotRun)
	time.Sleep(notesArrive)
	i.True(s.takeAt(s.list[3], job) != claim.Granted)
}
