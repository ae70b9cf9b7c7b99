package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a set-up that has arrived whole at an exchange.
type arrival struct {
	callID  string
	firstAt time.Time // first byte
	at      time.Time // last byte
	body    string
	from    string // address of the network's end of the connection
}

// standing is a call that stands at an exchange.
type standing struct {
	callID  string
	conn    *exchangeConn // connection of its set-up
	timer   *time.Timer
	answer  string
	stoodAt time.Time
}

// release is a release that an exchange has written.
type release struct {
	callID string
	at     time.Time
	cause  int
	repeat bool // sent already on a connection opened later
}

// exchange is an exchange as PROTOCOL.md describes it. Controllers reach it through its proxy.
type exchange struct {
	rec      *recorder
	name     string
	cell     int
	circuits int
	listener net.Listener
	proxy    *proxy
	setUp    func() time.Duration                  // time from a set-up to its answer
	holding  func() time.Duration                  // from the answer to the release
	describe func(callID string) string            // description in the answer
	spoil    func(id, message, body string) string // changes an answer on its way, or nil

	mu       sync.Mutex
	conns    []*exchangeConn
	opened   int
	arrivals []arrival
	open     map[string]*exchangeConn // set-ups without an answer
	calls    map[string]*standing
	releases []*release
	cut      int // calls that the controller released
}

type exchangeConn struct {
	net.Conn
	x       *exchange
	number  int
	writeMu sync.Mutex
	open    int
	closed  bool
}

func newExchange(rec *recorder, name string, cell, circuits int, oneWay time.Duration) (*exchange, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &exchange{rec: rec, name: name, cell: cell, circuits: circuits, listener: l, open: map[string]*exchangeConn{}, calls: map[string]*standing{},
		setUp:    func() time.Duration { return 60 * time.Millisecond },
		holding:  func() time.Duration { return 10 * time.Second },
		describe: func(id string) string { return id + "\r\nc=IN IP4 10.9.9.9\r\nm=audio 40000 RTP/AVP 0\r\n" }}
	if x.proxy, err = newProxy(rec, name, l.Addr().String(), oneWay); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			x.accept(c)
		}
	}()
	return x, nil
}

func (x *exchange) entry() listEntry {
	return listEntry{name: x.name, cell: x.cell, addr: x.proxy.listener.Addr().(*net.TCPAddr)}
}

func (x *exchange) accept(netConn net.Conn) {
	x.mu.Lock()
	x.opened++
	c := &exchangeConn{Conn: netConn, x: x, number: x.opened}
	x.conns = append(x.conns, c)
	var again []*release
	for _, r := range x.releases { // a release is sent on the next connection opened as well
		if !r.repeat {
			r.repeat = true
			again = append(again, r)
		}
	}
	x.mu.Unlock()
	x.rec.logf("%s: connection %d opened", x.name, c.number)
	go func() {
		c.write(x.groupState())
		for _, r := range again {
			x.rec.logf("%s: release %s cause %d again, on the new connection %d", x.name, r.callID, r.cause, c.number)
			c.write(bye(r.callID, r.cause))
		}
		c.serve()
	}()
}

func bye(callID string, cause int) string {
	return fmt.Sprintf("BYE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=%d\r\nContent-Length: 0\r\n\r\n", callID, callID, cause)
}

func (x *exchange) linkState() string {
	return fmt.Sprintf("Link-State: idle:%d;circuits:%d\r\n", max(x.circuits-len(x.calls)-len(x.open), 0), x.circuits)
}

// groupState returns a NOTIFY with the state of the group.
func (x *exchange) groupState() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return "NOTIFY sip:exchange@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\n" + x.linkState() + "Content-Length: 0\r\n\r\n"
}

func (c *exchangeConn) write(s string) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(c.Conn, s)
	return err == nil
}

