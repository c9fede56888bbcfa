"""Addresses as settings write them."""

__all__ = ["split_address"]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``, without brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
