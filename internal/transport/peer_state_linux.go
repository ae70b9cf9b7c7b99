package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection in which the peer has closed or reset it, as in the kernel's tcp_states.h.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// peerHasClosed reports whether the peer has closed or reset a TCP connection, also while data that it sent before
// is unread. It returns false where that cannot be told.
func peerHasClosed(netConn net.Conn) bool {
	socket, ok := netConn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		switch info.State {
		case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			closed = true
		}
	})
	return err == nil && closed
}
