"""Keeps the suspect parts of prompts in the object store.

The gateways tell each other of suspects. The record serves those that start
when no gateway is left that knows them.
"""

from collections.abc import Callable
import datetime
import threading
from typing import Final
from typing import NamedTuple

import msgspec
import returns.pipeline

from verbenafall_core import clock as clock_lib
from verbenafall_core import event_log
from verbenafall_core import json_documents
from verbenafall_core import messages
from verbenafall_core.object_store import port
from verbenafall_core.object_store import records
from verbenafall_gateway.forwarding import event_catalogue

# Reports in the record, as the store limits the size of an object.
MAX_STORED_REPORTS: Final = 1024
RETRY_INTERVAL: Final = datetime.timedelta(milliseconds=500)
# Longest wait of a stop for the current call.
STOP_LIMIT: Final = datetime.timedelta(seconds=2)


class StoredSuspects(NamedTuple):
    """Content of the record.

    Attributes:
        written_at: When it was written, in Unix milliseconds. The ages in the
            reports are as of then.
    """

    written_at: int
    reports: tuple[messages.PartReport, ...]


class SuspectRecord:
    """Record in the object store that holds the suspects of all services.

    It is read once, and written after a change that this gateway has seen. All
    calls are made on a thread of its own, as the store may block.

    Attributes:
        version: Version of the record in the store, 0 if there was none.
        loaded: Whether the record has been read.
        unsaved: Content to write, None if it was written.
        saved: The crashes of each part in the record, as last read or written.
    """

    def __init__(
        self,
        store: port.RecordStore,
        clock: clock_lib.Clock,
        on_loaded: Callable[[messages.PartReports], None],
    ) -> None:
        """Create a record that was not read yet.

        Args:
            store: Where the record is.
            clock: Time source of the ages.
            on_loaded: Called on the record's thread with what was read; merges
                it and calls save() with the result.
        """
        self.store = store
        self.clock = clock
        self.on_loaded = on_loaded
        self.name = f"{records.SUSPECT_KIND}/all"
        self.version = 0
        self.loaded = False
        self.unsaved: StoredSuspects | None = None
        self.saved: dict[tuple[str, str], int] = {}
        self.failure_logged = False
        self.lock = threading.Lock()
        self.stopped = threading.Event()
        self.wakeup = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="suspect-record", daemon=True
        )

    def start(self) -> None:
        """Read the record, and write later changes, on a thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.stopped.set()
        self.wakeup.set()
        self.thread.join(STOP_LIMIT.total_seconds())

    def save(self, reports: messages.PartReports) -> None:
        """Write the current suspects soon."""
        stored = select_reports(reports.reports)
        with self.lock:
            self.unsaved = StoredSuspects(self.now(), stored)
        self.wakeup.set()

    def now(self) -> int:
        """Return the time of day in Unix milliseconds."""
        return int(self.clock.now().timestamp() * 1000)

    def run(self) -> None:
        """Read the record once and write it after each change."""
        while not self.stopped.is_set():
            done = False
            try:
                done = self.run_once()
            except Exception as error:  # The thread must survive any error.
                event_log.emit(
                    event_catalogue.SUSPECT_RECORD_FAILED, error=repr(error)
                )
            self.wakeup.wait(None if done else RETRY_INTERVAL.total_seconds())
            self.wakeup.clear()

    def run_once(self) -> bool:
        """Read or write the record if that is due; return whether it is done.

        After a failed write the record is read again before the next one.
        """
        if not self.loaded and not self.load():
            return False
        with self.lock:
            content = self.unsaved
        if content is None:
            self.failure_logged = False
            return True
        if not self.write(content):
            return False
        with self.lock:
            if self.unsaved is content:
                self.unsaved = None
            return self.unsaved is None

    def load(self) -> bool:
        """Read the record; return whether that succeeded."""
        result = self.store.read(self.name)
        if returns.pipeline.is_successful(result):
            stored = result.unwrap()
            self.version = stored.version
            self.merge(stored.value)
        elif result.failure().kind is port.FailureKind.MISSING:
            self.version = 0
            self.saved = {}
        else:
            self.log_failure(result.failure())
            return False
        self.loaded = True
        return True

    def merge(self, value: bytes) -> None:
        """Pass on the content of the record, aged by the time since then.

        The owner saves again what it knows with it, instead of what is unsaved.
        """
        try:
            content = json_documents.decode(value, StoredSuspects)
        except json_documents.JsonError as error:
            event_log.emit(
                event_catalogue.SUSPECT_RECORD_FAILED, error=str(error)
            )
            return
        elapsed = max(0, self.now() - content.written_at)
        self.saved = count_crashes(content.reports)
        with self.lock:
            self.unsaved = None
        self.on_loaded(
            messages.PartReports(
                tuple(add_age(report, elapsed) for report in content.reports)
            )
        )

    def write(self, content: StoredSuspects) -> bool:
        """Write the record unless it has this content already."""
        crashes = count_crashes(content.reports)
        if crashes == self.saved:
            return True
        value = msgspec.json.encode(content)
        result = (
            self.store.update(self.name, value, self.version)
            if self.version
            else self.store.create(self.name, value)
        )
        if returns.pipeline.is_successful(result):
            self.version = result.unwrap().version
            self.saved = crashes
            self.failure_logged = False
            return True
        self.loaded = False
        self.log_failure(result.failure())
        return False

    def log_failure(self, failure: port.StoreFailure) -> None:
        """Log the first of the failed calls in a row."""
        if self.failure_logged:
            return
        self.failure_logged = True
        event_log.emit(
            event_catalogue.SUSPECT_RECORD_FAILED, error=failure.message
        )


def select_reports(
    reports: tuple[messages.PartReport, ...],
) -> tuple[messages.PartReport, ...]:
    """Return the reports to store.

    Those with most crashes come first, then those of parts that were never
    sound, then the newest.
    """
    ranked = sorted(
        reports,
        key=lambda report: (
            -len(report.crashes),
            report.sound_age is not None,
            min((age for _, age, _ in report.crashes), default=0),
        ),
    )
    return tuple(ranked[:MAX_STORED_REPORTS])


def count_crashes(
    reports: tuple[messages.PartReport, ...],
) -> dict[tuple[str, str], int]:
    """Return the number of crashes of each part."""
    return {
        (report.service, report.part): len(report.crashes) for report in reports
    }


def add_age(report: messages.PartReport, elapsed: int) -> messages.PartReport:
    """Return a report as it is some milliseconds later."""
    return report._replace(
        crashes=tuple(
            (endpoint, age + elapsed, waited)
            for endpoint, age, waited in report.crashes
        ),
        sound_age=add_optional(report.sound_age, elapsed),
        trial_age=add_optional(report.trial_age, elapsed),
    )


def add_optional(age: int | None, elapsed: int) -> int | None:
    """Return an age some milliseconds later, None if there is none."""
    return None if age is None else age + elapsed
