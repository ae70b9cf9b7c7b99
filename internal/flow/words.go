package flow

import (
	"fmt"
	"time"

	"dahliaspindle/internal/ipfix"
)

// Describe tells a record as a person would read it: names and values, the kind of
// record first.
func Describe(r *ipfix.Record, it *Item) [][2]string {
	what := [itemKinds]string{"call", "attempt", "sum", "counts", "statistics", "format", "summary"}[it.Kind]
	row := [][2]string{{"record", what}}
	t := templates[it.Kind]
	for i, f := range t.Fields {
		v := r.Values[i]
		s := ""
		switch {
		case f.ID == eKind.ID && f.PEN == PEN:
			s = Kind(v.Num).String()
		case f.ID == eOutcome.ID && f.PEN == PEN:
			s = Outcome(v.Num).String()
		case f.ID == eRoute.ID && f.PEN == PEN:
			s = Route(v.Num).String()
		case f.ID == eHash.ID && f.PEN == PEN:
			s = fmt.Sprintf("%016x", v.Num)
		case f.Type == ipfix.String:
			s = v.Str
		case f.Type == ipfix.DateTimeMilliseconds:
			s = time.UnixMilli(int64(v.Num)).UTC().Format("2006-01-02T15:04:05.000Z")
		case f.Length == 4 && uint32(v.Num) == ^uint32(0):
			continue // none
		default:
			s = fmt.Sprint(v.Num)
		}
		if s != "" {
			row = append(row, [2]string{f.Name, s})
		}
	}
	return row
}
