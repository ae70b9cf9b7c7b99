package routing

import (
	"slices"
	"time"
)

// peerExchange is a peer exchange, or a pool, and the trunk group towards it.
// The own exchange has an entry too.
type peerExchange struct {
	number                  int
	id                      uint32
	state                   ExchangeState
	circuitsKnown           bool // a report of the group has arrived
	freeCircuits, groupSize int
	directCircuits          int         // in use by own direct calls
	transitCircuits         map[int]int // in use by transit calls, by source exchange

	// Unanswered set-ups; set-ups lost or rejected since one last succeeded.
	pendingSetups, lossesInRow int
	// Pending set-ups allowed; smoothed set-up time over its target; share of set-ups to hold back.
	window, setupTimeRatio, reduction float64
	// Tokens of a cold processor; rate of first attempts when the processor started.
	coldTokens, normalRate float64

	lastFullAt              time.Duration           // when fewer than baseReserve circuits were free
	blockedUntil            time.Duration           // no set-up is sent before this
	callRate, circuitDemand rateMeter               // calls; circuits that own calls ask for
	firstAttemptRate        rateMeter               // calls without redials and calls that were cut
	answerRate, lossRate    rateMeter               // as in Controller, of this peer alone
	classLoads              []classLoad             // of own direct calls, by class
	secondLegs              map[int]*secondLegState // from here as a tandem, by destination

	startedAt, setupTimeAt, windowCutAt, reductionAt, coldTokensAt time.Duration
}

// classLoad is the demand of one class of own direct calls for a group and
// the circuits that it uses there.
type classLoad struct {
	demand rateMeter // circuits: arrival rate times holding time
	inUse  int       // circuits
}

// peerByID returns the peer with the given exchange ID, or nil.
func (c *Controller) peerByID(id uint32) *peerExchange {
	if number, ok := c.numberByID[id]; ok {
		return c.peers[number]
	}
	return nil
}

// applyReport stores the state that an answer or a probe reported.
func (p *peerExchange) applyReport(now time.Duration, report StatusReport) {
	if report.CircuitsKnown {
		p.circuitsKnown, p.freeCircuits, p.groupSize = true, report.FreeCircuits, report.GroupSize
		if report.FreeCircuits < baseReserve {
			p.lastFullAt = now
		}
	}
	if report.HasReduction {
		p.reduction, p.reductionAt = min(max(report.Reduction, 0), 1), now
	}
}

// applyExchangeList applies a change of the exchange list. An exchange number
// keeps its trunk group when a new processor replaces the old one. Of several
// processors with one number, the newest in service is used.
func (c *Controller) applyExchangeList(update ExchangeListUpdate) {
	if update.Complete {
		for _, peer := range c.peersByNumber {
			peer.state = OutOfService
		}
	}
	for _, entry := range update.Entries {
		peer := c.peers[entry.Number]
		if peer == nil {
			peer = &peerExchange{
				number:          entry.Number,
				id:              entry.ID,
				transitCircuits: map[int]int{},
				secondLegs:      map[int]*secondLegState{},
				window:          c.initialWindow,
				state:           OutOfService,
				classLoads:      make([]classLoad, len(c.settings.Classes)),
			}
			c.peers[entry.Number] = peer
			c.peersByNumber = append(c.peersByNumber, peer)
			slices.SortFunc(c.peersByNumber, func(a, b *peerExchange) int { return a.number - b.number })
			if entry.Number == c.settings.Self {
				c.ownExchange = peer
			}
		}
		if entry.State != InService && peer.id != entry.ID {
			continue // a late entry of a processor that has already been replaced
		}
		if entry.ID != peer.id || entry.StartedAt != peer.startedAt {
			if peer.state == InService && entry.ID != peer.id && entry.StartedAt < peer.startedAt {
				continue
			}
			peer.setupTimeRatio, peer.blockedUntil, peer.reduction, peer.lossesInRow, peer.window =
				0, 0, 0, 0, c.initialWindow
			peer.coldTokens, peer.coldTokensAt, peer.normalRate =
				c.random.Float64(), c.now, peer.firstAttemptRate.rate(c.now, c.startedAt)
		}
		delete(c.numberByID, peer.id) // numberByID holds one processor for each number
		c.numberByID[entry.ID] = entry.Number
		peer.id, peer.state, peer.startedAt = entry.ID, entry.State, entry.StartedAt
	}
}
