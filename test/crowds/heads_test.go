package crowds

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/stoneworks/stoneworks/test/machines"
)

// The box's ports besides that for clients; see test/processes.
const (
	portPeers     = 8102
	portAdmin     = 8103
	portReady     = 8104
	portDirectory = 8105
)

const letters = "abcdefghijklmnopqrstuvwxyz"

// filled returns lines up to a size in bytes, of which line returns each.
func filled(size int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l) > size {
			return b.String()
		}
		b.WriteString(l)
	}
}

// shortLine returns a line of a name of three letters.
func shortLine(i int) string {
	return string([]byte{letters[i/676%26], letters[i/26%26], letters[i%26]}) + ":\r\n"
}

// oddLine returns a line of a name of a digit, a letter and another character that names may have.
func oddLine(i int) string {
	const others = "!#$%&'*+-."
	return string([]byte{'0' + byte(i/260%10), letters[i/10%26], others[i%10]}) + ":\r\n"
}

// repeatedLine returns the same line each time.
func repeatedLine(int) string { return "a:\r\n" }

// lineBytes is how many bytes of lines a head has, which together with start stays below headBytes.
const lineBytes = headBytes - 256

// start returns the first lines of a head.
func start(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Stoneworks-Request-Id: crowd\r\n", method, path)
}

// withheld returns a head with the lines whose body does not follow.
func withheld(lines string) string {
	return start(http.MethodPost, "/post/x") + "Content-Length: 100\r\n" + lines + "\r\n"
}

// TestManyShortLinesWithoutABodyStayWithinTheMachine guards against holding heads of many lines that
// nothing counts.
func TestManyShortLinesWithoutABodyStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), withheld(filled(lineBytes, shortLine)), crowdSize)
}

// TestOneRepeatedNameStaysWithinTheMachine is the same for one name on every line.
func TestOneRepeatedNameStaysWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), withheld(filled(lineBytes, repeatedLine)), crowdSize)
}

// TestOddNamesStayWithinTheMachine is the same for names that are no words.
func TestOddNamesStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), withheld(filled(lineBytes, oddLine)), crowdSize)
}

// TestOneLongLineStaysWithinTheMachine is the same for a single line.
func TestOneLongLineStaysWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), withheld("Cookie: "+strings.Repeat("a", lineBytes-10)+"\r\n"), crowdSize)
}

// TestUnfinishedHeadsStayWithinTheMachine guards against holding lines of heads that do not end.
func TestUnfinishedHeadsStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), start(http.MethodGet, "/calm/x")+filled(lineBytes, shortLine), crowdSize)
}

// TestManyLinesAtABusyServerStayWithinTheMachine is for whole requests that wait for a server.
func TestManyLinesAtABusyServerStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	s.holds(s.box.Clients(), start(http.MethodGet, "/busy/x")+filled(lineBytes, shortLine)+"\r\n", crowdSize)
}

// TestConnectionOptionsStayWithinTheMachine is for one Connection line of thousands of options.
func TestConnectionOptionsStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	options := strings.TrimSuffix(strings.Repeat("a,", (lineBytes-16)/2), ",")
	s.holds(s.box.Clients(), start(http.MethodGet, "/busy/x")+"Connection: "+options+"\r\n\r\n", crowdSize)
}

// TestUnfinishedTrailersStayWithinTheMachine is for trailers of a megabyte.
func TestUnfinishedTrailersStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	head := start(http.MethodPost, "/post/x") + "Transfer-Encoding: chunked\r\n\r\n"
	s.holds(s.box.Clients(), head+"1\r\nx\r\n0\r\n"+filled(1<<20, shortLine), crowdSize)
}

// TestTrailersAtASlowServerStayWithinTheMachine is for whole trailers of requests that wait for a server.
func TestTrailersAtASlowServerStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	body := "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + filled(4000, shortLine) + "\r\n"
	s.holds(s.box.Clients(), start(http.MethodPost, "/slow/x")+body, crowdSize)
}

