package demo

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"dahliaspindle/internal/audit"
	"dahliaspindle/internal/capture"
	"dahliaspindle/internal/virtual"
)

// Virtual plays a scenario in virtual time, without processes and sockets, and
// judges it as Run does. Flows, Exe and Progress are not used.
func Virtual(o Options) (*Result, error) {
	var failed error
	lives := map[string]int{}
	day, err := virtual.Run(o.Scenario, virtual.Options{Policy: o.Policy, Capture: func(who string, now func() int64) *capture.Writer {
		lives[who]++
		name := fmt.Sprintf("%s.%d%s", strings.ReplaceAll(who, " ", "-"), lives[who], capture.FileSuffix)
		w, err := capture.CreateWithClock(filepath.Join(o.Dir, name), who, now)
		failed = errors.Join(failed, err)
		return w
	}})
	if err := errors.Join(failed, err); err != nil {
		return nil, fmt.Errorf("playing %s: %w", o.Scenario.Name, err)
	}
	report, err := audit.Path(o.Dir)
	if err != nil {
		return nil, err
	}
	r := result(o, report, day.Scene)
	r.Held = day.Held
	if !day.Left {
		r.Notes = append(r.Notes, "not every controller could leave")
	}
	return r, nil
}
