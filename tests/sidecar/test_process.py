"""Settings, command line and wiring of the sidecar process."""

import datetime
import pathlib
import queue
import threading

import pytest

from sidecar import helpers
from sidecar import test_thin_path
from verbenafall_core import clock as clock_lib
from verbenafall_core import link_router
from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_sidecar import main
from verbenafall_sidecar import sidecar_settings
from verbenafall_sidecar import wiring
from verbenafall_standins.fakes import memory_store

url = test_thin_path.url

GOOD = """\
[instance]
name = ep-1
data_centre = dc
[listen]
links = 127.0.0.1:0
[endpoint]
service = svc
kind = records
url = {url}
[platform]
object_store = http://127.0.0.1:1
instance_list = http://127.0.0.1:1
[bundles]
public_keys = {keys}
"""

# Text to replace, its replacement, a substring of each printed line.
BAD = [
    ("kind = records", "kind = other", ["[endpoint] kind"]),
    ("name = ep-1", "", ["[instance] name"]),
    (
        "service = svc\nkind = records",
        "service = A\nkind = b",
        ["[endpoint] service", "[endpoint] kind"],
    ),
    ("[bundles]", "[group]\nname = g\n[bundles]", ["ranks", "only engines"]),
    ("[bundles]", "[group]\nranks = 3-1\n[bundles]", ["'3-1'"]),
    ("public_keys = ", "public_keys = /none", ["no file"]),
]


def write(tmp_path, text, url="http://127.0.0.1:1"):
    keys = tmp_path / "keys.pem"
    keys.write_text("")
    path = tmp_path / "sidecar.ini"
    path.write_text(text.format(url=url, keys=keys))
    return path


class TestCommandLine:
    def test_check_accepts_valid_settings(self, tmp_path):
        path = write(tmp_path, GOOD)
        assert main.main(["serve", "--settings", str(path), "--check"]) == 0

    @pytest.mark.parametrize(("old", "new", "lines"), BAD)
    def test_prints_all_errors(self, tmp_path, capsys, old, new, lines):
        path = write(tmp_path, GOOD.replace(old, new))
        assert main.main(["serve", "--settings", str(path)]) == 2
        printed = capsys.readouterr().err.splitlines()
        assert len(printed) == len(lines)
        assert all(
            part in line for part, line in zip(lines, printed, strict=True)
        )

    def test_ranks(self):
        assert sidecar_settings.parse_ranks("0-2, 7").unwrap() == (0, 1, 2, 7)
        assert sidecar_settings.parse_ranks("0-2, 1").failure()


class FakeService:
    def start(self):
        pass

    def stop(self, limit):
        pass


class FakeLease(FakeService):
    def holds(self):
        return False


class FakeBundles(FakeService, helpers.FakeBundles):
    def attach(self, router):
        pass

    def heartbeat_fields(self):
        return 3, 0, True

    def not_ready_reason(self):
        return ""

    def rejected(self):
        return ()


@pytest.fixture
def running(tmp_path, url):
    path = write(tmp_path, GOOD, url)
    settings = sidecar_settings.read(pathlib.Path(path)).unwrap()
    bundles = FakeBundles()
    spec = model.ServiceSpec(
        "svc", model.ServiceKind.RECORDS, "", 2, None, False, ()
    )
    bundles.bundle = model.Bundle(3, "d", "r", (), (spec,), (), ())
    platform = wiring.Platform(
        memory_store.create_memory_store(),
        bundles,
        FakeService(),
        lambda _subscriber: None,
        lambda _name: FakeLease(),
        None,
    )
    sidecar = wiring.create_sidecar(
        settings, platform, clock_lib.system_clock()
    )
    sidecar.start()
    received, opened = queue.Queue(), queue.Queue()
    router = link_router.create_link_router()
    router.subscribe_open(opened.put)
    for kind in messages.KINDS.values():
        router.subscribe(kind, lambda _link, message: received.put(message))
    client = test_thin_path.create_loop("gateway", "gateway", router)
    client.start()
    client.set_targets({sidecar.address})
    yield (
        sidecar,
        opened.get(timeout=test_thin_path.WAIT_SECONDS),
        received,
    )
    client.stop(test_thin_path.STOP)


