package confsync

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucangw.example/core/gossip"
	"toucangw.example/standin/rawupstream"
)

// Guards against a broken answer of the platform being believed.
func TestBrokenAnswersOfThePlatformAreErrors(t *testing.T) {
	const body = `{"revision":7,"digest":"","values":[]}`
	for name, head := range map[string]string{
		"blank in a name":     "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 38\r\n\r\n",
		"length with a blank": "HTTP/1.1 200 OK\r\nContent-Length : 9\r\nConnection: close\r\n\r\n",
		"000, then an answer": "HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n",
		"cut head":            "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawupstream.Listen("127.0.0.1:0", func(x *rawupstream.Exchange) bool {
				x.Write(head)
				if name != "cut head" {
					x.Write(body)
				}
				return false
			})
			require.NoError(t, err)
			t.Cleanup(server.Close)
			_, err = newPlatformClient([]string{server.Addr()}).readFrom(t.Context(), server.Addr(), gossip.Read{Prefix: "config/"})
			require.Error(t, err)
		})
	}
}
