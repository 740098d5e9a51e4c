"""Messages on links between gateways and sidecars.

Each message is a named tuple. On the wire it is a msgpack array of the
message's kind number and its fields, see the codec module.
"""

from typing import Final
from typing import NamedTuple

from verbenafall_core import outcomes

PROTOCOL_VERSION: Final = 1

Headers = tuple[tuple[str, str], ...]


class Hello(NamedTuple):
    """First message in both directions.

    Attributes:
        protocol_version: Must be equal on both sides.
        instance: Name of the sending instance.
        role: "gateway", "sidecar" or "operator".
        data_centre: Data centre of the sending instance.
        service: Service of a sidecar's endpoint, empty for other roles.
    """

    protocol_version: int
    instance: str
    role: str
    data_centre: str
    service: str


class Heartbeat(NamedTuple):
    """Sent every second in both directions.

    Attributes:
        in_force: Bundle version in force, 0 for none.
        pending: Newest verified bundle version not yet in force, or 0.
        confirmed: Whether receivers may rely on these versions.
        draining: Whether the sender is stopping.
    """

    in_force: int
    pending: int
    confirmed: bool
    draining: bool


class Dispatch(NamedTuple):
    """One attempt of a request, sent to the sidecar of the chosen endpoint.

    Attributes:
        remaining_ms: Time until the client's deadline.
        idempotent: Whether the request may run more than once.
        idempotency_key: The client's key, empty for idempotent requests.
        resume_index: Number of tokens that the client has already received.
        resume_text: Text of these tokens.
    """

    request_id: str
    attempt_id: str
    service: str
    team: str
    priority: int
    remaining_ms: int
    idempotent: bool
    idempotency_key: str
    method: str
    path: str
    headers: Headers
    body: bytes
    resume_index: int
    resume_text: str


class Cancel(NamedTuple):
    """Asks the sidecar to cancel an attempt, even one it has not received."""

    request_id: str
    attempt_id: str


class Accepted(NamedTuple):
    """The attempt is queued or running."""

    request_id: str
    attempt_id: str
    queue_length: int


class Refused(NamedTuple):
    """The attempt was not started.

    Attributes:
        retry_after_ms: Suggested delay before a retry, 0 for none.
        detail: The endpoint's own message, empty if there is none.
    """

    request_id: str
    attempt_id: str
    reason: outcomes.Reason
    outcome: outcomes.Outcome
    retry_after_ms: int
    detail: str = ""


class Chunk(NamedTuple):
    """Part of a response: the text of one token, or bytes of a plain body.

    Attributes:
        sequence: Increments by one, starting at the dispatch's resume_index.
    """

    request_id: str
    attempt_id: str
    sequence: int
    data: bytes


class End(NamedTuple):
    """The response is complete.

    Attributes:
        chunk_count: Number of chunks sent by this attempt.
        byte_count: Number of data bytes in these chunks.
        status: HTTP status of the endpoint.
        finish_reason: Why the model stopped, empty for plain services.
        prompt_tokens: Tokens of the prompt, 0 if the endpoint reports none.
    """

    request_id: str
    attempt_id: str
    chunk_count: int
    byte_count: int
    status: int
    headers: Headers
    finish_reason: str
    prompt_tokens: int = 0


class Failed(NamedTuple):
    """The attempt failed after it was accepted."""

    request_id: str
    attempt_id: str
    outcome: outcomes.Outcome
    reason: outcomes.Reason
    chunks_sent: int
    retry_after_ms: int


class CancelConfirmed(NamedTuple):
    """The attempt is cancelled and will not be started later."""

    request_id: str
    attempt_id: str
    outcome: outcomes.Outcome


class LoadReport(NamedTuple):
    """State of an endpoint as reported by its sidecar.

    Attributes:
        in_flight: Attempts running on the endpoint.
        queued: Attempts waiting in the sidecar.
        slots: Attempts that the endpoint runs concurrently.
        service_time_ms: Mean time of an attempt on the endpoint.
        draining: Whether the sidecar is stopping.
        leaving: Whether the endpoint is stopping or down, or wants no work for
            a time.
        map_version: Expert map in use by the endpoint, 0 for none.
    """

    in_flight: int
    queued: int
    slots: int
    service_time_ms: int
    draining: bool
    leaving: bool
    map_version: int


class SendTime(NamedTuple):
    """Sent every few seconds before a load report.

    A separate kind, because a field in every report would add a third to the
    control traffic of an idle link.

    Attributes:
        sent_at_ms: Reading of the sender's monotonic clock.
    """

    sent_at_ms: int


class BundleRequest(NamedTuple):
    """Asks the peer for the text of a bundle version."""

    version: int


