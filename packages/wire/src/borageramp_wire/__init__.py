"""Generated messages and stubs that borageramp processes exchange."""

from borageramp_wire._generated import etcd_grpc, etcd_pb2, peer_grpc, peer_pb2

__all__ = ["etcd_grpc", "etcd_pb2", "peer_grpc", "peer_pb2"]
