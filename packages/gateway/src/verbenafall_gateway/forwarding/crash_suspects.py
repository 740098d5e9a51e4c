"""Finds the request, or part of a prompt, that crashes endpoints; no I/O.

Some part of a prompt may crash each endpoint that begins to answer it, and so
may a whole request, which counts as a part that no other request has. After a
crash, the parts of the requests that had not begun there are suspects. An
event of any answer shows that all parts of its request are sound. Requests with
a suspect are refused, except for one at a time that tries whether it is sound.

The gateways tell each other what they see. Merging does not depend on the order
or repetition of messages; a gateway that a message did not reach knows less.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import Final
from typing import NamedTuple

from verbenafall_gateway.forwarding import request_fingerprint
from verbenafall_gateway.forwarding import sound_parts

NEVER: Final = float("-inf")
# Gateways notice a crash within a fraction of a second of each other, and an
# endpoint takes longer than this to start and crash again.
SAME_CRASH_SECONDS: Final = 2.0
# First delay until a part is tried beside which another one is more likely to
# have caused the crash. In this time the peers tell which parts were sound.
OTHER_TRIAL_DELAY_SECONDS: Final = 1.0
OTHER_TRIAL_FACTOR: Final = 4
# First delay until the likely cause of a crash is tried. It would crash another
# endpoint, which harms everybody who uses the service, while the delay harms
# only those who send the part.
MAIN_TRIAL_DELAY_SECONDS: Final = 60.0
MAIN_TRIAL_FACTOR: Final = 2
MAX_TRIAL_DELAY_SECONDS: Final = 600.0
# Delay until the first request that was at a crash is tried, and between it
# and the next one. The peers tell of their requests meanwhile, and an endpoint
# that crashes again does so within about this time.
REQUEST_TRIAL_SPACING_SECONDS: Final = 0.1
# Time after which the trial of another part may begin if one has no result. The
# same part is tried again only this time after its trial was last renewed.
TRIAL_SECONDS: Final = 2.0
# Maximum duration of a trial. If the endpoint has lost power, it has started
# again by then.
MAX_TRIAL_SECONDS: Final = 8.0
# Retry-after time, in seconds, while the trial of another request is under way.
TRIAL_RETRY_AFTER: Final = 0.5
# Endpoints that crash within this time of each other have a cause in common. A
# part that was at one of the crashes only is unlikely to be it.
COINCIDENCE_SECONDS: Final = 0.5
# A part that has crashed nothing for this time is forgotten.
HISTORY_RETENTION_SECONDS: Final = 3600.0
# Three times the parts that fit into the head of a request.
MAX_HISTORIES: Final = 16384
MAX_CRASHES: Final = 8
# Differences of times up to this come from the delay of messages.
MESSAGE_DELAY_SECONDS: Final = 0.05


class PartKey(NamedTuple):
    """A part of requests to a service.

    Attributes:
        part: Id of a part of prompts, or the fingerprint of a request.
    """

    service: str
    part: str

    @property
    def is_request(self) -> bool:
        """Whether it stands for a whole request."""
        return request_fingerprint.is_fingerprint(self.part)


class Crash(NamedTuple):
    """A crash of an endpoint before it began to answer a request.

    Attributes:
        endpoint: Id of the endpoint.
        at: When the crash was noticed.
        waited: Seconds for which the request had been at the endpoint. Unlike
            the time at which it was sent, all gateways see the same.
    """

    endpoint: str
    at: float
    waited: float


class CrashedRequest(NamedTuple):
    """A request that an endpoint had not begun to answer when it crashed.

    Attributes:
        parts: Parts of its prompt, and its fingerprint.
    """

    service: str
    parts: tuple[str, ...]
    crash: Crash


class PartHistory(NamedTuple):
    """What is known of a part; times are in seconds of one clock.

    Attributes:
        crashes: Crashes beside the part since it was last sound, by time.
        sound_at: When an answer to a prompt with it had an event.
        trial_at: When a request was last sent to try the part.
    """

    crashes: tuple[Crash, ...] = ()
    sound_at: float = NEVER
    trial_at: float = NEVER


class Sound(NamedTuple):
    """No part of the request is a suspect."""


class Trial(NamedTuple):
    """The request may be sent to try a suspect."""

    part: PartKey


class Blocked(NamedTuple):
    """The request must not be sent; `retry_after` is in seconds."""

    part: PartKey
    retry_after: float


Verdict = Sound | Trial | Blocked


def is_same_crash(first: Crash, second: Crash) -> bool:
    """Return whether two gateways report the same crash."""
    return (
        first.endpoint == second.endpoint
        and abs(first.at - second.at) < SAME_CRASH_SECONDS
    )


def crash_id(crash: Crash) -> tuple[str, float]:
    """Return what all parts that were at a crash have in common."""
    return crash.endpoint, crash.at


def merge_crashes(
    crashes: Iterable[Crash], sound_at: float
) -> tuple[Crash, ...]:
    """Return the newest distinct crashes after a time.

    Of several reports of a crash, the earliest one is the most precise. Of
    several requests with the part, the one that waited longest counts.
    """
    merged: list[Crash] = []
    for crash in sorted(crashes, key=lambda item: (item.at, item.endpoint)):
        for number, known in enumerate(merged):
            if is_same_crash(crash, known):
                waited = max(known.waited, crash.waited)
                merged[number] = known._replace(waited=waited)
                break
        else:
            merged.append(crash)
    after = [crash for crash in merged if crash.at > sound_at]
    return tuple(after[-MAX_CRASHES:])


def merge(first: PartHistory, second: PartHistory) -> PartHistory:
    """Return what two gateways know together of a part."""
    sound_at = max(first.sound_at, second.sound_at)
    return PartHistory(
        merge_crashes((*first.crashes, *second.crashes), sound_at),
        sound_at,
        max(first.trial_at, second.trial_at),
    )


class CrashGroup(NamedTuple):
    """A crash, as first noticed, and the parts that it speaks against.

    Attributes:
        waited: Seconds for which a request with each part had been there.
    """

    service: str
    crash: Crash
    waited: dict[PartKey, float]


def group_by_crash(
    histories: Mapping[PartKey, PartHistory],
) -> list[CrashGroup]:
    """Return the crashes of some histories.

    Parts against which nothing speaks are left out of the groups. They may be
    by far the most, as all parts of a prompt are at its crash.
    """
    sightings = {
        (key.service, crash.endpoint, crash.at)
        for key, history in histories.items()
        for crash in history.crashes
    }
    groups: list[CrashGroup] = []
    found: dict[tuple[str, str, float], CrashGroup] = {}
    for service, endpoint, at in sorted(sightings):
        crash = Crash(endpoint, at, 0.0)
        last = groups[-1] if groups else None
        if (
            last is None
            or last.service != service
            or not is_same_crash(last.crash, crash)
        ):
            last = CrashGroup(service, crash, {})
            groups.append(last)
        found[service, endpoint, at] = last
    for key, history in histories.items():
        if suspicion(key, history) > 0:
            for crash in history.crashes:
                group = found[key.service, crash.endpoint, crash.at]
                group.waited[key] = crash.waited
    return groups


class Assessment(NamedTuple):
    """What the crashes say together.

    Attributes:
        main: Whether each suspect is the likely cause of its crashes.
        together: The suspect parts of prompts of each crash that has several.
    """

    main: dict[PartKey, bool]
    together: tuple[frozenset[PartKey], ...]


def assess(histories: Mapping[PartKey, PartHistory]) -> Assessment:
    """Return the parts that may have caused one of their crashes.

    A crash is explained by those of its parts against which most crashes
    speak.
    """
    groups = group_by_crash(histories)
    suspects: set[PartKey] = set()
    for group in groups:
        counts = {key: suspicion(key, histories[key]) for key in group.waited}
        most = max(counts.values(), default=0)
        suspects |= {key for key, count in counts.items() if count == most}
    unlikely: set[PartKey] = set()
    for group in groups:
        unlikely |= find_unlikely(group, suspects)
        unlikely |= find_coincident(group, groups, histories)
    prompts = [
        frozenset(
            key
            for key in group.waited
            if key in suspects and not key.is_request
        )
        for group in groups
    ]
    return Assessment(
        {key: key not in unlikely for key in suspects},
        tuple(parts for parts in prompts if len(parts) > 1),
    )


def find_unlikely(group: CrashGroup, suspects: set[PartKey]) -> set[PartKey]:
    """Return the suspects beside which another one explains a crash as well.

    An endpoint begins with the request that has waited longest. Parts of a
    prompt are compared with each other, and so are whole requests: a request
    has waited as long as its parts.
    """
    unlikely: set[PartKey] = set()
    for is_request in (False, True):
        waited = {
            key: seconds
            for key, seconds in group.waited.items()
            if key in suspects and key.is_request == is_request
        }
        longest = max(waited.values(), default=0.0)
        first = [key for key, seconds in waited.items() if seconds == longest]
        unlikely |= waited.keys()
        if len(first) == 1:
            unlikely.discard(first[0])
    return unlikely


def find_coincident(
    group: CrashGroup,
    groups: Sequence[CrashGroup],
    histories: Mapping[PartKey, PartHistory],
) -> set[PartKey]:
    """Return the parts of a crash that do not explain one at the same time.

    That of another endpoint of the same service has a cause in common.
    """
    others = [
        other
        for other in groups
        if other is not group
        and other.service == group.service
        and abs(other.crash.at - group.crash.at) < COINCIDENCE_SECONDS
    ]
    return {
        key
        for other in others
        for key in group.waited
        if key not in other.waited and suspicion(key, histories[key]) == 1
    }


def suspicion(key: PartKey, history: PartHistory) -> int:
    """Return the number of crashes that speak against a part.

    A part that was sound before is likely to have been there by chance the
    first time. A request is tried again after its first crash in any case; if
    the same request was at several endpoints that crashed together, another
    cause is as likely.
    """
    if key.is_request:
        return count_moments(history.crashes)
    return len(history.crashes) - (history.sound_at > NEVER)


def count_moments(crashes: Sequence[Crash]) -> int:
    """Return the number of crashes, counting those together as one.

    A trial of the request that was at the first crash is none of those: it is
    sent later.
    """
    counted: list[Crash] = []
    for crash in sorted(crashes, key=lambda item: item.at):
        if not counted or not is_coincident(counted[-1], crash):
            counted.append(crash)
    return len(counted)


def is_coincident(first: Crash, second: Crash) -> bool:
    """Return whether a request was at two crashes by copies sent before."""
    sent_after = second.at - second.waited - first.at
    return (
        second.at - first.at < COINCIDENCE_SECONDS
        and sent_after < REQUEST_TRIAL_SPACING_SECONDS - MESSAGE_DELAY_SECONDS
    )


class CrashSuspects:
    """Suspects of all services, as known to one gateway.

    Not thread-safe: call it on the event loop only.

    Attributes:
        histories: Parts with crashes since they were last sound.
        sound: When parts were last sound.
        tell: Called with the parts of which the peers should be told.
        suspected: Called after a part has become a suspect.
        learned: Called after a change of the suspects that this gateway has
            seen itself.
        is_informed: Returns whether this gateway hears of the crashes that
            others see.
        assessment: Result of assess(), None after a change.
        renewed: When the trials of parts were last renewed.
    """

    def __init__(self) -> None:
        """Create suspects of which none is known."""
        self.histories: dict[PartKey, PartHistory] = {}
        self.sound: sound_parts.SoundParts[PartKey] = (
            sound_parts.create_sound_parts()
        )
        self.tell: Callable[[Sequence[PartKey]], None] | None = None
        self.suspected: Callable[[], None] | None = None
        self.learned: Callable[[], None] | None = None
        self.is_informed: Callable[[], bool] = lambda: True
        self.assessment: Assessment | None = None
        self.renewed: dict[PartKey, float] = {}

    def record_event(
        self, service: str, parts: Iterable[str], now: float, team: str = ""
    ) -> list[PartKey]:
        """Record that an answer to a prompt with some parts had an event.

        Args:
            service: Service of the request.
            parts: Parts of its prompt.
            now: Current time.
            team: Team that sent it.

        Returns:
            The suspects among them, which are none any more.
        """
        keys = [PartKey(service, part) for part in parts]
        cleared = [key for key in keys if key in self.histories]
        for key in keys:
            # A request seldom comes again, so that it needs no memory.
            if not key.is_request or key in cleared:
                self.sound.record(key, now, team)
        for key in cleared:
            self.update(key, PartHistory(sound_at=now))
        if cleared:
            self.tell_peers(cleared)
            self.notify(self.learned)
        return cleared

    def record_crash(
        self, service: str, parts: Iterable[str], crash: Crash
    ) -> list[PartKey]:
        """Record a crash beside a request that had not begun.

        Args:
            service: Service of the request.
            parts: Parts of its prompt.
            crash: The crash, as noticed now.

        Returns:
            Its parts that are suspects now.
        """
        return self.record_crashes(
            [CrashedRequest(service, tuple(parts), crash)]
        )

    def record_crashes(
        self, requests: Iterable[CrashedRequest]
    ) -> list[PartKey]:
        """Record crashes that were noticed at the same time.

        Returns:
            The parts that are suspects now.
        """
        known: dict[PartKey, None] = {}
        latest = NEVER
        for request in requests:
            for part in request.parts:
                key = PartKey(request.service, part)
                self.update(key, PartHistory((request.crash,)))
                known[key] = None
            latest = max(latest, request.crash.at)
        keys = list(known)
        if keys:
            self.drop_old(latest)
            self.tell_peers(keys)
            self.notify(self.suspected)
            self.notify(self.learned)
        return [key for key in keys if key in self.main_by_suspect()]

    def last_crash_at(self, endpoint_id: str) -> float:
        """Return when an endpoint is known to have crashed last."""
        return max(
            (
                crash.at
                for history in self.histories.values()
                for crash in history.crashes
                if crash.endpoint == endpoint_id
            ),
            default=NEVER,
        )

    def record_trial(self, part: PartKey, now: float) -> None:
        """Record that a request is sent to try a part."""
        self.update(part, PartHistory(trial_at=now))
        self.tell_peers([part])

    def renew_trial(self, part: PartKey, now: float) -> None:
        """Record that the trial of a part has no result yet."""
        if part in self.histories:
            self.renewed[part] = now

    def merge_reports(
        self, reports: Mapping[PartKey, PartHistory], now: float
    ) -> None:
        """Merge what a peer knows of some parts.

        The peers are told of those that were sound here more recently.
        """
        newer = [
            key
            for key, report in reports.items()
            if self.history_of(key).sound_at
            > report.sound_at + MESSAGE_DELAY_SECONDS
        ]
        for key, report in reports.items():
            self.sound.record(key, report.sound_at, "")
            self.update(key, report)
        self.drop_old(now)
        if newer:
            self.tell_peers(newer)
        if any(report.crashes for report in reports.values()):
            self.notify(self.suspected)

    def history_of(self, key: PartKey) -> PartHistory:
        """Return what is known of a part."""
        return self.histories.get(key) or PartHistory(
            sound_at=self.sound.times.get(key, NEVER)
        )

    def update(self, key: PartKey, news: PartHistory) -> None:
        """Add what was learnt of a part; keep no history without a crash."""
        self.assessment = None
        merged = merge(self.history_of(key), news)
        if merged.crashes:
            self.histories[key] = merged
        else:
            self.forget(key)

    def forget(self, key: PartKey) -> None:
        """Forget the crashes and the trial of a part."""
        self.histories.pop(key, None)
        self.renewed.pop(key, None)

    def drop_old(self, now: float) -> None:
        """Forget histories that are old or too many.

        Those with several crashes are kept longest. Of the others, those of the
        crash with the most parts go first, so that requests with many parts do
        not displace the suspects of others.
        """
        for key, history in list(self.histories.items()):
            if now - history.crashes[-1].at > HISTORY_RETENTION_SECONDS:
                self.forget(key)
                self.assessment = None
        excess = len(self.histories) - MAX_HISTORIES
        if excess <= 0:
            return
        sizes = collections.Counter(
            crash_id(history.crashes[-1]) for history in self.histories.values()
        )

        def rank(key: PartKey) -> tuple[bool, int, float]:
            last = self.histories[key].crashes[-1]
            several = len(self.histories[key].crashes) > 1
            return several, -sizes[crash_id(last)], last.at

        for key in sorted(self.histories, key=rank)[:excess]:
            self.forget(key)
        self.assessment = None

    def tell_peers(self, keys: Sequence[PartKey]) -> None:
        """Pass on what is known of some parts."""
        if self.tell is not None:
            self.tell(keys)

    def notify(self, listener: Callable[[], None] | None) -> None:
        """Call a listener, if there is one."""
        if listener is not None:
            listener()

    def assessed(self) -> Assessment:
        """Return what the crashes say together."""
        if self.assessment is None:
            self.assessment = assess(self.histories)
        return self.assessment

    def main_by_suspect(self) -> dict[PartKey, bool]:
        """Return the suspects, and whether each is the likely cause."""
        return self.assessed().main

    def has_all_of_a_crash(self, keys: Collection[PartKey]) -> bool:
        """Return whether a prompt has all suspect parts of a crash."""
        parts = set(keys)
        return any(together <= parts for together in self.assessed().together)

    def trial_due(self, key: PartKey, main: bool) -> float:
        """Return from when on a suspect may be tried.

        Args:
            key: The suspect.
            main: Whether it is the likely cause.
        """
        history = self.histories[key]
        last_at = history.crashes[-1].at
        if key.is_request and count_moments(history.crashes) == 1:
            if not self.is_informed():
                # The other gateways may know of a crash by it already.
                return last_at + MAIN_TRIAL_DELAY_SECONDS
            turn = 1 + self.requests_ahead(key)
            return last_at + turn * REQUEST_TRIAL_SPACING_SECONDS
        if key.is_request and main:
            return last_at + HISTORY_RETENTION_SECONDS
        first, factor = (
            (MAIN_TRIAL_DELAY_SECONDS, MAIN_TRIAL_FACTOR)
            if main
            else (OTHER_TRIAL_DELAY_SECONDS, OTHER_TRIAL_FACTOR)
        )
        delay = first * math.pow(factor, suspicion(key, history) - 1)
        return last_at + min(delay, MAX_TRIAL_DELAY_SECONDS)

    def requests_ahead(self, key: PartKey) -> int:
        """Return how many requests are tried before one, after one crash.

        All gateways order them alike.
        """
        return sum(
            item.is_request and item.service == key.service and item < key
            for item in self.main_by_suspect()
            if count_moments(self.histories[item].crashes) == 1
        )

    def judge(self, service: str, parts: Iterable[str], now: float) -> Verdict:
        """Return whether a request with some parts may be sent.

        A prompt with all suspects of a crash has the one that caused it, and is
        tried only as late as a likely cause. One that lacks some of them tells
        which of the two groups has it.
        """
        if not self.histories:
            return Sound()
        keys = [PartKey(service, part) for part in parts]
        main = self.main_by_suspect()
        suspects = [key for key in keys if key in main]
        if not suspects:
            return Sound()
        has_all = self.has_all_of_a_crash(suspects)
        due = {
            key: self.trial_due(
                key, main[key] or (has_all and not key.is_request)
            )
            for key in suspects
        }
        last = max(suspects, key=lambda key: due[key])
        if due[last] > now:
            return Blocked(last, due[last] - now)
        renewed_at = self.renewed.get(last, NEVER)
        if now - renewed_at < TRIAL_SECONDS or self.is_trial_open(service, now):
            return Blocked(last, TRIAL_RETRY_AFTER)
        return Trial(last)

    def is_trial_open(self, service: str, now: float) -> bool:
        """Return whether a trial of the service has no result yet."""
        return any(
            key.service == service
            and now - history.trial_at < TRIAL_SECONDS
            and history.trial_at > history.crashes[-1].at
            for key, history in self.histories.items()
        )

    def end_trial(self, part: PartKey) -> None:
        """Let the next trial begin, as the request of this one has ended."""
        self.renewed.pop(part, None)
        history = self.histories.get(part)
        if history is not None:
            self.histories[part] = history._replace(trial_at=NEVER)

    def must_withdraw(
        self, service: str, parts: Iterable[str], now: float
    ) -> bool:
        """Return whether to withdraw a request that its endpoint has not begun.

        One without the likely cause of a crash is probably sound.
        """
        main = self.main_by_suspect()
        return any(
            main.get(key, False) and self.trial_due(key, True) > now
            for key in (PartKey(service, part) for part in parts)
        )


def create_crash_suspects() -> CrashSuspects:
    """Create suspects of which none is known."""
    return CrashSuspects()
