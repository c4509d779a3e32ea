package http1

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP
	// keep-alive, which detects an unreachable peer while the connection
	// carries no data.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout closes a connection whose peer does not acknowledge data.
	// It tolerates the loss of two packets in a row.
	unackedTimeout = 1500 * time.Millisecond
	// optUserTimeout is the Linux socket option TCP_USER_TIMEOUT, whose value is
	// in milliseconds.
	optUserTimeout = 0x12
)

// setTCPOptions sets the socket options that detect an unreachable peer. Errors
// are ignored: without the options, only the detection is slower.
func setTCPOptions(nc net.Conn) {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// Dial opens a TCP connection on which an unreachable peer is detected within
// seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	d.KeepAlive = -1 // set by setTCPOptions
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	setTCPOptions(nc)
	return nc, nil
}

// reusable reports whether an idle connection is open and has no data to read. An
// unsolicited response makes it unusable.
func reusable(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
