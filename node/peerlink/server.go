package peerlink

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"toucangw.example/core/engine"
	"toucangw.example/core/member"
	"toucangw.example/core/verdict"
	"toucangw.example/node/driver"
	"toucangw.example/peer"
)

// streamWorkers is the number of goroutines that are reused for calls of peers;
// calls beyond it run on new goroutines. See driver.workers for the reason.
const streamWorkers = 64

// Handler answers the calls of peers.
type Handler interface {
	PeerCall(ctx context.Context, from member.HostID, c engine.PeerCall, p driver.Payload) *engine.Reply
	IssueKey(ctx context.Context, service, caller string) (string, *verdict.Refusal)
	LocalKey(ctx context.Context, key, caller string, fence bool) (driver.KeyState, error)
}

// GossipHandler answers gossip messages.
type GossipHandler interface {
	HandleExchange(ctx context.Context, m *peer.ExchangeRequest) (*peer.ExchangeReply, error)
	HandlePush(ctx context.Context, m *peer.PushRequest) (*peer.PushReply, error)
}

// ServerConfig lists what a Server needs.
type ServerConfig struct {
	Self    Self
	Handler Handler
	Gossip  GossipHandler // if nil, gossip messages are rejected
	// Allowed reports whether the member list has a host with this ID and
	// source address.
	Allowed func(host string, ip netip.Addr) bool
}

// Server is the gRPC service of a node. It is safe for concurrent use.
type Server struct {
	peer.UnimplementedPeerServer
	cfg  ServerConfig
	grpc *grpc.Server

	leaveOnce sync.Once
	stopOnce  sync.Once
	leaving   chan struct{} // closed when this host announces that it is leaving
	stopping  chan struct{} // closed to end the watch streams
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{
		cfg:      cfg,
		leaving:  make(chan struct{}),
		stopping: make(chan struct{}),
		grpc: grpc.NewServer(
			grpc.MaxRecvMsgSize(MaxMessage),
			grpc.MaxSendMsgSize(MaxMessage),
			grpc.ConnectionTimeout(connectTimeout*4),
			grpc.NumStreamWorkers(streamWorkers),
			grpc.UnaryInterceptor(recoverUnary),
			grpc.StreamInterceptor(recoverStream),
		),
	}
	peer.RegisterPeerServer(s.grpc, s)
	return s
}

// recoverUnary confines a panic of a handler to its call, whose outcome is then
// unknown to the caller.
func recoverUnary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	defer func() { err = recovered(err, recover()) }()
	return handler(ctx, req)
}

func recoverStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer func() { err = recovered(err, recover()) }()
	return handler(srv, stream)
}

// recovered returns the status of a call whose handler panicked with the given
// value, and err if the value is nil.
func recovered(err error, value any) error {
	if value == nil {
		return err
	}
	slog.Error("panic in a call of a peer", "value", fmt.Sprint(value), "stack", string(debug.Stack()))
	return status.Error(codes.Internal, "panic")
}

// Serve accepts connections until Stop.
func (s *Server) Serve(lis net.Listener) error { return s.grpc.Serve(lis) }

// Leave announces to all watching peers that this host is leaving.
func (s *Server) Leave() { s.leaveOnce.Do(func() { close(s.leaving) }) }

// Stop stops the server. Calls in flight may run for at most timeout.
func (s *Server) Stop(timeout time.Duration) {
	s.stopOnce.Do(func() { close(s.stopping) })
	done := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
		s.grpc.Stop()
		<-done
	}
}

// check rejects senders whose host ID and source address are not on the member
// list.
func (s *Server) check(ctx context.Context, sender *peer.Sender) error {
	from, ok := grpcpeer.FromContext(ctx)
	if !ok {
		return status.Error(codes.PermissionDenied, "the address of the sender is not known")
	}
	ap, err := netip.ParseAddrPort(from.Addr.String())
	if err != nil {
		return status.Error(codes.PermissionDenied, "the address of the sender is not an IP address")
	}
	if !s.cfg.Allowed(sender.GetHost(), ap.Addr().Unmap()) {
		return status.Errorf(codes.PermissionDenied, "host %.64q at %s is not on the list", sender.GetHost(), ap.Addr())
	}
	return nil
}

