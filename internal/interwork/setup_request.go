package interwork

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/routing"
)

// IsNewCall reports whether a message is the set-up of a new call, which may be rejected before it
// reaches the core. The set-up of an established call (one whose routing has an "at" value) expects no answer.
func IsNewCall(msg *isup.Message) bool {
	value, _ := msg.Get(isup.ParamRouting)
	return msg.Type == isup.SetUp && !strings.Contains(string(value), "at:")
}

// setUpRequest is a parsed set-up.
type setUpRequest struct {
	routing.Call
	class, number string
	description   []byte
	peerName      string // exchange of a call that is established already, else empty
}

// parseSetUp parses a set-up. The error names the first invalid parameter.
func (c *Core) parseSetUp(msg *isup.Message) (request setUpRequest, err error) {
	text := func(code byte) string {
		value, _ := msg.Get(code)
		return string(value)
	}
	class, ok := c.classIndexes[text(isup.ParamClass)]
	if !ok {
		return request, fmt.Errorf("unknown class %.40q", text(isup.ParamClass))
	}
	request.class, request.Class = text(isup.ParamClass), class
	millis, err := strconv.ParseUint(text(isup.ParamPatience), 10, 22)
	if err != nil {
		return request, fmt.Errorf("invalid patience: %w", err)
	}
	request.Remaining = time.Duration(millis) * time.Millisecond
	request.number = text(isup.ParamNumber)
	if request.CalledNumber, err = strconv.ParseUint(request.number, 16, 64); err != nil || len(request.number) != 16 {
		return request, fmt.Errorf("invalid number %.40q", request.number)
	}
	request.HasCalledNumber = true
	switch value := text(isup.ParamRetry); value {
	case "1":
		request.Repeat = true
	case "", "0":
	default:
		return request, fmt.Errorf("invalid retry mark %.40q", value)
	}
	request.description, ok = msg.Get(isup.ParamDescription)
	if !ok {
		return request, fmt.Errorf("missing description")
	}
	return request, c.parseRouting(&request, text(isup.ParamRouting))
}

// parseRouting parses the routing parameter of a set-up ("name:value" pairs separated by semicolons) into request.
// Unknown names are ignored.
func (c *Core) parseRouting(request *setUpRequest, text string) error {
	request.Via = -1
	var hasDest, hasWidth, hasVia bool
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		if !ok {
			return fmt.Errorf("malformed routing %.80q", text)
		}
		if name == "at" {
			request.peerName = value
			continue
		}
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return fmt.Errorf("invalid routing value %.20q: %w", name, err)
		}
		switch name {
		case "dest":
			hasDest, request.Destination = true, int(n)
		case "width":
			hasWidth, request.Width = true, int(n)
		case "via":
			hasVia, request.Via = true, int(n)
		case "transit":
			request.Transit = n == 1
		case "again":
			request.Reconnect = n == 1
		}
		if (name == "transit" || name == "again") && n != 0 && n != 1 {
			return fmt.Errorf("routing value %.20q out of range in %.80q", name, text)
		}
	}
	switch {
	case !hasDest || !c.isKnownDestination(request.Destination) || request.Destination == c.cfg.Settings.Self && !c.cfg.Settings.Pools:
		return fmt.Errorf("missing or unknown destination in %.80q", text)
	case !hasWidth || request.Width < 1 || request.Width > c.maxWidth:
		return fmt.Errorf("missing or invalid width in %.80q", text)
	case request.Via < -1 || request.Transit && !hasVia:
		return fmt.Errorf("missing or invalid via in %.80q", text)
	}
	return nil
}
