"""What a run's clients, endpoints and fault injector have seen."""

import enum
import threading
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """Kind of a client's request; the value is its path prefix."""

    STREAM = "/stream/"
    RESUMABLE = "/resumable/"
    LOOKUP = "/lookup/"
    BOOKING = "/booking/"

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (RequestKind.RESUMABLE, RequestKind.LOOKUP)

    @property
    def streaming(self) -> bool:
        """Return whether the answer is a stream."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE)


class Attempt(NamedTuple):
    """A client's request and how it ended; times are in seconds.

    Attributes:
        gateway: Name of the gateway's lifetime that it was sent to.
        status: Status of the answer, 0 if there was none.
        complete: Whether the answer ended as it should.
        left: Whether the client closed the connection early.
    """

    id: str
    kind: RequestKind
    gateway: str
    sent_at: float
    ended_at: float
    deadline: float
    status: int
    complete: bool
    body: bytes
    signature: str
    left: bool


class Run(NamedTuple):
    """A request that an endpoint has run.

    Attributes:
        path: Request target that the endpoint received.
        first_event: Number of the first event sent, for a stream.
        delivered: Whether the endpoint has written its whole answer.
        broken: Whether the endpoint itself broke off the answer.
    """

    attempt: str
    endpoint: str
    path: str
    started_at: float
    first_event: int
    delivered: bool
    broken: bool


class DeadlyShares(NamedTuple):
    """Shares of requests that crash each endpoint.

    Attributes:
        part: Share of requests with the deadly part in their prompt.
        request: Share of requests that are the deadly one.
    """

    part: float
    request: float


NOTHING_DEADLY = DeadlyShares(0.0, 0.0)


class DeadlyCrash(NamedTuple):
    """An endpoint crashed as it began to answer a request.

    Attributes:
        cause: What in the request is deadly.
    """

    cause: str
    attempt: str
    endpoint: str
    at: float


class Arrival(NamedTuple):
    """A request that reached an endpoint.

    Attributes:
        born: Start of the endpoint, which may start again under its name.
    """

    attempt: str
    endpoint: str
    born: int
    at: float


class Statement(NamedTuple):
    """What an endpoint has said of itself in the answer to a request.

    Attributes:
        pause: Seconds for which it wants no requests, 0 if it leaves.
    """

    attempt: str
    endpoint: str
    born: int
    at: float
    pause: float


class Disturbance(NamedTuple):
    """A time in which a gateway's lifetime was killed or frozen."""

    gateway: str
    start: float
    end: float


class Records:
    """Collects the records of a run; thread-safe.

    Attributes:
        stops: Time of the first SIGTERM by name of a gateway's lifetime.
        problems: Other findings, as text.
    """

    def __init__(self) -> None:
        """Create empty records."""
        self.lock = threading.Lock()
        self.attempts: list[Attempt] = []
        self.runs: list[Run] = []
        self.disturbances: list[Disturbance] = []
        self.deadly_crashes: list[DeadlyCrash] = []
        self.arrivals: list[Arrival] = []
        self.statements: list[Statement] = []
        self.stops: dict[str, float] = {}
        self.problems: list[str] = []

    def add(
        self,
        record: Attempt
        | Run
        | Disturbance
        | DeadlyCrash
        | Arrival
        | Statement
        | str,
    ) -> None:
        """Add a record to the list of its type."""
        with self.lock:
            if isinstance(record, Attempt):
                self.attempts.append(record)
            elif isinstance(record, Run):
                self.runs.append(record)
            elif isinstance(record, Disturbance):
                self.disturbances.append(record)
            elif isinstance(record, DeadlyCrash):
                self.deadly_crashes.append(record)
            elif isinstance(record, Arrival):
                self.arrivals.append(record)
            elif isinstance(record, Statement):
                self.statements.append(record)
            else:
                self.problems.append(record)

    def add_stop(self, gateway: str, now: float) -> None:
        """Record the first SIGTERM of a gateway's lifetime."""
        with self.lock:
            self.stops.setdefault(gateway, now)
