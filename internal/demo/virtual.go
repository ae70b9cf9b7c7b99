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

// RunVirtual runs a scenario in virtual time, without processes and sockets, and
// audits it as Run does. ExportFlows, Executable and Progress are ignored.
func RunVirtual(options Options) (*Result, error) {
	var captureErr error
	incarnations := map[string]int{}
	run, err := virtual.Run(options.Scenario, virtual.Options{Policy: options.Policy, NewCapture: func(owner string, now func() int64) *capture.Writer {
		incarnations[owner]++
		name := fmt.Sprintf("%s.%d%s", strings.ReplaceAll(owner, " ", "-"), incarnations[owner], capture.FileSuffix)
		captureWriter, err := capture.CreateWithClock(filepath.Join(options.Dir, name), owner, now)
		captureErr = errors.Join(captureErr, err)
		return captureWriter
	}})
	if err := errors.Join(captureErr, err); err != nil {
		return nil, fmt.Errorf("running scenario %s: %w", options.Scenario.Name, err)
	}
	report, err := audit.CheckPath(options.Dir)
	if err != nil {
		return nil, err
	}
	result := newResult(options, report, run.Simulation)
	result.CircuitsInUse = run.CircuitsInUse
	if !run.AllStopped {
		result.Notes = append(result.Notes, "not every controller could leave")
	}
	return result, nil
}
