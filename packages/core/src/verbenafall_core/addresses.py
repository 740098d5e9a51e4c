"""IP addresses with a port."""

import ipaddress
import re
from typing import Final
from typing import NamedTuple

import returns.result

# int() refuses a text of thousands of digits.
_PORT: Final = re.compile(r"[0-9]{1,5}")
# Longest text that is part of an error message.
_MAX_SHOWN: Final = 60


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
        return returns.result.Failure(
            f"{text[:_MAX_SHOWN]!r} has no port, expected IP:port"
        )
    if not _PORT.fullmatch(port) or int(port) >= 65536:
        return returns.result.Failure(
            f"{port[:_MAX_SHOWN]!r} is not a port, expected 0-65535"
        )
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return returns.result.Failure(
            f"{host[:_MAX_SHOWN]!r} is not an IP address"
        )
    return returns.result.Success(Address(host, int(port)))
