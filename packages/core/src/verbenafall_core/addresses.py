"""IP addresses with a port."""

import ipaddress
from typing import NamedTuple

import returns.result


class Address(NamedTuple):
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return host:port, with brackets around an IPv6 host."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_address(text: str) -> returns.result.Result[Address, str]:
    """Parse "127.0.0.1:8000" or "[::1]:8000"; failures describe the problem."""
    host, separator, port = text.strip().rpartition(":")
    if not separator:
        return returns.result.Failure(f"{text!r} has no port, expected IP:port")
    if not port.isascii() or not port.isdigit() or not 0 <= int(port) < 65536:
        return returns.result.Failure(
            f"{port!r} is not a port, expected 0-65535"
        )
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return returns.result.Failure(f"{host!r} is not an IP address")
    return returns.result.Success(Address(host, int(port)))
