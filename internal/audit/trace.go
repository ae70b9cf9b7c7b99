package audit

import (
	"fmt"
	"io"
	"strings"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/signal"
)

// between is the set-ups that a processor can do from a to b seconds after its start.
func between(c capture.Capacity, a, b float64) float64 {
	a = max(a, 0)
	warm := c.WarmUpTime.Seconds()
	sum := func(t float64) float64 { // from the start to t
		if warm <= 0 || c.InitialShare >= 1 {
			return t
		}
		x := min(t, warm)
		return c.InitialShare*x + (1-c.InitialShare)*x*x/(2*warm) + max(t-warm, 0)
	}
	return c.SetUpsPerSecond * (sum(b) - sum(a))
}

// Trace writes all that a capture tells of one call, as a person would read it:
// what was sent and received at each end, the module's word, the calls in
// transit that came of it. It returns the number of lines.
func Trace(w io.Writer, path, name string) (int, error) {
	files, err := capture.Files(path)
	if err != nil {
		return 0, err
	}
	recs, _, err := load(files)
	if err != nil {
		return 0, err
	}
	mine := func(term string) bool { return term == name || strings.HasPrefix(term, name+"/") }
	var first int64
	pending := map[tx]bool{}
	lines := 0
	for _, r := range recs {
		line := ""
		switch {
		case r.Kind == capture.Verdict && mine(r.Name):
			line = fmt.Sprintf("%-16s decides: %s", r.ends.Owner, r.Text)
		case r.msg == nil:
			continue
		case r.msg.Kind == signal.Pending && pending[tx{r.key, r.msg.ID}]:
			line = told(&r) + "Pending"
		case mine(r.msg.Termination):
			if r.msg.Kind == signal.Request && r.msg.Command == signal.Add {
				pending[tx{r.key, r.msg.ID}] = true
			}
			line = told(&r) + words(r.msg)
		default:
			continue
		}
		if first == 0 {
			first = r.At
		}
		lines++
		if _, err := fmt.Fprintf(w, "%9.1f ms  %s\n", float64(r.At-first)/1e6, line); err != nil {
			return lines, fmt.Errorf("writing the trace: %w", err)
		}
	}
	return lines, nil
}

func told(r *record) string {
	verb, word := "sends", "to"
	if r.Kind == capture.Received {
		verb, word = "hears", "of"
	}
	peer := r.ends.Role
	if r.ends.Peer != 0 {
		peer = fmt.Sprintf("%s %d", peer, r.ends.Peer)
	}
	return fmt.Sprintf("%-16s %s %s %-20s ", r.ends.Owner, verb, word, peer)
}

// words is a message on one line.
func words(m *signal.Message) string {
	var b strings.Builder
	if m.Kind == signal.Reply {
		b.WriteString("Reply to ")
	}
	fmt.Fprintf(&b, "%s %s", m.Command, m.Termination)
	if m.Code != 0 {
		fmt.Fprintf(&b, ": error %d %s", m.Code, m.Text)
	}
	for _, f := range m.Descriptors {
		fmt.Fprintf(&b, "; %s %s", f.Name, f.Value)
	}
	return b.String()
}
