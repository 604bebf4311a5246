package history

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testJob = "8cbb640781151545"

// The agent's clock is 2.5 s behind the entry's.
const entryLog = `I1204 07:16:18.000000   100 dispatcher.go:145] "CH1002 dispatcher started" entry="e1" incarnation=1
I1204 07:16:21.272366   100 actor.go:135] "CH1021 job accepted" job="8cbb640781151545" queue="checks" tasks=2 ends="28ms" objective="213ms" budget="2.66s" backlog="28.061274ms" endpoints=5 version=1
I1204 07:16:21.272722   100 actor.go:135] "CH1027 tasks offered" job="8cbb640781151545" agent="a1" tasks=2 sent=true wait="22ms" heard="65.990624ms" slowness=0.99 first=0
I1204 07:16:21.300000   100 actor.go:135] "CH1021 job accepted" job="ffffffffffffffff" queue="checks" tasks=1
I1204 07:16:21.400000   100 actor.go:135] "CH1012 agent detached" entry="e1" agent="a1"
I1204 07:16:21.600000   100 actor.go:135] "CH1033 task lost" job="8cbb640781151545" agent="a1" task=0 ran="41ms" reason="the endpoint does not list it"
I1204 07:16:21.700000   100 actor.go:135] "CH1026 job ended" job="8cbb640781151545" queue="checks" outcome="complete" reason="complete" detail="every task ended well" took="427ms" objective="213ms" undone=0 placed=0
`

const agentLog = `I1204 07:16:18.773100   200 actor.go:368] "CH1126 task started" job="8cbb640781151545" step=0 index=0 run=28 waited="300µs" free="1903m/130304MiB/0" heard="90.689457ms"
I1204 07:16:18.850000   200 keeper.go:10] "CH1134 endpoint does not answer" agent="a1" error="endpoint: Post \"http://10.0.0.1:1/hold\": context deadline exceeded"
I1204 07:16:18.900000   200 actor.go:368] "CH1126 task started" job="8cbb640781151545" step=0 waited="30`

func newHistory(t *testing.T, logs map[string]string) *History {
	t.Helper()
	h := New(testJob)
	for source, text := range logs {
		if err := h.Read(source, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

func TestLinesAreOrderedDespiteClockSkew(t *testing.T) {
	i := is.New(t)
	h := newHistory(t, map[string]string{"e1": entryLog, "a1": agentLog})
	var events []string
	lines := h.Lines()
	for _, l := range lines {
		events = append(events, l.Event())
	}
	i.Equal(events, []string{"CH1021", "CH1027", "CH1126", "CH1134", "CH1012", "CH1033", "CH1026"})
	i.True(lines[2].Time().Sub(lines[1].Time()) < time.Millisecond)
	i.Equal(h.Skipped(), 1)
}

func TestCauseOfLateAnswer(t *testing.T) {
	i := is.New(t)
	h := newHistory(t, map[string]string{"e1": entryLog, "a1": agentLog})
	i.Equal(h.Causes(), []string{"e1: ended complete (complete) after 427ms, late: its objective is 213ms; task lost at a1 (reason the endpoint does not list it)"})
}

func TestCauses(t *testing.T) {
	const header = `I1204 07:16:21.272366   100 actor.go:135] `
	for name, c := range map[string]struct{ log, cause string }{
		"overload": {
			header + `"CH1022 job refused" job="8cbb640781151545" reason="overload" backlog="68ms" limit="64ms" ends="98ms" objective="144ms" budget="5.4s" endpoints=11`,
			"e1: refused, nothing has run: overload over 11 endpoints; all queued work takes 68ms, the limit for its urgency is 64ms",
		},
		"too late for its objective": {
			header + `"CH1022 job refused" job="8cbb640781151545" reason="overload" backlog="8ms" limit="64ms" ends="198ms" objective="144ms" budget="5.4s" endpoints=11`,
			"e1: refused, nothing has run: overload over 11 endpoints; it would have ended after 198ms, its objective is 144ms",
		},
		"no endpoint": {
			header + `"CH1022 job refused" job="8cbb640781151545" reason="no-endpoint" queue="q" endpoints=0 version=3`,
			"e1: refused, nothing has run: no-endpoint, 0 endpoints are known",
		},
		"pressure": {
			header + `"CH1028 job refused by an entry under pressure" job="8cbb640781151545" queue="q" standing="120ms"`,
			"e1: refused, nothing has run: the entry was short of CPU time, requests waited for 120ms",
		},
		"given up": {
			header + `"CH1026 job ended" job="8cbb640781151545" outcome="unknown" reason="suspended" detail="this entry stood still for 2s" took="2.5s" objective="144ms"`,
			"e1: ended unknown (suspended) after 2.5s: this entry stood still for 2s",
		},
		"killed": {
			header + `"CH1021 job accepted" job="8cbb640781151545"` + "\n" + `I1204 07:16:22.272366   101 d.go:1] "CH1002 dispatcher started" entry="e1"`,
			"e1: accepted, but no end is logged: the entry restarted 1s later",
		},
		"cut off": {
			header + `"CH1021 job accepted" job="8cbb640781151545"` + "\n" + `I1204 07:16:22.272366   100 d.go:1] "CH1011 agent attached" entry="e1"`,
			"e1: accepted, but no end is logged: the log of this process run ends 1s later",
		},
		"agent only": {
			`I1204 07:16:18.773100   200 actor.go:368] "CH1126 task started" job="8cbb640781151545" step=0`,
			"the files hold no log of the entry that received the request",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(newHistory(t, map[string]string{"e1": c.log}).Causes(), []string{c.cause})
		})
	}
}

// A request that was resubmitted to another entry has one cause per entry. The logs of
// all processes may be in one file.
func TestSubmissionsInOneFile(t *testing.T) {
	i := is.New(t)
	h := newHistory(t, map[string]string{"all": `   0.0158 front-1 I0416 03:59:49.014708   19041 actor.go:135] "CH1021 job accepted" job="8cbb640781151545"
   0.0233 front-2 I0416 03:59:50.322330   19039 actor.go:135] "CH1021 job accepted" job="8cbb640781151545"
   0.0364 front-2 I0416 03:59:50.431913   19039 actor.go:135] "CH1026 job ended" job="8cbb640781151545" outcome="complete" reason="complete" took="109ms" objective="144ms"
`})
	causes := h.Causes()
	i.Equal(len(causes), 2)
	i.True(strings.HasPrefix(causes[0], "front-1: accepted, but no end is logged"))
	i.Equal(causes[1], "front-2: ended complete (complete) after 109ms, in time: its objective is 144ms")
}

func TestUnknownRequest(t *testing.T) {
	i := is.New(t)
	h := newHistory(t, map[string]string{"e1": "nothing to read here\n"})
	i.True(!h.Found())
	i.Equal(len(h.Lines())+len(h.Causes()), 0)
}
