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

// exchange stands in for one exchange. It answers each set-up after setUpTime, lets the call stand for hold and
// then releases it with cause 16: on the connection of the set-up, otherwise on any open one, and on the next
// one opened as well.
type exchange struct {
	s         *scenario
	name      string
	number    int
	setUpTime time.Duration
	hold      func(callID string) time.Duration // 0: until a release comes
	behave    func(callID string) string        // what is done with a set-up; nil or "": it is answered
	circuits  int
	listener  net.Listener

	mu       sync.Mutex
	hung     chan struct{} // closed when the hang ends; nil while there is none
	conns    []*exchangeConn
	standing map[string]*standingCall
	pending  map[string]*exchangeConn // set-ups without an answer
	again    []string                 // releases to be sent on the next connection as well
	arrivals []arrival                // set-ups
	attempts []*attempt               // the same, with their ends
	cut      map[string]bool          // calls that were cut when it stopped
	took     map[string]bool          // calls that stood here
	ended    map[string]time.Time     // when calls came to their end
	released map[string]time.Time     // when their releases were written
}

type exchangeConn struct {
	net.Conn
	closed bool
}

type standingCall struct{ conn *exchangeConn }

// arrival is a set-up that arrived whole.
type arrival struct {
	call string
	at   time.Time
}

// attempt is a set-up from its arrival until its end is written or it is given up.
type attempt struct {
	call        string
	at, endedAt time.Time
	how         string
	conn        *exchangeConn
}

// endAttempt notes the end of an attempt; x.mu is held.
func (x *exchange) endAttempt(call string, conn *exchangeConn, how string) {
	for _, a := range x.attempts {
		if a.call == call && a.conn == conn && a.endedAt.IsZero() {
			a.endedAt, a.how = time.Now(), how
		}
	}
}

// resetIdle resets a connection without an open set-up.
func (x *exchange) resetIdle() {
	x.lock()
	defer x.mu.Unlock()
	for _, conn := range x.conns {
		busy := false
		for _, of := range x.pending {
			busy = busy || of == conn
		}
		if !busy {
			x.s.note("%s resets idle connection %s", x.name, conn.RemoteAddr())
			conn.closed = true
			reset(conn.Conn)
			return
		}
	}
}

func (s *scenario) newExchange(name string, number int) *exchange {
	return s.newExchangeAt("127.0.0.1:0", name, number)
}

// stop ends the exchange's process: connections are reset and calls cut.
func (x *exchange) stop() {
	x.lock()
	defer x.mu.Unlock()
	x.s.note("%s stops; its connections are reset and its %d calls cut", x.name, len(x.standing))
	x.listener.Close()
	for _, conn := range x.conns {
		conn.closed = true
		reset(conn.Conn)
	}
	for id := range x.standing {
		x.ended[id], x.cut[id] = time.Now(), true
	}
	x.standing, x.pending = map[string]*standingCall{}, map[string]*exchangeConn{}
}

func (s *scenario) newExchangeAt(addr, name string, number int) *exchange {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		s.cannotRun("exchange: %v", err)
	}
	x := &exchange{s: s, name: name, number: number, setUpTime: 20 * time.Millisecond, circuits: 60, listener: listener,
		hold:     func(string) time.Duration { return 3 * time.Second },
		standing: map[string]*standingCall{}, took: map[string]bool{}, cut: map[string]bool{}, pending: map[string]*exchangeConn{}, ended: map[string]time.Time{}, released: map[string]time.Time{}}
	go x.accept()
	s.atEnd(func() {
		listener.Close()
		x.mu.Lock()
		defer x.mu.Unlock()
		for _, conn := range x.conns {
			conn.Close()
		}
	})
	return x
}

func (x *exchange) addr() string { return x.listener.Addr().String() }

// hang makes the exchange do nothing until resume is called: the machine still accepts connections and data.
func (x *exchange) hang() {
	x.s.note("%s hangs", x.name)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hung = make(chan struct{})
}

// noCircuits lets the group to the exchange have no free circuit from now on.
func (x *exchange) noCircuits() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.circuits = 0
	x.notify(x.conns...)
}

func (x *exchange) resume() {
	x.s.note("%s goes on", x.name)
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.hung)
	x.hung = nil
}

