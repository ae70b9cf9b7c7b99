package audit

import (
	"fmt"
	"io"
	"strings"

	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/signal"
)

// setupCapacity returns the number of set-ups that a processor can handle between
// from and to, in seconds after its start. During the warm-up time the capacity rises
// linearly from the initial share to the full rate.
func setupCapacity(capacity capture.Capacity, from, to float64) float64 {
	from = max(from, 0)
	warmUp := capacity.WarmUpTime.Seconds()
	integral := func(t float64) float64 { // of the capacity share, from the start to t
		if warmUp <= 0 || capacity.InitialShare >= 1 {
			return t
		}
		x := min(t, warmUp)
		return capacity.InitialShare*x + (1-capacity.InitialShare)*x*x/(2*warmUp) + max(t-warmUp, 0)
	}
	return capacity.SetUpsPerSecond * (integral(to) - integral(from))
}

// Trace writes the events of one call in a capture, one per line: the messages sent
// and received at each controller, the decisions of the routing module and the
// transit calls that belong to the call. It returns the number of lines.
func Trace(w io.Writer, path, name string) (int, error) {
	files, err := capture.Files(path)
	if err != nil {
		return 0, err
	}
	records, _, err := loadRecords(files)
	if err != nil {
		return 0, err
	}
	belongs := func(termination string) bool { return termination == name || strings.HasPrefix(termination, name+"/") }
	var start int64
	pending := map[transaction]bool{}
	lines := 0
	for _, r := range records {
		line := ""
		switch {
		case r.Kind == capture.Verdict && belongs(r.Name):
			line = fmt.Sprintf("%-16s decides: %s", r.endpoint.Owner, r.Text)
		case r.message == nil:
			continue
		case r.message.Kind == signal.Pending && pending[transaction{r.connection, r.message.ID}]:
			line = direction(&r) + "Pending"
		case belongs(r.message.Termination):
			if r.message.Kind == signal.Request && r.message.Command == signal.Add {
				pending[transaction{r.connection, r.message.ID}] = true
			}
			line = direction(&r) + formatMessage(r.message)
		default:
			continue
		}
		if start == 0 {
			start = r.At
		}
		lines++
		if _, err := fmt.Fprintf(w, "%9.1f ms  %s\n", float64(r.At-start)/1e6, line); err != nil {
			return lines, fmt.Errorf("write trace: %w", err)
		}
	}
	return lines, nil
}

// direction formats who sent a message to whom.
func direction(r *record) string {
	verb, preposition := "sends   ", "to  " // padded to the width of "receives from"
	if r.Kind == capture.Received {
		verb, preposition = "receives", "from"
	}
	peer := r.endpoint.Role
	if r.endpoint.Peer != 0 {
		peer = fmt.Sprintf("%s %d", peer, r.endpoint.Peer)
	}
	return fmt.Sprintf("%-16s %s %s %-20s ", r.endpoint.Owner, verb, preposition, peer)
}

// formatMessage formats a message on one line.
func formatMessage(message *signal.Message) string {
	var text strings.Builder
	if message.Kind == signal.Reply {
		text.WriteString("Reply to ")
	}
	fmt.Fprintf(&text, "%s %s", message.Command, message.Termination)
	if message.Code != 0 {
		fmt.Fprintf(&text, ": error %d %s", message.Code, message.Text)
	}
	for _, descriptor := range message.Descriptors {
		fmt.Fprintf(&text, "; %s %s", descriptor.Name, descriptor.Value)
	}
	return text.String()
}
