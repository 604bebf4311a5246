package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"github.com/corianderhook/corianderhook/connection/guard"
	"github.com/corianderhook/corianderhook/process/audit"
	"github.com/corianderhook/corianderhook/process/owner"
	"github.com/corianderhook/corianderhook/version/access"
	"github.com/corianderhook/corianderhook/version/slot"
)

const (
	adminHeaderTimeout = 5 * time.Second
	// adminIdleTimeout applies to an unused connection, adminHeaderBytes to the headers.
	adminIdleTimeout = 2 * time.Minute
	adminHeaderBytes = 16 << 10
	// statusTimeout bounds how long a status request waits for the owner actor.
	statusTimeout = 2 * time.Second
	// auditTimeout bounds how long an operator's request, or a planned stop, waits for the
	// audit trail. A change of state must be possible while the log is down.
	auditTimeout = 2 * time.Second
)

// Status is the state of an entry as its administration interface shows it.
type Status struct {
	Entry    string   `json:"entry"`
	Zone     string   `json:"zone"`
	Cell     string   `json:"cell"`
	Draining bool     `json:"draining"`
	Ready    bool     `json:"ready"`
	Entries  []string `json:"entries"`
	Agents   []string `json:"agents"`
	// Ejected lists the agents that get no tasks: unhealthy ones and those ejected by an
	// operator.
	Ejected []string `json:"ejected,omitempty"`
	// Zones lists the availability zones of the attached agents.
	Zones []string `json:"zones,omitempty"`
	// Evacuations lists the evacuated zones.
	Evacuations []Evacuation   `json:"evacuations,omitempty"`
	Slots       map[string]int `json:"slots"`
	Jobs        int            `json:"jobs"`
	Keys        int            `json:"keys"`
	Waiting     map[string]int `json:"waiting"`
	LogNext     uint64         `json:"log_next"`
	// Config is the number of published configuration changes in force.
	Config uint64 `json:"config"`
}

// Evacuation describes an evacuated availability zone.
type Evacuation struct {
	Zone   string    `json:"zone"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
	// Running is the number of tasks of this entry that run in the zone.
	Running int `json:"running"`
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", e.guard.RequireRole(access.Read, e.metrics.Handler().ServeHTTP))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.readyz)
	mux.HandleFunc("GET /v1/status", e.guard.RequireRole(access.Read, e.status))
	mux.HandleFunc("GET /v1/config", e.guard.RequireRole(access.Read, e.showConfig))
	mux.HandleFunc("POST /v1/config", e.guard.RequireRole(access.Configure, e.publish))
	mux.HandleFunc("POST /v1/drain", e.guard.RequireRole(access.Operate, e.requestDrain))
	return mux
}

// DrainAnswer is the answer to an operator's request to drain.
type DrainAnswer struct {
	// AuditError says why the audit trail may lack the request; it is empty if the record is
	// in the log.
	AuditError string `json:"audit_error,omitempty"`
}

// requestDrain records the request and begins the planned stop.
func (e *Entry) requestDrain(w http.ResponseWriter, r *http.Request) {
	e.auditTrail.Add(audit.Record{
		Who: guard.Operator(r.Context()), From: r.RemoteAddr, What: "drain-request", Subject: e.self.Instance, Outcome: "done",
	})
	auditError := e.flushAudit(r.Context())
	writeJSON(w, http.StatusAccepted, DrainAnswer{AuditError: auditError})
	// An idle entry stops within milliseconds and closes this connection. If the flush fails,
	// the operator has gone.
	_ = http.NewResponseController(w).Flush()
	e.stopper.RequestStop()
}

// flushAudit waits up to auditTimeout until the audit records are in the log. It returns
// why they are not, or an empty text.
func (e *Entry) flushAudit(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	if err := e.auditTrail.Flush(ctx); err != nil {
		klog.ErrorS(err, "CH0403 audit record not in the log yet", "entry", e.self.Instance)
		return err.Error()
	}
	return ""
}

func (e *Entry) readyz(w http.ResponseWriter, r *http.Request) {
	s, err := e.Status(r.Context())
	if err != nil || !s.Ready {
		http.Error(w, "not ready: no slot has an owner, no agent is attached, or the entry is draining", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) status(w http.ResponseWriter, r *http.Request) {
	s, err := e.Status(r.Context())
	if err != nil {
		http.Error(w, "the owner did not answer: "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// Status returns the state of the entry.
func (e *Entry) Status(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	s := Status{
		Entry:    e.self.Instance,
		Zone:     e.self.Zone,
		Cell:     e.self.Cell,
		Draining: e.draining.Load(),
		Slots:    map[string]int{},
		Waiting:  map[string]int{},
	}
	err := e.runOnOwner(ctx, func(o *owner.Owner) { e.fillStatus(o, &s) })
	table := e.table.Load()
	s.LogNext = table.Next
	s.Config = e.published.Load().Version
	owned := 0
	for _, sl := range table.Slots {
		if sl.Epoch > 0 {
			owned++
		}
	}
	for name := range table.Entries {
		s.Entries = append(s.Entries, name)
	}
	sort.Strings(s.Entries)
	s.Ready = !s.Draining && owned == len(table.Slots) && len(s.Agents) > 0 && s.Slots[slot.Recovering.String()] == 0
	return s, err
}

func (e *Entry) fillStatus(o *owner.Owner, s *Status) {
	s.Agents = o.Dispatch().Agents()
	sort.Strings(s.Agents)
	s.Ejected = o.Dispatch().Ejected()
	sort.Strings(s.Ejected)
	running := o.Dispatch().RunningByZone()
	s.Zones = slices.Sorted(maps.Keys(running))
	evacuations := e.config.Load().Evacuations()
	for _, zone := range slices.Sorted(maps.Keys(evacuations)) {
		s.Evacuations = append(s.Evacuations, Evacuation{
			Zone: zone, Reason: evacuations[zone].Reason, Since: evacuations[zone].Since, Running: running[zone],
		})
	}
	for _, sl := range o.Slots() {
		s.Slots[sl.Phase().String()]++
		s.Jobs += sl.Running()
		s.Keys += sl.Keys()
	}
	for _, kind := range e.config.Load().KindNames() {
		s.Waiting[kind] = o.Dispatch().Waiting(kind)
	}
}