// lock waits until the exchange does not hang and locks it.
func (x *exchange) lock() {
	for {
		x.mu.Lock()
		hung := x.hung
		if hung == nil {
			return
		}
		x.mu.Unlock()
		<-hung
	}
}

func (x *exchange) accept() {
	for {
		netConn, err := x.listener.Accept()
		if err != nil {
			return
		}
		x.lock()
		conn := &exchangeConn{Conn: netConn}
		x.conns = append(x.conns, conn)
		x.s.note("%s: connection %s opened", x.name, netConn.RemoteAddr())
		again := x.again
		x.again = nil
		x.notify(conn)
		for _, id := range again {
			if !x.sendBye(conn, id) {
				x.again = append(x.again, id)
				continue
			}
			x.s.note("%s sends release %s again, on the connection opened next", x.name, id)
			if x.released[id].IsZero() {
				x.released[id] = time.Now()
			}
		}
		x.mu.Unlock()
		go x.serve(conn)
	}
}

// notify tells the state of the group; x.mu is held.
func (x *exchange) notify(conns ...*exchangeConn) {
	for _, conn := range conns {
		if !conn.closed {
			fmt.Fprintf(conn, "NOTIFY sip:group@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\nLink-State: idle:%d;circuits:%d\r\nContent-Length: 0\r\n\r\n",
				max(x.circuits-len(x.standing)-len(x.pending), 0), x.circuits)
		}
	}
}

func (x *exchange) sendBye(conn *exchangeConn, id string) bool {
	_, err := fmt.Fprintf(conn, "BYE sip:%s@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", id, id)
	return err == nil
}

// sipRequest is a message that was read.
type sipRequest struct {
	method, callID string
	header         textproto.MIMEHeader
	body           []byte
	status         int
}

func readSIP(r *bufio.Reader) (m sipRequest, err error) {
	text := textproto.NewReader(r)
	line, err := text.ReadLine()
	if err != nil {
		return m, err
	}
	if m.header, err = text.ReadMIMEHeader(); err != nil {
		return m, err
	}
	length, err := strconv.Atoi(m.header.Get("Content-Length"))
	if err != nil {
		return m, err
	}
	m.body = make([]byte, length)
	if _, err = io.ReadFull(r, m.body); err != nil {
		return m, err
	}
	m.callID = m.header.Get("Call-ID")
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, _, _ := strings.Cut(rest, " ")
		m.status, err = strconv.Atoi(code)
		return m, err
	}
	m.method, _, _ = strings.Cut(line, " ")
	return m, nil
}

func (x *exchange) serve(conn *exchangeConn) {
	reader := bufio.NewReader(conn)
	for {
		m, err := readSIP(reader)
		x.lock()
		if err != nil {
			conn.closed = true
			conn.Close()
			for id, of := range x.pending {
				if of == conn {
					delete(x.pending, id) // given up
					x.endAttempt(id, conn, "closed")
				}
			}
			x.conns = deleteConn(x.conns, conn)
			x.s.note("%s: connection %s over: %v", x.name, conn.RemoteAddr(), err)
			x.mu.Unlock()
			return
		}
		x.handle(conn, m)
		x.mu.Unlock()
	}
}

func deleteConn(conns []*exchangeConn, conn *exchangeConn) (rest []*exchangeConn) {
	for _, other := range conns {
		if other != conn {
			rest = append(rest, other)
		}
	}
	return rest
}

// handle handles a message of the controller; x.mu is held.
func (x *exchange) handle(conn *exchangeConn, m sipRequest) {
	switch m.method {
	case "OPTIONS":
		x.respond(conn, m, 200, nil)
	case "INVITE":
		x.s.note("%s gets set-up %s", x.name, m.callID)
		x.arrivals = append(x.arrivals, arrival{m.callID, time.Now()})
		x.attempts = append(x.attempts, &attempt{call: m.callID, at: time.Now(), conn: conn})
		x.pending[m.callID] = conn
		time.AfterFunc(x.setUpTime, func() { x.answer(conn, m) })
		x.notify(x.conns...)
	case "CANCEL":
		x.s.note("%s gets cancel %s", x.name, m.callID)
		delete(x.pending, m.callID)
		x.endAttempt(m.callID, conn, "cancel")
		x.notify(x.conns...)
	case "BYE":
		x.s.note("%s gets release %s", x.name, m.callID)
		x.respond(conn, m, 200, nil)
		if x.standing[m.callID] != nil {
			delete(x.standing, m.callID)
			x.ended[m.callID], x.released[m.callID] = time.Now(), time.Now()
			x.notify(x.conns...)
		}
	}
}

