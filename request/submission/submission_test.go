package submission_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/corianderhook/corianderhook/request/submission"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	s, err := submission.Read(strings.NewReader(`{"kind":"k","deadline_ms":1500,"tasks":[{"payload":{"a":1}},{"payload":2}]}`), "team", "key/1")
	is.NoErr(err)
	is.Equal(s.Job(), "team/key/1")
	is.Equal(s.TaskCount(), 2)
	is.Equal(s.Deadline(), 1500*time.Millisecond)
	is.Equal(string(s.Payloads()[0]), `{"a":1}`)
	forwarded := submission.New("team", "key/1", "k", 0, s.Payloads())
	is.Equal(forwarded.Digest(), s.Digest())
	moved := submission.New("team", "key/1", "k", 0, [][]byte{[]byte(`{"a":1}2`), nil})
	is.True(moved.Digest() != s.Digest())
}

func TestReadRejectsInvalidJobs(t *testing.T) {
	tooMany := `{"kind":"k","tasks":[` + strings.Repeat(`{"payload":1},`, 350) + `{"payload":1}]}`
	for name, c := range map[string]struct{ body, team, key, want string }{
		"no key":        {`{}`, "t", "", `header "Idempotency-Key" is missing`},
		"slash in team": {`{}`, "a/b", "k", `header "Corianderhook-Team" contains a slash`},
		"long key":      {`{}`, "t", strings.Repeat("k", 201), "longer than 200 bytes"},
		"control":       {`{}`, "t", "a\nb", "outside printable ASCII"},
		"empty":         {``, "t", "k", "body is not a job"},
		"cut":           {`{"kind":"k","tasks":[{"payload":1}`, "t", "k", "body is not a job"},
		"wrong type":    {`{"kind":1}`, "t", "k", "body is not a job"},
		"unknown field": {`{"kind":"k","more":1}`, "t", "k", `unknown field "more"`},
		"text after":    {`{"kind":"k","tasks":[{"payload":1}]} x`, "t", "k", "text after the job"},
		"no kind":       {`{"tasks":[{"payload":1}]}`, "t", "k", `field "kind" is missing`},
		"no tasks":      {`{"kind":"k","tasks":[]}`, "t", "k", "has 0 tasks"},
		"too many":      {tooMany, "t", "k", "has 351 tasks"},
		"long kind":     {`{"kind":"` + strings.Repeat("k", 2000) + `"}`, "t", "k", "a field has 2002 bytes"},
		"long field":    {`{"` + strings.Repeat("x", 100_000) + `":1}`, "t", "k", "unknown field"},
		"no payload":    {`{"kind":"k","tasks":[{}]}`, "t", "k", "task 0 has no field"},
		"zero deadline": {`{"kind":"k","deadline_ms":0,"tasks":[{"payload":1}]}`, "t", "k", "it must be 1 to 600000"},
		"oversized":     {`{"kind":"` + strings.Repeat("k", submission.MaxBodyBytes) + `"}`, "t", "k", "larger than"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := submission.Read(strings.NewReader(c.body), c.team, c.key)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the error gives the cause
		})
	}
}

// Odd texts mean the same as to the strict decoder of the standard library.
func TestOddTextsAreReadAsByAStrictDecoder(t *testing.T) {
	for _, text := range []string{
		`{"KIND":"k","Tasks":[{"Payload":1}]}`, `{"kind":"a","kind":"b","tasks":[{"payload":1,"payload":[2, 3]}]}`,
		`{"k\u0069nd":"k","tasks":[{"p\u0061yload":"\"]}"}]}`, `{"kind":"k","tasks":[null]}`, `{"kind":"k","tasks":null}`,
		`{"kind":null,"tasks":[{"payload":null}]}`, `{"kind":"k","tasks":{}}`, `{"kind":"k","tasks":[1]}`, `{"kind":"k","tasks":[{"payload":1}],"deadline_ms":null}`,
		`{"kind":"k","tasks":[{"payload":1}],"deadline_ms":1.5}`, `[]`, `null`, `{"kind":"k","tasks":[{"payload":1,"x":2}]}`, ` {"kind" : "k" , "tasks" : [ { "payload" : { } } ] } `,
	} {
		var want struct {
			Kind       string `json:"kind"`
			DeadlineMS *int64 `json:"deadline_ms"`
			Tasks      []struct {
				Payload json.RawMessage `json:"payload"`
			} `json:"tasks"`
		}
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&want)
		valid := err == nil && want.Kind != "" && len(want.Tasks) > 0 && want.Tasks[0].Payload != nil
		got, err := submission.Read(strings.NewReader(text), "team", "key")
		if (err == nil) != valid {
			t.Errorf("%s: error %v, valid %t", text, err, valid)
			continue
		}
		if valid && (got.Kind() != want.Kind || string(got.Payloads()[0]) != string(want.Tasks[0].Payload)) {
			t.Errorf("%s: kind %q, payload %s", text, got.Kind(), got.Payloads()[0])
		}
	}
}

func TestReadReportsTruncatedBody(t *testing.T) {
	is := is.New(t)
	_, err := submission.Read(iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader(`{"kind":`))), "t", "k")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "body was cut off"))
}

func TestKeyCreatedAt(t *testing.T) {
	is := is.New(t)
	createdAt, ok := submission.KeyCreatedAt("01890a5d-ac96-774b-bcce-b302099a8057")
	is.True(ok)
	is.Equal(createdAt.UTC().Format("2006-01"), "2023-06")
	_, ok = submission.KeyCreatedAt("0b5d8f6e-6f0c-4c9e-8f5e-0d6c1a3b2c1d")
	is.True(!ok)
}

// FuzzRead checks that every job accepted by Read keeps its digest when it is
// forwarded to another entry.
func FuzzRead(f *testing.F) {
	f.Add(`{"kind":"k","tasks":[{"payload":1}]}`, "team", "key")
	f.Add(`{"kind":"k","tasks":[{"payload":null}],"deadline_ms":5}`, "t", "k")
	f.Fuzz(func(t *testing.T, body, team, key string) {
		s, err := submission.Read(strings.NewReader(body), team, key)
		if err != nil {
			return
		}
		if s.TaskCount() < 1 || s.TaskCount() > submission.MaxTasks || s.Job() != team+"/"+key {
			t.Fatalf("read %q as %d tasks of %q", body, s.TaskCount(), s.Job())
		}
		if submission.New(team, key, s.Kind(), s.Deadline(), s.Payloads()).Digest() != s.Digest() {
			t.Fatalf("digest of %q changes when it is forwarded", body)
		}
	})
}
