package control

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"toucangw.example/core/gossip"
	"toucangw.example/core/member"
	"toucangw.example/peer"
)

// packetBytes is the size of the Ethernet, IP and TCP headers of the packet that
// carries a small message, plus half of that for acknowledgements: a request is
// acknowledged by the packet of its reply, a reply by a packet of its own.
const packetBytes = 66 + 33

// exchangeServer answers gossip exchanges in which nothing has changed.
type exchangeServer struct {
	peer.UnimplementedPeerServer
	state *gossip.State
}

func (s *exchangeServer) Exchange(_ context.Context, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	reply, _ := s.state.HandleExchange(time.Now(), peer.ToExchangeRequest(m))
	return peer.FromExchangeReply(reply, 1), nil
}

// countingConn counts the bytes on a connection.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Transport measures gossip exchanges without changes over a real connection. It
// returns the bytes that a message takes beyond its protobuf encoding.
func Transport(ctx context.Context) (float64, []Row, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, nil, err
	}
	random := func(int) int { return 0 }
	now := time.Now()
	server := grpc.NewServer()
	peer.RegisterPeerServer(server, &exchangeServer{state: gossip.New(now, gossip.Config{Self: "host-00002", Zone: "zone-a", Random: random})})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	var sent, received atomic.Int64
	client, err := grpc.NewClient(listener.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return countingConn{conn, &sent, &received}, err
		}))
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = client.Close() }()
	stub := peer.NewPeerClient(client)
	request := peer.FromExchangeRequest(sampleRequest(), 1_700_000_000_000)
	const calls = 2000
	var replyBytes int
	exchange := func(int) {
		reply, callErr := stub.Exchange(ctx, request)
		if callErr != nil {
			err = callErr
			return
		}
		replyBytes = proto.Size(reply)
	}
	for i := range 50 {
		exchange(i) // header compression takes effect only after a few calls
	}
	sent.Store(0)
	received.Store(0)
	ms := cpuPerRun(calls, exchange)
	if err != nil {
		return 0, nil, err
	}
	framing := float64(sent.Load()+received.Load())/calls - float64(proto.Size(request)+replyBytes)
	overhead := framing/2 + packetBytes
	row := func(metric, unit string, value float64) Row {
		return Row{Scenario: "exchange at rest", Deployment: Deployment, Variant: "gRPC over loopback", Metric: metric, Unit: unit, Value: value}
	}
	return overhead, []Row{
		row("request", "bytes", float64(proto.Size(request))),
		row("reply", "bytes", float64(replyBytes)),
		row("framing per message (HTTP/2, gRPC)", "bytes", framing/2),
		row("overhead per message with packet headers", "bytes", overhead),
		row("processor time, both sides", "ms", ms),
	}, nil
}

// sampleRequest returns an exchange request without changes.
func sampleRequest() *gossip.ExchangeRequest {
	const revision = 1_700_000_000_000
	return &gossip.ExchangeRequest{
		From: member.HostID("host-00001"),
		Snapshots: []gossip.SnapshotVersion{
			{Prefix: gossip.ConfigPrefix, Active: revision, Latest: revision},
			{Prefix: gossip.HostsPrefix, Active: revision, Latest: revision},
		},
		HostStateDigest: 1 << 60,
		Heartbeat:       gossip.ReaderHeartbeat{Zone: "zone-a", Reader: "host-00003", Age: time.Second},
	}
}

// messageBytes returns the protobuf size of a message.
func messageBytes(message any) int {
	const incarnation = 1_700_000_000_000
	var m proto.Message
	switch v := message.(type) {
	case *gossip.ExchangeRequest:
		m = peer.FromExchangeRequest(v, incarnation)
	case *gossip.ExchangeReply:
		m = peer.FromExchangeReply(v, incarnation)
	case *gossip.PushRequest:
		m = peer.FromPushRequest(v, incarnation)
	case *gossip.PushReply:
		m = peer.FromPushReply(v, incarnation)
	}
	return proto.Size(m)
}

func updateBytes(u gossip.Update) int {
	return messageBytes(&gossip.PushRequest{Updates: []gossip.Update{u}})
}
