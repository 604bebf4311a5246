// Package submission parses and validates the job in a caller's request.
package submission

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/common/excerpt"
	"github.com/corianderhook/corianderhook/common/jsonpart"
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
	// maxScalarBytes is the largest text of a field that is a name or a number, and of the name of a
	// field.
	maxScalarBytes = 1 << 10
	// jobCopies is how often the text of a job is in memory while it is held: as the caller sent it, and
	// twice in messages to agents or to the owner.
	jobCopies = 3
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
	// textBytes is the size of the caller's text, of which the payloads are parts.
	textBytes int
}

// document is the text of a job, taken apart.
type document struct {
	kind       string
	deadlineMS *int64
	payloads   [][]byte
}

// Read decodes and validates a job of at most MaxBodyBytes. A submission without
// a deadline has the deadline zero; the deadline of its kind then applies.
func Read(body io.Reader, team, key string) (*Submission, error) {
	if err := CheckNames(team, key); err != nil {
		return nil, err
	}
	text, err := segment.ReadAll(io.LimitReader(body, MaxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "body was cut off")
	}
	s, err := parse(text.Bytes(), team, key)
	if err != nil {
		text.Release()
		return nil, err
	}
	return s, nil
}

func parse(raw []byte, team, key string) (*Submission, error) {
	if len(raw) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	doc, err := decode(raw)
	if err != nil {
		return nil, err
	}
	return build(doc, team, key, len(raw))
}

// decode takes the text of a job apart. The payloads are parts of the text, which is not copied.
func decode(raw []byte) (*document, error) {
	if err := checkSyntax(raw); err != nil {
		return nil, err
	}
	var doc document
	for name, value := range jsonpart.Part(raw).Members() {
		key, err := fieldName(name)
		if err != nil {
			return nil, err
		}
		switch strings.ToLower(key) {
		case "kind":
			err = decodeValue(value, &doc.kind)
		case "deadline_ms":
			err = decodeValue(value, &doc.deadlineMS)
		case "tasks":
			doc.payloads, err = decodeTasks(value)
		default:
			err = unknownField(key)
		}
		if err != nil {
			return nil, errors.Wrap(err, "body is not a job")
		}
	}
	return &doc, nil
}

func checkSyntax(raw []byte) error {
	var ignored struct{}
	err := json.Unmarshal(raw, &ignored)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && strings.Contains(syntax.Error(), "after top-level value") {
		return errors.New("body has text after the job")
	}
	return errors.Wrap(err, "body is not a job")
}

func unknownField(name string) error {
	return errors.Errorf("json: unknown field %q", excerpt.Of(name))
}

// fieldName returns the name of a field. A long one is not decoded.
func fieldName(name jsonpart.Part) (string, error) {
	if len(name) > maxScalarBytes {
		return "", errors.Wrap(unknownField(string(name[:maxScalarBytes])), "body is not a job")
	}
	var text string
	err := json.Unmarshal(name, &text)
	return text, err
}

// decodeValue decodes a name or a number.
func decodeValue(value jsonpart.Part, into any) error {
	if len(value) > maxScalarBytes {
		return errors.Errorf("a field has %d bytes, the maximum is %d", len(value), maxScalarBytes)
	}
	return json.Unmarshal(value, into)
}

// decodeTasks returns the payloads of a list of tasks, nil for those without one. It returns one more
// than a job may have at most.
func decodeTasks(list jsonpart.Part) (payloads [][]byte, err error) {
	if !list.IsList() && !list.IsNull() {
		return nil, errors.New(`field "tasks" is not a list`)
	}
	for task := range list.Elements() {
		if !task.IsObject() && !task.IsNull() {
			return nil, errors.Errorf("task %d is not an object", len(payloads))
		}
		var payload []byte
		for name, value := range task.Members() {
			key, err := fieldName(name)
			if err != nil {
				return nil, err
			}
			if !strings.EqualFold(key, "payload") {
				return nil, unknownField(key)
			}
			payload = value
		}
		if payloads = append(payloads, payload); len(payloads) > MaxTasks {
			break
		}
	}
	return payloads, nil
}

func build(doc *document, team, key string, size int) (*Submission, error) {
	if doc.kind == "" {
		return nil, errors.New(`field "kind" is missing`)
	}
	if len(doc.payloads) == 0 || len(doc.payloads) > MaxTasks {
		return nil, fmt.Errorf(`field "tasks" has %s; a job has 1 to %d`, countTasks(len(doc.payloads)), MaxTasks)
	}
	s := &Submission{team: team, key: key, kind: doc.kind, payloads: doc.payloads, textBytes: size}
	if doc.deadlineMS != nil {
		ms := *doc.deadlineMS
		if ms <= 0 || ms > MaxDeadline.Milliseconds() {
			return nil, fmt.Errorf(`field "deadline_ms" is %d; it must be 1 to %d`, ms, MaxDeadline.Milliseconds())
		}
		s.deadline = time.Duration(ms) * time.Millisecond
	}
	for i, p := range doc.payloads {
		if p == nil {
			return nil, fmt.Errorf(`task %d has no field "payload"`, i)
		}
	}
	s.digest = digest(s.kind, s.payloads)
	return s, nil
}

// countTasks tells the number of tasks, of which no more than one too many are counted.
func countTasks(count int) string {
	if count > MaxTasks {
		return fmt.Sprintf("%d tasks or more", count)
	}
	return fmt.Sprintf("%d tasks", count)
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

// HeldBytes returns how much memory the job takes until its answer.
func (s *Submission) HeldBytes() int64 { return int64(s.textBytes) * jobCopies }

// TaskCount returns the number of tasks.
func (s *Submission) TaskCount() int { return len(s.payloads) }

// Digest returns the hash over kind and payloads.
func (s *Submission) Digest() uint64 { return s.digest }