class BundlePush(NamedTuple):
    """A bundle text with its signature.

    Attributes:
        accepted: Whether the sender knows that the version is accepted.
        confirmed: Whether receivers may rely on `accepted`.
    """

    version: int
    accepted: bool
    confirmed: bool
    text: bytes
    signature: bytes


class StatusRequest(NamedTuple):
    """Asks the peer for its status.

    Attributes:
        token: Identifies the request; the reply repeats it.
    """

    token: int


class RejectedBundle(NamedTuple):
    """A bundle version that a process rejected, with the reason."""

    version: int
    reason: str


class GroupStatus(NamedTuple):
    """State of a rank group as known to one of its sidecars.

    Attributes:
        expert_load: Tokens per expert in recent steps of the sidecar's own
            engine, empty if the engine's state has not been read.
    """

    group: str
    epoch: int
    phase: str
    map_version: int
    step: int
    expert_load: tuple[float, ...]


class StatusReply(NamedTuple):
    """Status of a process.

    Attributes:
        token: Token of the status request.
        ready: Whether the process accepts new work.
        not_ready_reason: Why it accepts none, empty when ready.
    """

    token: int
    instance: str
    role: str
    data_centre: str
    service: str
    in_force: int
    pending: int
    rejected: tuple[RejectedBundle, ...]
    ready: bool
    not_ready_reason: str
    draining: bool
    groups: tuple[GroupStatus, ...]


class GroupRecord(NamedTuple):
    """The record of a rank group as read from the store.

    Attributes:
        version: Version of the object in the store; the highest is the newest.
        record: Value of the object.
    """

    group: str
    version: int
    record: bytes


class GroupMember(NamedTuple):
    """State of the ranks behind one sidecar of a rank group.

    Attributes:
        epoch: Epoch of the newest order that the ranks have accepted.
        map_version: Expert map that the ranks use.
        prepared: Map versions whose weights are loaded.
        armed_step: Step before which the ranks hold, 0 for none.
        passed_step: Boundary step that the ranks passed before they were armed
            with it, or 0.
        step: Step that the ranks have reached.
        expert_load: Tokens per expert, decayed over time; empty in most
            messages.
        rank_step_us: Mean step time of each rank; empty if expert_load is.
        armed_version: Map that the ranks are armed for, 0 for none.
        record_version: Version of the newest group record known, 0 for none.
        record_epoch: Epoch of that record.
    """

    group: str
    instance: str
    ranks: tuple[int, ...]
    epoch: int
    map_version: int
    prepared: tuple[int, ...]
    armed_step: int
    passed_step: int
    step: int
    expert_load: tuple[int, ...] = ()
    rank_step_us: tuple[int, ...] = ()
    armed_version: int = 0
    record_version: int = 0
    record_epoch: int = 0


class Leading(NamedTuple):
    """Sent several times a second by the leader of a rank group.

    Attributes:
        term: The leader's term; the sender with the highest one leads.
        count_interval_ms: Interval at which the receiver reports its expert
            counts, 0 for never.
    """

    group: str
    term: int
    count_interval_ms: int = 0


class RankStatus(NamedTuple):
    """State of a rank, sent by its sidecar to the leader of its group.

    Attributes:
        term: Highest term that the sidecar knows of.
        armed_version: Map that the rank is armed with, 0 for none.
        held_step: Step that the group does not start until it is released, -1
            for none.
        cleared_term: Highest term of a disarm order that was accepted.
        impossible_version: Map that the rank could not prepare, or 0.
        experts: Experts in use by set; empty if they are not included.
        slowdown: Time that the rank needs for its work, relative to the usual
            time.
    """

    group: str
    rank: int
    size: int
    epoch: int
    open: bool
    step: int
    map_version: int
    prepared: int
    armed_version: int
    armed_step: int
    held_step: int
    term: int
    cleared_term: int
    impossible_version: int
    experts: tuple[tuple[int, ...], ...] = ()
    slowdown: float = 1.0


class RankDemand(NamedTuple):
    """How often a rank's requests chose each expert since the last message.

    Attributes:
        length: Number of counters, flat by set and expert.
        unit: Increment that one level stands for.
        levels: Four bits per counter, see demand_levels.
    """

    group: str
    epoch: int
    length: int
    unit: int
    levels: bytes


class RankOrder(NamedTuple):
    """Requests a state of a rank, sent by the leader of its group.

    Attributes:
        kind: A value of rank_state.OrderKind.
        changes: Set, rank and new experts of each difference from the map
            `base_version`.
        placement: The complete map, if the rank does not have the base.
    """

    group: str
    kind: str
    term: int
    epoch: int
    version: int
    step: int
    base_version: int = 0
    changes: tuple[tuple[int, int, tuple[int, ...]], ...] = ()
    placement: tuple[tuple[tuple[int, ...], ...], ...] = ()


