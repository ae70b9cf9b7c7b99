package flow

import (
	"fmt"
	"time"

	"dahliaspindle/internal/ipfix"
)

// Describe returns a record as pairs of names and readable values, the type of
// the record first. Empty values are left out.
func Describe(record *ipfix.Record, item *Item) [][2]string {
	recordType := [itemKindCount]string{"call", "attempt", "sum", "counts", "statistics", "format", "summary"}[item.Kind]
	pairs := [][2]string{{"record", recordType}}
	template := templates[item.Kind]
	for i, field := range template.Fields {
		value := record.Values[i]
		text := ""
		switch {
		case field.ID == eKind.ID && field.PEN == PEN:
			text = Kind(value.Num).String()
		case field.ID == eOutcome.ID && field.PEN == PEN:
			text = Outcome(value.Num).String()
		case field.ID == eRoute.ID && field.PEN == PEN:
			text = Route(value.Num).String()
		case field.ID == eNumberHash.ID && field.PEN == PEN:
			text = fmt.Sprintf("%016x", value.Num)
		case field.Type == ipfix.String:
			text = value.Str
		case field.Type == ipfix.DateTimeMilliseconds:
			text = time.UnixMilli(int64(value.Num)).UTC().Format("2006-01-02T15:04:05.000Z")
		case field.Length == 4 && uint32(value.Num) == ^uint32(0):
			continue // no exchange
		default:
			text = fmt.Sprint(value.Num)
		}
		if text != "" {
			pairs = append(pairs, [2]string{field.Name, text})
		}
	}
	return pairs
}