func (x *exchange) respond(conn *exchangeConn, m sipRequest, status int, body []byte) {
	fmt.Fprintf(conn, "SIP/2.0 %d OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: 1 %s\r\nContent-Length: %d\r\n\r\n%s", status, m.callID, m.method, len(body), body)
}

// answer lets a call stand.
func (x *exchange) answer(conn *exchangeConn, m sipRequest) {
	x.lock()
	defer x.mu.Unlock()
	if x.pending[m.callID] != conn {
		return // given up
	}
	how := ""
	if x.behave != nil {
		how = x.behave(m.callID)
	}
	if how != "" {
		x.s.note("%s does %s with %s", x.name, how, m.callID)
	}
	switch how {
	case "503", "486", "500", "480", "504":
		status, _ := strconv.Atoi(how)
		delete(x.pending, m.callID)
		x.endAttempt(m.callID, conn, how)
		x.respond(conn, m, status, nil)
		x.notify(x.conns...)
		return
	case "silent":
		return
	case "reset":
		conn.closed = true
		reset(conn.Conn)
		return
	case "bye":
		delete(x.pending, m.callID)
		x.endAttempt(m.callID, conn, "reset")
		fmt.Fprintf(conn, "BYE sip:%s@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n", m.callID, m.callID)
		x.notify(x.conns...)
		return
	}
	delete(x.pending, m.callID)
	x.endAttempt(m.callID, conn, "answer")
	x.standing[m.callID], x.took[m.callID] = &standingCall{conn}, true
	switch how {
	case "late":
		time.AfterFunc(700*time.Millisecond, func() { x.respond(conn, m, 200, append([]byte("answer "+x.name+" "), m.body...)) })
	case "spoilt":
		fmt.Fprintf(conn, "\x01\x02 noise \xff\r\n%d\r\n\r\n", len(m.body))
	case "short":
		fmt.Fprintf(conn, "SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: %d\r\n\r\n%s", m.callID, len(m.body)-9, m.body)
	case "reset-after":
		conn.closed = true
		reset(conn.Conn)
	case "copy":
		x.respond(conn, m, 200, append([]byte("answer "+x.name+" "), m.body...))
		time.AfterFunc(8*time.Millisecond, func() { x.respond(conn, m, 200, append([]byte("answer "+x.name+" "), m.body...)) })
	}
	if how != "" {
		x.notify(x.conns...)
		if hold := x.hold(m.callID); hold > 0 {
			time.AfterFunc(hold, func() { x.end(m.callID) })
		}
		return
	}
	x.s.note("%s answers set-up %s", x.name, m.callID)
	x.respond(conn, m, 200, append([]byte("answer "+x.name+" "), m.body...))
	if hold := x.hold(m.callID); hold > 0 {
		time.AfterFunc(hold, func() { x.end(m.callID) })
	}
}

// end ends a call whose time is over. While the exchange hangs, the release can't be sent.
func (x *exchange) end(id string) {
	now := time.Now()
	x.mu.Lock()
	if x.standing[id] != nil {
		x.ended[id] = now
		x.s.note("%s: call %s has come to its end", x.name, id)
	}
	x.mu.Unlock()
	x.lock()
	defer x.mu.Unlock()
	call := x.standing[id]
	if call == nil {
		return
	}
	delete(x.standing, id)
	for _, conn := range append([]*exchangeConn{call.conn}, x.conns...) {
		if !conn.closed && x.sendBye(conn, id) {
			x.s.note("%s sends release %s on connection %s", x.name, id, conn.RemoteAddr())
			x.released[id] = time.Now()
			break
		}
	}
	x.again = append(x.again, id)
	x.notify(x.conns...)
}

// callName returns the id of a call as exchanges see it.
func callName(id uint64) string { return fmt.Sprintf("%016x", id) }

// exchangeName returns the name of the exchange with a number.
func exchangeName(number int) string { return fmt.Sprintf("s-%02d%06x", number, 0xc41f7a) }