// TestPipelinedHeadsStayWithinTheMachine guards against holding heads of requests that follow the one
// that is served.
func TestPipelinedHeadsStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	one := start(http.MethodGet, "/busy/x") + filled(headBytes/8, shortLine) + "\r\n"
	s.holds(s.box.Clients(), strings.Repeat(one, 24), crowdSize)
}

// TestPipelinedLargeAnswersStayWithinTheMachine guards against holding answers that wait for their turn.
func TestPipelinedLargeAnswersStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	text := start(http.MethodGet, "/slow/x") + "\r\n" + strings.Repeat(start(http.MethodGet, "/large/x")+"\r\n", 8)
	s.holds(s.box.Clients(), text, crowdSize/5)
}

// TestHeadsAfterChunkedBodiesStayWithinTheMachine is for heads that arrive together with the end of the
// body before them, and do not end.
func TestHeadsAfterChunkedBodiesStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	whole := start(http.MethodPost, "/post/x") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
	s.holds(s.box.Clients(), whole+start(http.MethodGet, "/calm/x")+filled(lineBytes, shortLine), crowdSize)
}

// testOtherPort checks heads that do not end, and longer ones, at another port.
func testOtherPort(t *testing.T, port int) {
	t.Helper()
	s := newStage(t)
	head := "GET /-/ready HTTP/1.1\r\nHost: h\r\n"
	s.holds(s.port(port), head+filled(lineBytes, shortLine), crowdSize)
	s.holds(s.port(port), head+filled(16*lineBytes, shortLine), crowdSize/5)
}

// TestHeadsAtTheDirectoryStayWithinTheMachine guards against ports without limits.
func TestHeadsAtTheDirectoryStayWithinTheMachine(t *testing.T) { testOtherPort(t, portDirectory) }

// TestHeadsAtTheReadinessPortStayWithinTheMachine is the same for readiness checks.
func TestHeadsAtTheReadinessPortStayWithinTheMachine(t *testing.T) { testOtherPort(t, portReady) }

// TestHeadsAtThePeersPortStayWithinTheMachine is the same for calls of other boxes.
func TestHeadsAtThePeersPortStayWithinTheMachine(t *testing.T) { testOtherPort(t, portPeers) }

// TestHeadsAtTheAdminPortStayWithinTheMachine is the same for operators' calls.
func TestHeadsAtTheAdminPortStayWithinTheMachine(t *testing.T) { testOtherPort(t, portAdmin) }

// TestConnectionsAtClientsPortStayWithinTheMachine checks connections on which nothing is sent.
func TestConnectionsAtClientsPortStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	connections := s.send(s.box.Clients(), "", descriptors+100)
	s.leaves(connections)
}

// TestConnectionsAtTheDirectoryStayWithinTheMachine guards against a port that takes every descriptor.
func TestConnectionsAtTheDirectoryStayWithinTheMachine(t *testing.T) {
	s := newStage(t)
	connections := s.send(s.port(portDirectory), "", descriptors+100)
	s.leaves(connections)
}

// TestOrdinaryCallersAreAnsweredBesideACrowd guards against limits that a crowd uses up for all others.
func TestOrdinaryCallersAreAnsweredBesideACrowd(t *testing.T) {
	s := newStage(t)
	connections := s.send(s.box.Clients(), withheld(filled(lineBytes/4, shortLine)), crowdSize)
	s.answered()
	s.leaves(connections)
}

// TestOneRequestOfManyLinesIsServedInCalm guards against limits that refuse what is allowed.
func TestOneRequestOfManyLinesIsServedInCalm(t *testing.T) {
	s := newStage(t)
	is := is.New(t)
	client := &machines.Client{Address: s.box.Clients()}
	defer client.Close()
	for i, line := range []func(int) string{shortLine, repeatedLine, oddLine} {
		answer := client.Do(http.MethodGet, "/calm/x", fmt.Sprint("many-", i), "", filled(lineBytes, line))
		is.NoErr(answer.Problem)
		is.Equal(answer.Status, http.StatusOK)
	}
	s.check()
}
