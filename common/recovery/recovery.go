// Package recovery keeps an unexpected error in the handling of one message from ending
// the whole process.
package recovery

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"
)

// Catch is deferred around the handling of one message. A panic is logged with its
// stack; then the given function is called.
func Catch(where string, then func()) {
	reason := recover()
	if reason == nil {
		return
	}
	klog.ErrorS(nil, "CH0008 unexpected error in the handling of a message", "where", where, "reason", reason, "stack", string(debug.Stack()))
	then()
}

// ServerOptions have a server answer calls whose handlers panic with an error.
func ServerOptions(count func(where string)) []grpc.ServerOption {
	failed := status.Error(codes.Internal, "unexpected error")
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, r any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
			defer Catch(info.FullMethod, func() {
				count(info.FullMethod)
				answer, err = nil, failed
			})
			return handle(ctx, r)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
			defer Catch(info.FullMethod, func() {
				count(info.FullMethod)
				err = failed
			})
			return handle(server, stream)
		}),
	}
}
