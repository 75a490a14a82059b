"""The gRPC protocol between instances."""
