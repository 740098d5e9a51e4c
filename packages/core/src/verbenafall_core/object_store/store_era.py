"""The era of the object store, as this process has seen it."""

from collections.abc import Callable
import threading

from verbenafall_core import event_log
from verbenafall_core.object_store import event_catalogue
from verbenafall_core.object_store import revisions


class StoreEra:
    """The newest era that a response of the store has stated.

    The store's adapters report the era of each response; all of them share one
    instance. Thread-safe.

    Attributes:
        current: The newest era; 0 until a response has stated one.
        listeners: Called with the new era after each restore of the store, on
            the thread that received the response.
        observers: Called like the listeners, also with the first era.
    """

    def __init__(self) -> None:
        """Create a state in which no era is known."""
        self.current = 0
        self.listeners: list[Callable[[int], None]] = []
        self.observers: list[Callable[[int], None]] = []
        self.missing_logged = False
        self.lock = threading.Lock()

    def is_past(self, revision: int) -> bool:
        """Return whether a revision is of an earlier era than the current."""
        return revisions.era_of(revision) < self.current

    def receive(self, text: str, era_before: int) -> int | None:
        """Record the era that a response states; return the one it counts as.

        Args:
            text: The era as stated, empty if the response states none.
            era_before: The current era when the request was sent. A response
                without a readable era counts as one of this era.

        Returns:
            None if the response must not be used; see observe.
        """
        era = parse_era(text)
        if era is None and text:
            self.log_missing(text)
        if not self.observe(era):
            return None
        return era_before if era is None else era

    def observe(self, era: int | None) -> bool:
        """Record the era of a response; return whether it is current.

        A response of an earlier era describes a state that no longer exists,
        so the caller must not use it. A response without a readable era counts
        as one of the current era.

        Args:
            era: The stated era, at least 1; None if there is none or it is
                unreadable.
        """
        if era is None:
            self.log_missing()
            return True
        with self.lock:
            before = self.current
            if era <= before:
                return era == before
            self.current = era
        for observer in list(self.observers):
            observer(era)
        if before:
            event_log.emit(
                event_catalogue.STORE_RESTORED, before=before, era=era
            )
            for listener in list(self.listeners):
                listener(era)
        return True

    def log_missing(self, text: str = "") -> None:
        """Log once that a response states no readable era.

        A store that has never stated anything is not worth a log line.
        """
        with self.lock:
            if self.missing_logged or not (self.current or text):
                return
            self.missing_logged = True
        event_log.emit(
            event_catalogue.STORE_ERA_MISSING, era=self.current, stated=text
        )


def parse_era(text: str) -> int | None:
    """Return the era in a text, None if it is not a valid one."""
    era = revisions.parse_number(text)
    return era if era and era <= revisions.MAX_ERA else None


def create_store_era() -> StoreEra:
    """Create a state in which no era is known."""
    return StoreEra()