def wait_for_message(received, kind, accept=lambda _message: True):
    while True:
        message = received.get(timeout=test_thin_path.WAIT_SECONDS)
        if isinstance(message, kind) and accept(message):
            return message


def wait_for_phases(sidecar, phases):
    dispatcher = sidecar.dispatcher
    deadline = sidecar.clock.monotonic() + test_thin_path.STOP
    while [item.phase for item in list(dispatcher.attempts.values())] != phases:
        assert sidecar.clock.monotonic() < deadline
        threading.Event().wait(0.01)


class TestSidecar:
    def test_reports_the_load_with_each_heartbeat(self, running):
        """Guards against old loads, and against a separate write for each."""
        _, _, received = running
        kinds = []
        while kinds.count(messages.Heartbeat) < 3:
            message = received.get(timeout=test_thin_path.WAIT_SECONDS)
            kinds.append(type(message))
        beats = [n for n, k in enumerate(kinds) if k is messages.Heartbeat]
        assert {kinds[n - 1] for n in beats} == {messages.LoadReport}

    def test_serves_reports_and_stops_after_the_open_answer(self, running):
        sidecar, link, received = running
        assert wait_for_message(received, messages.LoadReport).slots == 2
        link.send(messages.StatusRequest(7))
        reply = wait_for_message(received, messages.StatusReply)
        assert (reply.token, reply.in_force, reply.ready) == (7, 3, True)
        # Delays the response until the sidecar is draining.
        released = threading.Event()
        start_call = sidecar.endpoint.start_call

        def start_call_later(dispatch, limit, sink):
            released.wait(test_thin_path.WAIT_SECONDS)
            return start_call(dispatch, limit, sink)

        sidecar.endpoint.start_call = start_call_later
        link.send(helpers.NON_IDEMPOTENT)
        wait_for_message(received, messages.Accepted)
        stopper = threading.Thread(target=sidecar.stop)
        stopper.start()
        wait_for_message(received, messages.LoadReport, lambda m: m.draining)
        link.send(helpers.DISPATCH._replace(attempt_id="r.2"))
        refused = wait_for_message(received, messages.Refused)
        assert (refused.reason, refused.outcome) == ("draining", "not_run")
        released.set()
        assert wait_for_message(received, messages.Chunk).data == b"echo:{}"
        assert wait_for_message(received, messages.End).status == 201
        stopper.join(test_thin_path.WAIT_SECONDS)
        assert not stopper.is_alive()

    def test_reports_what_is_open_at_the_stop_limit(self, running):
        """Guards against a link that closes without the known outcomes."""
        sidecar, link, received = running
        sidecar.settings = sidecar.settings._replace(
            stop_limit=datetime.timedelta(seconds=1)
        )
        released = threading.Event()
        start_call = sidecar.endpoint.start_call

        def start_call_later(dispatch, limit, sink):
            released.wait(test_thin_path.WAIT_SECONDS)
            return start_call(dispatch, limit, sink)

        sidecar.endpoint.start_call = start_call_later
        for number in (1, 2, 3):
            attempt = helpers.DISPATCH._replace(attempt_id=f"r.{number}")
            link.send(attempt)
            wait_for_message(received, messages.Accepted)
        wait_for_phases(sidecar, ["running", "running", "queued"])
        stopper = threading.Thread(target=sidecar.stop)
        stopper.start()
        try:
            failed = [
                wait_for_message(received, messages.Failed) for _ in range(2)
            ]
            refused = wait_for_message(received, messages.Refused)
        finally:
            released.set()
            stopper.join(test_thin_path.WAIT_SECONDS)
        assert refused.attempt_id == "r.3"
        assert (refused.reason, refused.outcome) == ("draining", "not_run")
        assert {item.attempt_id for item in failed} == {"r.1", "r.2"}
        assert {(item.reason, item.outcome) for item in failed} == {
            ("draining", "unknown")
        }
