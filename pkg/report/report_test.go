package report

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/pkg/trace"
)

// linesOf reads a log with a line for each of the given texts of JSON fields.
func linesOf(t *testing.T, fields ...string) []trace.Line {
	t.Helper()
	var b strings.Builder
	for i, f := range fields {
		fmt.Fprintf(&b, "{\"time\":\"2026-12-02T10:00:%02d.000Z\",%s}\n", i, f)
	}
	lines, err := trace.Read("box-1", strings.NewReader(b.String()))
	is.New(t).NoErr(err)
	return lines
}

const answered = `"text":"request: answered","service":"shop","status":200,"target_ms":250,`

func TestEachRequestHasOneOutcomeAndCause(t *testing.T) {
	for _, e := range []struct {
		line    string
		outcome Outcome
		cause   Cause
	}{
		{answered + `"took_ms":120,"try1":"i-1 answered","try1_slots":4`, InTime, ""},
		{answered + `"took_ms":380,"try1":"i-1 answered","try1_slots":4`, Late, CauseFirstUse},
		{answered + `"took_ms":380,"try1":"i-1 answered","try1_slots":4,"try1_known":true,"try1_busy":4`, Late, CauseQueued},
		{answered + `"took_ms":380,"try1":"i-1 answered","try1_slots":4,"try1_known":true,"try1_busy":3,"try1_remote":true`, Late, CauseRemote},
		{answered + `"took_ms":380,"try1":"i-1 answered","try1_slots":4,"try1_known":true`, Late, CauseSlow},
		{answered + `"took_ms":380,"try1":"i-1 shed","try2":"i-2 answered"`, Late, CauseRetried},
		{`"text":"request: not answered: shop","service":"shop","status":503,"took_ms":0`, Refused, CauseNotTried},
		{`"text":"request: not answered: studio","service":"shop","status":429,"took_ms":0,"reason":"over_limit"`, Refused, CauseOverLimit},
		{`"text":"request: not answered: 1f","service":"shop","status":503,"took_ms":0,"reason":"crashes_backend_servers"`, Refused, CauseQuarantined},
		{`"text":"request: not answered: i-1","service":"shop","status":503,"took_ms":9,"try1":"i-1 shed"`, Refused, CauseServerFailed},
		{`"text":"request: not answered: reset","service":"shop","status":502,"took_ms":9,"try1":"i-1 broken"`, Lost, CauseServerFailed},
		{`"text":"request: not answered: late","service":"shop","status":504,"took_ms":900,"try1":"i-1 broken","try2":"i-1 late"`, Lost, CauseRetried},
	} {
		is := is.New(t)
		r, err := Summarize(linesOf(t, e.line), time.Second)
		is.NoErr(err)
		is.Equal(r.All.Requests(), 1)
		is.Equal(r.All.Outcomes[e.outcome], 1)
		if e.outcome != InTime {
			is.Equal(r.All.Causes[e.cause], 1)
		}
	}
}

// TestSampledLinesAreWeighted checks that a report counts requests, not lines, by service and
// by the time at which the requests began.
func TestSampledLinesAreWeighted(t *testing.T) {
	is := is.New(t)
	r, err := Summarize(linesOf(t,
		answered+`"took_ms":120,"requests":32,"try1":"i-1 answered"`,
		answered+`"took_ms":1500,"try1":"i-1 answered","try1_known":true`,
		`"text":"request: not answered: desk","service":"desk","status":503,"took_ms":0`,
		`"text":"backend: server cold","service":"desk"`,
	), 2*time.Second)
	is.NoErr(err)
	is.Equal(r.All.Requests(), 34)
	is.Equal(r.Sampled, 32)
	is.Equal(len(r.Services), 2)
	is.Equal(r.Services[0].Name, "desk")
	is.Equal(r.Services[1].Outcomes, [outcomeCount]int{32, 1, 0, 0})
	is.Equal(len(r.Spans), 2)
	is.Equal(r.Spans[0].Requests(), 33) // the late request began 1.5 s before its line
	is.Equal(r.Spans[0].Start.Format("15:04:05"), "09:59:58")
	is.Equal(r.Spans[1].Requests(), 1)
}

func TestLogsWithoutRequestsAreAnError(t *testing.T) {
	_, err := Summarize(linesOf(t, `"text":"box: started"`), time.Second)
	var empty *EmptyError
	is.New(t).True(errors.As(err, &empty))
}

// TestPageIsSelfContained checks that the page contains its plots and loads nothing.
func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	r, err := Summarize(linesOf(t,
		answered+`"took_ms":120,"try1":"i-1 answered"`,
		answered+`"took_ms":420,"try1":"i-1 answered"`,
		strings.Replace(answered, "shop", "<script>", 1)+`"took_ms":420,"try1":"i-1 answered"`,
	), time.Second)
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(r.WriteHTML(&b))
	page := b.String()
	is.Equal(strings.Count(page, "<svg"), 2)
	is.True(!strings.Contains(page, "<script>"))
	for _, fetched := range []string{"src=", "<link", "@import", "url("} {
		is.True(!strings.Contains(page, fetched))
	}
}