class RankSlowdowns(NamedTuple):
    """Sent by the leader of a rank group to the gateways.

    Attributes:
        slowdowns: Host of each rank's engine, and the time that the rank needs
            for its work, relative to the usual time.
    """

    group: str
    term: int
    slowdowns: tuple[tuple[str, float], ...]


class RankHold(NamedTuple):
    """Asks a gateway to hold a rank group, sent by the group's leader.

    Attributes:
        engine_host: Host of the engine to which the gateway sends the order.
        step: Step that the group does not start until it is released.
    """

    group: str
    engine_host: str
    engine_port: int
    term: int
    epoch: int
    step: int


class OpenRequests(NamedTuple):
    """Number of requests that a gateway has open on each endpoint."""

    counts: tuple[tuple[str, int], ...]


class ConfigurationVersion(NamedTuple):
    """Version of the configuration in force on a gateway."""

    version: int


class ConfigurationRequest(NamedTuple):
    """Asks a gateway for a configuration newer than a version."""

    newer_than: int


class ConfigurationText(NamedTuple):
    """A configuration, encoded with msgpack."""

    version: int
    text: bytes


class EndpointLeaving(NamedTuple):
    """Endpoints that accept no more requests, by id and revision."""

    endpoints: tuple[tuple[str, int], ...]


class StoppingEndpoints(NamedTuple):
    """Endpoints that have said in an answer that they leave.

    Attributes:
        lives: Endpoint id and its start in Unix milliseconds, None if unknown.
    """

    lives: tuple[tuple[str, int | None], ...]


class EndpointLimits(NamedTuple):
    """Requests per second that endpoints accept from all gateways together.

    Attributes:
        limits: Endpoint id, rate, and age of the statement in milliseconds.
            The rate is None if the endpoint no longer states any.
    """

    limits: tuple[tuple[str, float | None, int], ...]


class PartReport(NamedTuple):
    """What a gateway knows of a part of prompts that may crash endpoints.

    Attributes:
        crashes: The crashes beside the part since it was last sound: endpoint
            id, age, and for how long a request with the part had waited there,
            both in milliseconds.
        sound_age: Milliseconds since an answer to a prompt with it had an
            event, None if that is not known.
        trial_age: Milliseconds since a request was last sent to try it, None
            if there was none.
    """

    service: str
    part: str
    crashes: tuple[tuple[str, int, int], ...]
    sound_age: int | None
    trial_age: int | None


class PartReports(NamedTuple):
    """Reports of parts of prompts, sent between gateways."""

    reports: tuple[PartReport, ...]


class OpenTrials(NamedTuple):
    """Trials of suspect parts that the sender makes, without a result yet.

    Attributes:
        parts: Service and id of each part.
    """

    parts: tuple[tuple[str, str], ...]


class GatewayCounted(NamedTuple):
    """Says that the sender counts the receiver when it divides a limit."""


Message = (
    Hello
    | Heartbeat
    | Dispatch
    | Cancel
    | Accepted
    | Refused
    | Chunk
    | End
    | Failed
    | CancelConfirmed
    | LoadReport
    | BundleRequest
    | BundlePush
    | StatusRequest
    | StatusReply
    | GroupRecord
    | GroupMember
    | SendTime
    | Leading
    | RankStatus
    | RankDemand
    | RankOrder
    | OpenRequests
    | ConfigurationVersion
    | ConfigurationRequest
    | ConfigurationText
    | EndpointLeaving
    | RankSlowdowns
    | RankHold
    | EndpointLimits
    | PartReports
    | GatewayCounted
    | StoppingEndpoints
    | OpenTrials
)

KINDS: Final[dict[int, type[Message]]] = {
    1: Hello,
    2: Heartbeat,
    3: Dispatch,
    4: Cancel,
    5: Accepted,
    6: Refused,
    7: Chunk,
    8: End,
    9: Failed,
    10: CancelConfirmed,
    11: LoadReport,
    12: BundleRequest,
    13: BundlePush,
    14: StatusRequest,
    15: StatusReply,
    16: GroupRecord,
    17: GroupMember,
    18: SendTime,
    19: Leading,
    20: RankStatus,
    # 21 was RankCounts, which took ten times as many bytes.
    22: RankOrder,
    23: OpenRequests,
    24: ConfigurationVersion,
    25: ConfigurationRequest,
    26: ConfigurationText,
    27: EndpointLeaving,
    28: RankSlowdowns,
    29: RankHold,
    30: RankDemand,
    31: EndpointLimits,
    32: PartReports,
    33: GatewayCounted,
    34: StoppingEndpoints,
    35: OpenTrials,
}
