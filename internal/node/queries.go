package node

import "time"

const (
	maxAnswerDelay   = 30 * time.Second // a resolver may be down or slow for less than that
	maxRecentQueries = 1024             // keeps message IDs distinct and memory bounded
)

// sentQuery is a query that may still be answered.
type sentQuery struct {
	number uint64 // its low 16 bits are the message ID
	sentAt time.Time
}

// recentQueries holds the queries of the last maxAnswerDelay, oldest first. How many that are depends on how often
// the resolver is queried, so an answer is judged by its age and not by the number of later queries.
type recentQueries struct{ sent []sentQuery }

// add records a query and forgets those that are too old to be answered.
func (q *recentQueries) add(number uint64, now time.Time) {
	q.sent = append(q.sent, sentQuery{number, now})
	for len(q.sent) > maxRecentQueries || now.Sub(q.sent[0].sentAt) > maxAnswerDelay {
		q.sent = q.sent[1:]
	}
}

// find returns the number of the recent query with the given message ID.
func (q *recentQueries) find(id uint16, now time.Time) (number uint64, found bool) {
	for _, query := range q.sent {
		if uint16(query.number) == id && now.Sub(query.sentAt) <= maxAnswerDelay {
			return query.number, true
		}
	}
	return 0, false
}
