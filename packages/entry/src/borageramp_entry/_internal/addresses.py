"""Addresses as settings and records write them."""

from ipaddress import ip_address

__all__ = ["split_address", "split_ip_address", "split_remote_address"]

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``, without brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def split_remote_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address to connect to.

    Raises
    ------
    ValueError
        If there is no host, or no port that can be connected to.
    """
    host, port = split_address(address)
    if not host or not 0 < port <= MAX_PORT:
        raise ValueError(f"no host and port: {address!r:.80}")
    return host, port


def split_ip_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of an address to connect to.

    Raises
    ------
    ValueError
        If it is no IP address, or the port can't be connected to.
    """
    host, port = split_remote_address(address)
    return str(ip_address(host)), port
