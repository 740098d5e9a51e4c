"""The processes and addresses of the demonstration run."""

import socket
from typing import Final
from typing import NamedTuple

from verbenafall_core import addresses
from verbenafall_standins.demo import workload

HOST: Final = "127.0.0.1"
DATA_CENTRES: Final = ("cba-norte", "cba-sur", "cba-oeste")
GATEWAYS: Final = 3
RANKS_PER_ENGINE: Final = 2
EXPERTS: Final = 16

DESK: Final = workload.Caller("example-desk", "asistente-llm", "mostrador-app")
COUNTER: Final = workload.Caller(
    "example-counter", "asistente-llm", "mostrador-app"
)
SCHOOL: Final = workload.Caller("example-school", "drafter", "slipdesk")
CALLERS: Final = {"desk": DESK, "counter": COUNTER, "school-office": SCHOOL}


class GatewayPlan(NamedTuple):
    """A gateway and the addresses that it listens on."""

    name: str
    data_centre: str
    client: addresses.Address
    admin: addresses.Address


class SidecarPlan(NamedTuple):
    """An endpoint with its sidecar.

    Attributes:
        kind: "engine" or "records".
        links: Address on which the sidecar accepts links.
        endpoint: Address of the engine or service.
        group: Rank group of an engine, empty for a records service.
        ranks: Ranks of the engine.
    """

    name: str
    data_centre: str
    service: str
    kind: str
    links: addresses.Address
    endpoint: addresses.Address
    group: str
    ranks: tuple[int, ...]


class Plan(NamedTuple):
    """All processes of a run and their addresses.

    Attributes:
        ports: Reserves the addresses; to be released after the run.
    """

    ports: "Ports"

    object_store: addresses.Address
    instance_list: addresses.Address
    weight_store: addresses.Address
    gateways: tuple[GatewayPlan, ...]
    sidecars: tuple[SidecarPlan, ...]

    def engines_of(self, group: str) -> list[SidecarPlan]:
        """Return the sidecars of the engines in a rank group."""
        return [sidecar for sidecar in self.sidecars if sidecar.group == group]

    def groups(self) -> list[str]:
        """Return the names of the rank groups."""
        return sorted({s.group for s in self.sidecars if s.group})

    def records(self) -> list[SidecarPlan]:
        """Return the sidecars of records services."""
        return [sidecar for sidecar in self.sidecars if not sidecar.group]


class Ports:
    """Allocates loopback ports and keeps them reserved.

    A free port that is not reserved can be bound by another program before
    the planned process listens on it.
    """

    def __init__(self) -> None:
        """Create an allocator without ports."""
        self.sockets: list[socket.socket] = []

    def next_address(self) -> addresses.Address:
        """Reserve a port and return its address.

        A process can listen on it only with SO_REUSEADDR.
        """
        reserved = socket.socket()
        reserved.bind((HOST, 0))
        # Allows a listener to bind the port while this socket, which does not
        # listen, keeps it reserved.
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sockets.append(reserved)
        return addresses.Address(HOST, reserved.getsockname()[1])

    def release(self) -> None:
        """Free the ports; for use after the processes have ended."""
        for reserved in self.sockets:
            reserved.close()


def create_plan() -> Plan:
    """Return the plan of a small deployment on reserved ports."""
    ports = Ports()
    return Plan(
        ports,
        ports.next_address(),
        ports.next_address(),
        ports.next_address(),
        tuple(
            GatewayPlan(
                f"gateway-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                ports.next_address(),
                ports.next_address(),
            )
            for number in range(GATEWAYS)
        ),
        (
            *plan_engines("asistente-llm", 4, ports),
            *plan_engines("drafter", 2, ports),
            plan_records("mostrador-app", ports),
            plan_records("slipdesk", ports),
        ),
    )


def plan_engines(service: str, count: int, ports: Ports) -> list[SidecarPlan]:
    """Return the sidecars of a model service with one rank group."""
    return [
        SidecarPlan(
            f"{service}-{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            service,
            "engine",
            ports.next_address(),
            ports.next_address(),
            f"{service}-group",
            tuple(
                range(
                    number * RANKS_PER_ENGINE, (number + 1) * RANKS_PER_ENGINE
                )
            ),
        )
        for number in range(count)
    ]


def plan_records(service: str, ports: Ports) -> SidecarPlan:
    """Return the sidecar of a records service."""
    return SidecarPlan(
        f"{service}-0",
        DATA_CENTRES[0],
        service,
        "records",
        ports.next_address(),
        ports.next_address(),
        "",
        (),
    )
