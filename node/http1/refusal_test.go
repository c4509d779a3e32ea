package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startNumberServer starts a server that answers each request with the number of its connection and closes none.
func startNumberServer(t *testing.T) string {
	connections := make(chan int, 1)
	connections <- 0
	return startConnServer(t, func(nc net.Conn, br *bufio.Reader) {
		n := <-connections + 1
		connections <- n
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 503 X\r\nContent-Length: 1\r\n\r\n"+strconv.Itoa(n))
		}
	})
}

// Guards against a request being sent on a connection on which a request with its ID was refused, and against a connection
// being given up although none was.
func TestConnectionCarriesNoRequestThatItRefused(t *testing.T) {
	address := startNumberServer(t)
	p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	send := func(id string, refused bool) string {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		r, err := p.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "x", ID: id})
		require.NoError(t, err)
		if refused {
			r.MarkRefused()
		}
		body, complete, err := r.ReadBody(10)
		require.NoError(t, err)
		require.True(t, complete)
		return string(body)
	}
	assert.Equal(t, "1", send("a", true))
	assert.Equal(t, "1", send("b", false), "another request may use the connection")
	assert.Equal(t, "2", send("a", true), "a copy of the refusal may come on connection 1")
	assert.Equal(t, "2", send("b", false))
	assert.Equal(t, "3", send("a", false))
	assert.Equal(t, "3", send("a", false), "it was not refused on connection 3")
	assert.Equal(t, "3", send("", true))
	assert.Equal(t, "2", send("c", false), "connection 3 refused a request without an ID")
}

// Guards against a connection that remembers refusals without bound.
func TestRefusalsOfAConnectionAreBounded(t *testing.T) {
	c := &clientConn{}
	for i := range maxRefusedIDs {
		require.True(t, c.recordRefusal(strconv.Itoa(i)))
	}
	assert.False(t, c.recordRefusal("one more"))
}

// Guards against a response without an ID that follows one of another request being taken for one of the request.
func TestResponseWithoutIDAfterAnotherIsNotTaken(t *testing.T) {
	address := startAnswerServer(t, "HTTP/1.1 503 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"+
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
	p := NewPool(PoolConfig{Dial: time.Second, Idle: time.Minute, MaxHead: testMaxHead})
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := p.Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "x", Match: func(r *http.Response) Match {
		if r.Header.Get("Request-Id") == "" {
			return MatchUnknown
		}
		return MatchOther
	}})
	assert.ErrorIs(t, err, errUnidentified)
}
