package peerlink

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Guards against a message of a peer that takes the process down: gRPC does not
// recover from a panic of a handler.
func TestPanicEndsTheCallOnly(t *testing.T) {
	_, err := recoverUnary(t.Context(), nil, nil, func(context.Context, any) (any, error) { panic("malformed") })
	assert.Equal(t, codes.Internal, status.Code(err))
	err = recoverStream(nil, nil, nil, func(any, grpc.ServerStream) error { panic("malformed") })
	assert.Equal(t, codes.Internal, status.Code(err))
	reply, err := recoverUnary(t.Context(), nil, nil, func(context.Context, any) (any, error) { return "ok", nil })
	assert.NoError(t, err)
	assert.Equal(t, "ok", reply)
}
