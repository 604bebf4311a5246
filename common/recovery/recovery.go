// Package recovery recovers from panics in the handling of a message, so that one message
// does not end the whole process.
package recovery

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"
)

// Catch must be deferred by the function that handles a message. It recovers from a panic,
// logs it with its stack and calls onPanic.
func Catch(where string, onPanic func()) {
	reason := recover()
	if reason == nil {
		return
	}
	klog.ErrorS(nil, "CH0008 unexpected error in the handling of a message", "where", where, "reason", reason, "stack", string(debug.Stack()))
	onPanic()
}

// ServerOptions returns gRPC server options that turn a panic in a handler into an error
// response. They call count with the name of the method for each panic.
func ServerOptions(count func(where string)) []grpc.ServerOption {
	panicErr := status.Error(codes.Internal, "unexpected error")
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, r any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (response any, err error) {
			defer Catch(info.FullMethod, func() {
				count(info.FullMethod)
				response, err = nil, panicErr
			})
			return handle(ctx, r)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
			defer Catch(info.FullMethod, func() {
				count(info.FullMethod)
				err = panicErr
			})
			return handle(server, stream)
		}),
	}
}
