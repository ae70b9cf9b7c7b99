package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// Message types and parameters of the callers' protocol.
const (
	typeSetUp, typeProgress, typeAnswer, typeRelease, typeHeard, typeTest, typeTestResult = 1, 6, 9, 12, 16, 52, 53

	paramClass, paramPatience, paramNumber, paramFigures, paramStayAway, paramCause, paramDescription = 64, 67, 76, 79, 82, 106, 109
)

// param is a parameter of a binary message.
type param struct {
	code  byte
	value []byte
}

func encode(kind byte, call uint64, params ...param) []byte {
	b := append([]byte{0, 0, kind}, binary.BigEndian.AppendUint64(nil, call)...)
	for _, p := range params {
		b = append(binary.BigEndian.AppendUint16(append(b, p.code), uint16(len(p.value))), p.value...)
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	return b
}

// binaryMessage is a message that was read.
type binaryMessage struct {
	kind   byte
	call   uint64
	params map[byte][]byte
}

func decode(r io.Reader) (m binaryMessage, err error) {
	var length [2]byte
	if _, err = io.ReadFull(r, length[:]); err != nil {
		return m, err
	}
	body := make([]byte, binary.BigEndian.Uint16(length[:]))
	if _, err = io.ReadFull(r, body); err != nil {
		return m, err
	}
	if len(body) < 9 {
		return m, fmt.Errorf("a message of %d bytes", len(body))
	}
	m = binaryMessage{body[0], binary.BigEndian.Uint64(body[1:]), map[byte][]byte{}}
	for rest := body[9:]; len(rest) > 0; {
		if len(rest) < 3 || len(rest) < 3+int(binary.BigEndian.Uint16(rest[1:])) {
			return m, fmt.Errorf("a parameter exceeds the message")
		}
		n := 3 + int(binary.BigEndian.Uint16(rest[1:]))
		m.params[rest[0]] = rest[3:n]
		rest = rest[n:]
	}
	return m, nil
}

func passesTest(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := conn.Write(encode(typeTest, 1, param{paramCause, []byte{0}})); err != nil {
		return false
	}
	m, err := decode(conn)
	return err == nil && m.kind == typeTestResult && len(m.params[paramCause]) == 1 && m.params[paramCause][0] == 1
}

// callerCall is a call as its caller sees it.
type callerCall struct {
	id          uint64
	sentAt      time.Time
	patience    time.Duration
	answers     []string // final answers, in order
	description []byte   // of the answer
	answeredAt  time.Time
	releasedAt  time.Time // after the answer
	cause       byte      // of that release
	gaveUpAt    time.Time
	finalAt     time.Time // when the first final answer came
	connLostAt  time.Time
	connLost    bool // its connection ended without an answer
}

func (c *callerCall) stands() bool {
	return !c.answeredAt.IsZero() && c.releasedAt.IsZero() && c.gaveUpAt.IsZero()
}

// caller is a client with one connection.
type caller struct {
	s    *scenario
	name string
	conn net.Conn

	mu     sync.Mutex
	calls  map[uint64]*callerCall
	nextID uint64
	closed bool
	overAt time.Time // when the connection ended
}

func (s *scenario) newCaller(name, addr string, firstID uint64) *caller {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		s.cannotRun("connect to the controller: %v", err)
	}
	c := &caller{s: s, name: name, conn: conn, calls: map[uint64]*callerCall{}, nextID: firstID}
	go c.read()
	s.atEnd(func() { conn.Close() })
	return c
}

// figures returns the value of parameter 79 of a call to an exchange.
func figures(dest, width int) string { return fmt.Sprintf("dest:%d;width:%d;via:-1", dest, width) }

func setUpMessage(id uint64, class string, patience time.Duration, figures string, description []byte) []byte {
	return encode(typeSetUp, id, param{paramClass, []byte(class)}, param{paramPatience, strconv.AppendInt(nil, patience.Milliseconds(), 10)},
		param{paramNumber, fmt.Appendf(nil, "%016x", id*0x9e3779b97f4a7c15)}, param{paramFigures, []byte(figures)},
		param{paramDescription, description})
}

// describe returns a description of the form on the protocol page.
func describe(id uint64) []byte {
	return fmt.Appendf(nil, "%016x\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n", id*0xd1342543de82ef95)
}

// setUp sends a set-up and returns the call.
func (c *caller) setUp(class string, patience time.Duration, figures string) *callerCall {
	c.mu.Lock()
	c.nextID++
	call := &callerCall{id: c.nextID, sentAt: time.Now(), patience: patience}
	c.calls[call.id] = call
	c.mu.Unlock()
	c.s.note("%s sends set-up %016x %s %s", c.name, call.id, class, figures)
	c.write(setUpMessage(call.id, class, patience, figures, describe(call.id)))
	return call
}

// giveUp takes a set-up back or ends a call that stands.
func (c *caller) giveUp(call *callerCall) {
	c.s.note("%s sends release %016x", c.name, call.id)
	c.mu.Lock()
	call.gaveUpAt = time.Now()
	c.mu.Unlock()
	c.write(encode(typeRelease, call.id, param{paramCause, []byte{16}}))
}

func (c *caller) write(b []byte) {
	if _, err := c.conn.Write(b); err != nil {
		c.s.note("%s can't write: %v", c.name, err)
	}
}

// isClosed reports whether the connection has ended.
func (c *caller) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// openAt reports whether the connection was open at a time.
func (c *caller) openAt(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed || c.overAt.After(t)
}

// state returns a copy of a call's state.
func (c *caller) state(call *callerCall) callerCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *call
}

func (c *caller) read() {
	reader := bufio.NewReader(c.conn)
	for {
		m, err := decode(reader)
		now := time.Now()
		if err != nil {
			c.mu.Lock()
			c.closed, c.overAt = true, now
			for _, call := range c.calls {
				if len(call.answers) == 0 {
					call.connLost, call.connLostAt = true, now
				}
			}
			c.mu.Unlock()
			c.s.note("%s: connection over: %v", c.name, err)
			return
		}
		c.mu.Lock()
		call := c.calls[m.call]
		switch {
		case call == nil || m.kind != typeAnswer && m.kind != typeRelease:
		case m.kind == typeAnswer:
			c.s.note("%s gets answer %016x after %v", c.name, m.call, now.Sub(call.sentAt).Round(time.Millisecond))
			call.answers = append(call.answers, "stands")
			call.finalAt = now
			call.answeredAt, call.description = now, m.params[paramDescription]
		default:
			cause := byte(0)
			if value := m.params[paramCause]; len(value) == 1 {
				cause = value[0]
			}
			c.s.note("%s gets release %016x cause %d", c.name, m.call, cause)
			if call.answeredAt.IsZero() {
				call.answers = append(call.answers, fmt.Sprintf("release %d", cause))
				call.finalAt = now
			} else if call.releasedAt.IsZero() {
				call.releasedAt, call.cause = now, cause
			}
		}
		c.mu.Unlock()
	}
}