// Call implements peer.PeerServer.
func (s *Server) Call(ctx context.Context, m *peer.CallRequest) (*peer.CallReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return s.refuse(m, verdict.NotMember, err), nil
	}
	c, payload, err := decodeCall(m)
	if err != nil {
		return s.refuse(m, verdict.BadRequest, err), nil
	}
	reply := s.cfg.Handler.PeerCall(ctx, member.HostID(m.GetSender().GetHost()), c, payload)
	if reply == nil {
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	return encodeReply(reply), nil
}

// refuse returns a refusal with all of the call's retry credit as unspent.
func (s *Server) refuse(m *peer.CallRequest, reason verdict.Reason, err error) *peer.CallReply {
	refusal := verdict.Refuse(reason, status.Convert(err).Message())
	return &peer.CallReply{
		RequestId:   m.GetRequestId(),
		Incarnation: s.cfg.Self.Incarnation,
		Refusal:     encodeRefusal(refusal),
		Unspent:     m.GetCredit(),
	}
}

// IssueKey implements peer.PeerServer.
func (s *Server) IssueKey(ctx context.Context, m *peer.IssueKeyRequest) (*peer.IssueKeyReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return nil, err
	}
	key, refusal := s.cfg.Handler.IssueKey(ctx, m.GetService(), m.GetCaller())
	return &peer.IssueKeyReply{Key: key, Refusal: encodeRefusal(refusal), Incarnation: s.cfg.Self.Incarnation}, nil
}

// QueryKey implements peer.PeerServer.
func (s *Server) QueryKey(ctx context.Context, m *peer.QueryKeyRequest) (*peer.QueryKeyReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return nil, err
	}
	state, err := s.cfg.Handler.LocalKey(ctx, m.GetKey(), m.GetCaller(), m.GetFence())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &peer.QueryKeyReply{State: state.State.String()}
	if state.Answer != nil {
		reply.Answer = encodeAnswer(state.Answer)
	}
	return reply, nil
}

// Ping implements peer.PeerServer.
func (s *Server) Ping(ctx context.Context, m *peer.PingRequest) (*peer.PingReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return nil, err
	}
	return &peer.PingReply{Incarnation: s.cfg.Self.Incarnation, Leaving: s.isLeaving()}, nil
}

func (s *Server) isLeaving() bool {
	select {
	case <-s.leaving:
		return true
	default:
		return false
	}
}

// Exchange implements peer.PeerServer.
func (s *Server) Exchange(ctx context.Context, m *peer.ExchangeRequest) (*peer.ExchangeReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return nil, err
	}
	if s.cfg.Gossip == nil {
		return nil, status.Error(codes.Unavailable, "no configuration exchange")
	}
	return s.cfg.Gossip.HandleExchange(ctx, m)
}

// Push implements peer.PeerServer.
func (s *Server) Push(ctx context.Context, m *peer.PushRequest) (*peer.PushReply, error) {
	if err := s.check(ctx, m.GetSender()); err != nil {
		return nil, err
	}
	if s.cfg.Gossip == nil {
		return nil, status.Error(codes.Unavailable, "no configuration exchange")
	}
	return s.cfg.Gossip.HandlePush(ctx, m)
}

// Watch implements peer.PeerServer.
func (s *Server) Watch(m *peer.WatchRequest, stream grpc.ServerStreamingServer[peer.Announcement]) error {
	if err := s.check(stream.Context(), m.GetSender()); err != nil {
		return err
	}
	select {
	case <-stream.Context().Done():
		return nil
	case <-s.stopping:
	case <-s.leaving:
	}
	if err := stream.Send(&peer.Announcement{Incarnation: s.cfg.Self.Incarnation, Leaving: s.isLeaving()}); err != nil {
		return err
	}
	select {
	case <-stream.Context().Done():
	case <-s.stopping:
	}
	return nil
}