func response(status int, callID, cseq, extra, body string) string {
	return fmt.Sprintf("SIP/2.0 %d x\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, callID, cseq, extra, len(body), body)
}

func (c *exchangeConn) serve() {
	defer c.ended()
	r := bufio.NewReader(c.Conn)
	text := textproto.NewReader(r)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		firstAt := time.Now()
		line, err := text.ReadLine()
		if err != nil {
			return
		}
		header, err := text.ReadMIMEHeader()
		if err != nil {
			return
		}
		n, err := strconv.Atoi(header.Get("Content-Length"))
		if err != nil || n < 0 || n > 16<<10 {
			return
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		c.handle(line, header, string(body), firstAt)
	}
}

func (c *exchangeConn) handle(line string, header textproto.MIMEHeader, body string, firstAt time.Time) {
	x, id := c.x, header.Get("Call-Id")
	method, _, _ := strings.Cut(line, " ")
	switch method {
	case "OPTIONS":
		c.write(response(200, id, header.Get("Cseq"), "", ""))
	case "INVITE":
		now := time.Now()
		x.mu.Lock()
		x.arrivals = append(x.arrivals, arrival{id, firstAt, now, body, c.networkEnd()})
		x.open[id] = c
		c.open++
		wait := x.setUp()
		x.mu.Unlock()
		x.rec.logf("%s: set-up %s on connection %d, answer within %s", x.name, id, c.number, header.Get("Answer-Within"))
		time.AfterFunc(wait, func() { x.answer(c, id) })
	case "CANCEL":
		x.mu.Lock()
		if x.open[id] == c {
			delete(x.open, id)
			c.open--
		}
		x.mu.Unlock()
		x.rec.logf("%s: set-up %s given up", x.name, id)
	case "BYE":
		c.write(response(200, id, header.Get("Cseq"), "", ""))
		x.mu.Lock()
		if k := x.calls[id]; k != nil {
			k.timer.Stop()
			delete(x.calls, id)
			x.cut++
		}
		x.mu.Unlock()
		x.rec.logf("%s: call %s released by the controller", x.name, id)
	}
}

// answer answers an open set-up: the call stands.
func (x *exchange) answer(c *exchangeConn, id string) {
	x.mu.Lock()
	if x.open[id] != c || c.closed {
		x.mu.Unlock()
		return
	}
	delete(x.open, id)
	c.open--
	k := &standing{callID: id, conn: c, answer: x.describe(id), stoodAt: time.Now()}
	x.calls[id] = k
	k.timer = time.AfterFunc(x.holding(), func() { x.end(k) })
	state := x.linkState()
	x.mu.Unlock()
	x.rec.logf("%s: answer %s on connection %d", x.name, id, c.number)
	message := response(200, id, "1 INVITE", state, k.answer)
	if x.spoil != nil {
		message = x.spoil(id, message, k.answer)
	}
	c.write(message)
}

// end ends a call that stands: the release goes out on the connection of the set-up, otherwise on any
// open one, and later on the next one opened as well.
func (x *exchange) end(k *standing) {
	x.mu.Lock()
	if x.calls[k.callID] != k {
		x.mu.Unlock()
		return
	}
	delete(x.calls, k.callID)
	c := k.conn
	if c.closed {
		c = nil
		for _, other := range x.conns {
			if !other.closed {
				c = other
			}
		}
	}
	r := &release{callID: k.callID, at: time.Now(), cause: 16}
	x.releases = append(x.releases, r)
	x.mu.Unlock()
	if c == nil {
		x.rec.logf("%s: release %s: no connection is open", x.name, k.callID)
		return
	}
	ok := c.write(bye(k.callID, 16))
	x.rec.logf("%s: release %s on connection %d, written: %v", x.name, k.callID, c.number, ok)
	c.write(x.groupState())
}

// ended handles the end of a connection: its open set-ups are given up, calls that stand go on.
func (c *exchangeConn) ended() {
	c.Close()
	x := c.x
	x.mu.Lock()
	c.closed = true
	for id, conn := range x.open {
		if conn == c {
			delete(x.open, id)
		}
	}
	c.open = 0
	for i, other := range x.conns {
		if other == c {
			x.conns = append(x.conns[:i:i], x.conns[i+1:]...)
			break
		}
	}
	x.mu.Unlock()
	x.rec.logf("%s: connection %d closed", x.name, c.number)
}

// crash ends the processor: all calls are cut, without a word.
func (x *exchange) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, k := range x.calls {
		k.timer.Stop()
	}
	clear(x.calls)
	clear(x.open)
}

// stop closes everything.
func (x *exchange) stop() {
	x.listener.Close()
	x.proxy.stop()
}

// networkEnd returns the address from which the network's end of the connection comes.
func (c *exchangeConn) networkEnd() string { return c.RemoteAddr().String() }

func hex16(id uint64) string { return fmt.Sprintf("%016x", id) }
