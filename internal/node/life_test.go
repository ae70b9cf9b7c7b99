package node

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliaspindle/internal/isup"
	"dahliaspindle/internal/sip"
)

// begin starts a node on a configuration made from the bed's by replacing text, with signals sent before.
func (b *bed) begin(before []os.Signal, replace ...string) (term chan os.Signal, ended chan error) {
	b.t.Helper()
	raw := strings.NewReplacer(replace...).Replace(fmt.Sprintf(platform, b.res.pc.LocalAddr(), b.x.ln.Addr()))
	cfg, err := parse([]byte(raw))
	if err != nil {
		b.t.Fatal(err)
	}
	hup, term := make(chan os.Signal, 4), make(chan os.Signal, 4)
	for _, s := range before {
		term <- s
	}
	ended = make(chan error, 1)
	n := b.node(cfg)
	go func() { ended <- n.run(hup, term, func() (*Config, error) { return parse([]byte(raw)) }) }()
	b.t.Cleanup(func() {
		select {
		case term <- syscall.SIGTERM:
		default:
		}
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			b.t.Error("the node did not leave")
		}
	})
	return term, ended
}

func (b *bed) left(ended chan error, within time.Duration) {
	b.t.Helper()
	select {
	case err := <-ended:
		if err != nil {
			b.t.Errorf("run: %v", err)
		}
		ended <- nil
	case <-time.After(within):
		b.t.Errorf("it did not leave within %v", within)
	}
}

// SIGTERM during the start, twice, or with a new configuration: what is taken in the platform's window is
// answered, and the program ends in order.
func TestLeavingAtOddMoments(t *testing.T) {
	for what, early := range map[string][]os.Signal{"during the start": {syscall.SIGTERM}, "twice": {syscall.SIGTERM, syscall.SIGTERM}} {
		t.Run(what, func(t *testing.T) {
			b := &bed{t: t, x: newExchange(t)}
			b.res = newDNS(t, b.x)
			_, ended := b.begin(early)
			p := b.phone()
			p.call(7, "3000")
			in := b.x.await(sip.Invite)
			b.x.say(in.nc, in.m, 486, "")
			p.hear(isup.Release)
			b.left(ended, 3*time.Second)
		})
	}
	t.Run("with a new configuration", func(t *testing.T) {
		b := newBed(t)
		p := b.ready()
		p.call(7, "3000")
		in := b.x.await(sip.Invite)
		b.hup <- syscall.SIGHUP
		b.term <- syscall.SIGTERM
		b.x.say(in.nc, in.m, 486, "")
		p.hear(isup.Release)
		b.left(b.ended, 3*time.Second)
	})
}

// An answer that comes after the platform's last moment is not waited for: the caller has its word, the
// exchange its CANCEL, by then.
func TestLeavingAnswersWhatNeverEnds(t *testing.T) {
	b := newBed(t)
	p := b.ready()
	began := time.Now()
	p.call(7, "4000") // longer than the platform waits
	b.x.await(sip.Invite)
	b.term <- syscall.SIGTERM
	m := p.hear(isup.Release)
	if d := time.Since(began); m.Cause() != isup.TemporaryFailure || d < 2*time.Second || d > 3600*time.Millisecond {
		t.Errorf("cause %d after %v", m.Cause(), d)
	}
	b.x.await(sip.Cancel)
	b.left(b.ended, 3700*time.Millisecond-time.Since(began))
}

// A controller is ready at once, whatever it knows and whoever answers: from an empty list, and from one
// whose only exchange is not there, with nobody to tell a better one.
func TestReadyWithoutAListOrAResolver(t *testing.T) {
	for what, replace := range map[string][]string{
		"empty": {`"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[`, `"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[]}}]},"unused":{"entries":[{"pos":1,"hosts":{"whole":true,"hosts":[`},
		"stale": {`"block":1`, `"block":2`},
	} {
		t.Run(what, func(t *testing.T) {
			b := &bed{t: t, x: newExchange(t)}
			b.res = newDNS(t, b.x)
			b.res.mu.Lock()
			b.res.mute = true
			b.res.mu.Unlock()
			b.x.ln.Close() // the one that is known is not there
			began := time.Now()
			b.begin(nil, replace...)
			p := b.ready()
			p.call(7, "1500")
			if m := p.hear(isup.Release); m.Cause() == isup.InvalidContents {
				t.Error("a call to an exchange that is not listed yet is told to be invalid")
			}
			if d := time.Since(began); d > 3*time.Second {
				t.Errorf("ready and answering after %v", d)
			}
		})
	}
}

// Idle callers take all the connections they can get while nobody tells the list: the resolver is asked
// on, exchanges are dialled, and who calls is served.
func TestIdleCallersLeaveRoomForTheProgram(t *testing.T) {
	b := &bed{t: t, x: newExchange(t)}
	b.res = newDNS(t, b.x)
	b.res.mu.Lock()
	b.res.mute = true
	b.res.mu.Unlock()
	b.begin(nil, `"sockets":256`, `"sockets":64`)
	b.ready()
	open := 0
	var idle []net.Conn
	for range 60 { // 20 are for callers, and a few while room is made
		nc, err := net.Dial("tcp", b.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		idle = append(idle, nc)
	}
	for _, nc := range idle {
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // fails only on a closed connection
		if _, err := nc.Read(make([]byte, 1)); os.IsTimeout(err) {
			open++
		}
	}
	if open > 23 {
		t.Errorf("%d idle callers are held, 20 are to be", open)
	}
	asked := b.res.questions()
	b.x.cut() // all connections to the exchange
	await(t, func() bool { return b.res.questions() > asked+2 })
	p := b.phone()
	p.call(7, "3000")
	in := b.x.await(sip.Invite)
	b.x.say(in.nc, in.m, 200, "")
	p.hear(isup.Answer)
}
