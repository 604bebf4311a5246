// Package submission parses and validates the job in a caller's request.
package submission

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/common/segment"
)

const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 350
	// MaxBodyBytes is the largest request body.
	MaxBodyBytes = 8 << 20
	// MaxKeyBytes is the largest length of an Idempotency-Key or a team name.
	MaxKeyBytes = 200
	// MaxDeadline is the longest deadline that a caller may set for a job.
	MaxDeadline = 10 * time.Minute
)

// ErrTooLarge means that a body is larger than MaxBodyBytes.
var ErrTooLarge = fmt.Errorf("body is larger than %d bytes", MaxBodyBytes)

// Submission is a validated job as a caller sent it. It is immutable.
type Submission struct {
	team     string
	key      string
	kind     string
	deadline time.Duration
	payloads [][]byte
	digest   uint64
}

type document struct {
	Kind       string `json:"kind"`
	DeadlineMS *int64 `json:"deadline_ms"`
	Tasks      []task `json:"tasks"`
}

type task struct {
	Payload json.RawMessage `json:"payload"`
}

// Read decodes and validates a job of at most MaxBodyBytes. A submission without
// a deadline has the deadline zero; the deadline of its kind then applies.
func Read(body io.Reader, team, key string) (*Submission, error) {
	if err := CheckNames(team, key); err != nil {
		return nil, err
	}
	raw, err := segment.ReadAll(io.LimitReader(body, MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "body was cut off")
	}
	if len(raw) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	doc, err := decode(raw)
	if err != nil {
		return nil, err
	}
	return build(doc, team, key)
}

func decode(raw []byte) (*document, error) {
	var doc document
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, errors.Wrap(err, "body is not a job")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("body has text after the job")
	}
	return &doc, nil
}

func build(doc *document, team, key string) (*Submission, error) {
	if doc.Kind == "" {
		return nil, errors.New(`field "kind" is missing`)
	}
	if len(doc.Tasks) == 0 || len(doc.Tasks) > MaxTasks {
		return nil, fmt.Errorf(`field "tasks" has %d tasks; a job has 1 to %d`, len(doc.Tasks), MaxTasks)
	}
	s := &Submission{team: team, key: key, kind: doc.Kind}
	if doc.DeadlineMS != nil {
		ms := *doc.DeadlineMS
		if ms <= 0 || ms > MaxDeadline.Milliseconds() {
			return nil, fmt.Errorf(`field "deadline_ms" is %d; it must be 1 to %d`, ms, MaxDeadline.Milliseconds())
		}
		s.deadline = time.Duration(ms) * time.Millisecond
	}
	for i := range doc.Tasks {
		if doc.Tasks[i].Payload == nil {
			return nil, fmt.Errorf(`task %d has no field "payload"`, i)
		}
		s.payloads = append(s.payloads, doc.Tasks[i].Payload)
	}
	s.digest = digest(s.kind, s.payloads)
	return s, nil
}

// CheckNames validates the team and the key, which make up the name of a job.
func CheckNames(team, key string) error {
	if err := checkName("Idempotency-Key", key); err != nil {
		return err
	}
	return checkName("Corianderhook-Team", team)
}

// checkName rejects values that cannot be part of a job name. The job name is
// team/key, so a slash in the team would make it ambiguous.
func checkName(header, value string) error {
	if value == "" {
		return fmt.Errorf("header %q is missing", header)
	}
	if len(value) > MaxKeyBytes {
		return fmt.Errorf("header %q is longer than %d bytes", header, MaxKeyBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("header %q has a character outside printable ASCII", header)
	}
	if header == "Corianderhook-Team" && strings.Contains(value, "/") {
		return fmt.Errorf("header %q contains a slash", header)
	}
	return nil
}

// New returns a submission that another entry has already validated and forwarded.
func New(team, key, kind string, deadline time.Duration, payloads [][]byte) *Submission {
	return &Submission{
		team:     team,
		key:      key,
		kind:     kind,
		deadline: deadline,
		payloads: payloads,
		digest:   digest(kind, payloads),
	}
}

// digest hashes kind and payloads to detect different bodies under the same key.
// The length of each payload is hashed too, so that moving bytes from one payload
// to the next changes the digest.
func digest(kind string, payloads [][]byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(kind)
	var size [8]byte
	for _, p := range payloads {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(p)
	}
	return h.Sum64()
}

// Job returns the name of the job: team/key.
func (s *Submission) Job() string { return s.team + "/" + s.key }

// Team returns the team that sent the job.
func (s *Submission) Team() string { return s.team }

// Key returns the caller's Idempotency-Key.
func (s *Submission) Key() string { return s.key }

// Kind returns the kind of work.
func (s *Submission) Kind() string { return s.kind }

// Deadline returns the deadline that the caller set, or zero if it set none.
func (s *Submission) Deadline() time.Duration { return s.deadline }

// Payloads returns the JSON text of each task.
func (s *Submission) Payloads() [][]byte { return s.payloads }

// PayloadBytes returns the size of all payloads.
func (s *Submission) PayloadBytes() (bytes int) {
	for _, p := range s.payloads {
		bytes += len(p)
	}
	return bytes
}

// TaskCount returns the number of tasks.
func (s *Submission) TaskCount() int { return len(s.payloads) }

// Digest returns the hash over kind and payloads.
func (s *Submission) Digest() uint64 { return s.digest }
