package knownred

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const list = "# tests that fail for a real fault\n\nmod/a.TestRed | the queue forgets | issue 9\nmod/a.TestMended|was slow|issue 11\n"

func mustJudge(t *testing.T, run string) *Verdict {
	t.Helper()
	entries, err := Parse("KNOWN-RED.txt", strings.NewReader(list))
	require.NoError(t, err)
	verdict, err := Judge(strings.NewReader(run), entries)
	require.NoError(t, err)
	return verdict
}

func TestListedFailuresPassTheRunAndArePrinted(t *testing.T) {
	verdict := mustJudge(t, `{"Action":"fail","Package":"mod/a","Test":"TestRed/once"}
{"Action":"fail","Package":"mod/a","Test":"TestRed"}
{"Action":"pass","Package":"mod/a","Test":"TestMended"}
{"Action":"fail","Package":"mod/a"}
{"Action":"pass","Package":"mod/b"}
`)
	require.True(t, verdict.OK())
	var out bytes.Buffer
	verdict.Write(&out)
	require.Equal(t, "known red: mod/a.TestRed: the queue forgets (issue 9)\npasses now: mod/a.TestMended; remove its line from the list\n0 passed, 0 failed, 0 skipped\n", out.String())
}

// Guards against ignoring tests that did not finish because a listed test panicked.
func TestUnfinishedTestFailsTheRun(t *testing.T) {
	verdict := mustJudge(t, `{"Action":"run","Package":"mod/a","Test":"TestRed"}
{"Action":"run","Package":"mod/a","Test":"TestBehind"}
{"Action":"run","Package":"mod/a","Test":"TestBehind/part"}
{"Action":"fail","Package":"mod/a","Test":"TestRed"}
{"Action":"fail","Package":"mod/a"}
`)
	require.Equal(t, []string{"mod/a.TestBehind"}, verdict.Failed)
	require.Equal(t, Counts{Failed: 2}, verdict.Counts)
	var out bytes.Buffer
	verdict.Write(&out)
	require.Contains(t, out.String(), "started but reported no result")
}

func TestCountsExcludeSubtests(t *testing.T) {
	verdict := mustJudge(t, `{"Action":"run","Package":"mod/a","Test":"TestMended"}
{"Action":"run","Package":"mod/a","Test":"TestMended/part"}
{"Action":"skip","Package":"mod/a","Test":"TestMended/part"}
{"Action":"pass","Package":"mod/a","Test":"TestMended"}
{"Action":"run","Package":"mod/a","Test":"TestSkipped"}
{"Action":"skip","Package":"mod/a","Test":"TestSkipped"}
{"Action":"pass","Package":"mod/a"}
{"Action":"skip","Package":"mod/without-tests"}
`)
	require.True(t, verdict.OK())
	require.Equal(t, "1 passed, 0 failed, 1 skipped", verdict.Counts.String())
}

func TestUnlistedFailureFailsTheRunAndPrintsOutput(t *testing.T) {
	verdict := mustJudge(t, `{"Action":"output","Package":"mod/a","Test":"TestOther","Output":"expected 1\n"}
{"Action":"fail","Package":"mod/a","Test":"TestOther"}
{"Action":"fail","Package":"mod/a","Test":"TestRed"}
{"Action":"fail","Package":"mod/a"}
{"Action":"output","Package":"mod/b","Output":"does not build\n"}
{"Action":"fail","Package":"mod/b"}
`)
	require.False(t, verdict.OK())
	require.Equal(t, []string{"mod/a.TestOther", "mod/b"}, verdict.Failed)
	var out bytes.Buffer
	verdict.Write(&out)
	require.Contains(t, out.String(), "FAILED: mod/a.TestOther\nexpected 1\n")
	require.Contains(t, out.String(), "FAILED: mod/b\ndoes not build\n")
}

func TestInvalidInputIsRejected(t *testing.T) {
	for _, line := range []string{"mod/a.TestRed | no issue", "mod/a | cause | issue 9", "mod/a.TestRed | | issue 9"} {
		_, err := Parse("KNOWN-RED.txt", strings.NewReader("\n"+line))
		require.ErrorContains(t, err, "line 2")
	}
	for _, run := range []string{"not json", ""} {
		_, err := Judge(strings.NewReader(run), nil)
		require.Error(t, err)
	}
}
