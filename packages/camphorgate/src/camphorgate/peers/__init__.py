"""gRPC protocol between the instances of a deployment."""
