package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// The buffers of a connection come from pools while it carries a request. An idle
// connection has none: a node has hundreds to thousands of open connections, most
// of which are idle.
var (
	serverReaders = bufferPool(readBufferSize)
	clientReaders = bufferPool(clientBufferSize)
	writers       = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferSize) }}
)

const (
	// readBufferSize holds the largest request head that is accepted.
	readBufferSize   = 16<<10 + 512
	clientBufferSize = 4 << 10
	writeBufferSize  = 4 << 10
)

func bufferPool(size int) *sync.Pool {
	return &sync.Pool{New: func() any { return bufio.NewReaderSize(nil, size) }}
}

func takeReader(pool *sync.Pool, from io.Reader) *bufio.Reader {
	br := pool.Get().(*bufio.Reader)
	br.Reset(from)
	return br
}

func putReader(pool *sync.Pool, br *bufio.Reader) {
	br.Reset(nil)
	pool.Put(br)
}

func takeWriter(to io.Writer) *bufio.Writer {
	bw := writers.Get().(*bufio.Writer)
	bw.Reset(to)
	return bw
}

func putWriter(bw *bufio.Writer) {
	bw.Reset(nil)
	writers.Put(bw)
}

// input reads from a connection. While it waits for the first byte of a request,
// no buffer is needed.
type input struct {
	nc  net.Conn
	raw syscall.RawConn // nil if nc is not a TCP connection

	// While poll is set, Read reads from this descriptor without blocking.
	poll bool
	fd   int
}

func newInput(nc net.Conn) *input {
	in := &input{nc: nc}
	if tcp, ok := nc.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			in.raw = raw
		}
	}
	return in
}

// Read implements io.Reader.
func (in *input) Read(p []byte) (int, error) {
	if !in.poll {
		return in.nc.Read(p)
	}
	for {
		n, err := syscall.Read(in.fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

// await waits until bytes arrive and returns a reader from the pool that has
// buffered them. It honours the read deadline of the connection. The caller
// returns the reader to the pool.
func (in *input) await(pool *sync.Pool) (*bufio.Reader, error) {
	if in.raw == nil {
		br := takeReader(pool, in)
		if _, err := br.Peek(1); err != nil {
			putReader(pool, br)
			return nil, err
		}
		return br, nil
	}
	var br *bufio.Reader
	var readErr error
	err := in.raw.Read(func(fd uintptr) bool {
		in.poll, in.fd = true, int(fd) //nolint:gosec // a descriptor is small
		defer func() { in.poll = false }()
		br = takeReader(pool, in)
		if _, readErr = br.Peek(1); readErr != nil {
			putReader(pool, br)
			br = nil
		}
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	if err != nil {
		return nil, err
	}
	if readErr != nil {
		return nil, readErr
	}
	return br, nil
}
