package http1

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection
	// that has gone silent while it carries no data.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout ends a connection whose peer does not acknowledge data.
	// It allows for two lost packets in a row.
	unackedTimeout = 1500 * time.Millisecond
	// optUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds.
	optUserTimeout = 0x12
)

// tune sets the options that find a dead peer. A connection without them
// works as well, only slower to fail, so that errors are of no consequence.
func tune(nc net.Conn) {
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

// Dial opens a connection whose dead peer is found within seconds.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	d.KeepAlive = -1 // set by tune
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tune(nc)
	return nc, nil
}

// quiet reports that an idle connection is open and has nothing to read. An
// answer that nobody asked for makes it unusable.
func quiet(nc net.Conn) bool {
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
