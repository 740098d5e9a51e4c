"""Processes that are killed, paused or stopped under open requests."""

import signal
import subprocess
import sys

import pytest

from system import system_fleet
from verbenafall_standins.demo import client
from verbenafall_standins.demo import fleet as fleet_lib

pytestmark = pytest.mark.system

WAIT = system_fleet.WAIT_SECONDS
RECORDS = system_fleet.RECORDS
Verdict = client.Verdict
# Enough tokens for a stream to stay open until the test has acted.
LONG_STREAM_TOKENS = 400
SLOW_MS = 2000


def verdicts(futures):
    return [future.result(WAIT).verdict for future in futures]


def test_demonstration_run_holds_the_properties(tmp_path):
    """Guards against violations and bad exit codes in a run without faults."""
    command = [sys.executable, "-m", "verbenafall_standins.demo"]
    completed = subprocess.run(
        [*command, f"--directory={tmp_path / 'run'}", "--requests=48"],
        check=False,
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    rows = dict(
        line.rsplit(None, 1) for line in completed.stdout.splitlines()[:15]
    )
    assert rows["properties held"] == "yes"
    assert rows["asked"] == "48"
    assert rows["bad exit codes"] == "0"


class TestPaused:
    def test_paused_past_lease_and_link_limits(self, fleet):
        """Guards against a resumed process that acts on outdated state.

        A sidecar of a records service, the holder of the group's lease and a
        gateway are paused until another process holds the lease. Each gateway
        has a claimed reservation at that time. A third reservation only
        reaches the socket of the paused sidecar: its gateway reports it as
        not run, so the sidecar must not run it after it resumes.
        """
        fleet.wait("a lease holder", fleet.lease_holder)
        holder = fleet.lease_holder()
        streams = fleet.send_all(
            system_fleet.chat_requests(6, 2 * LONG_STREAM_TOKENS), gateway=0
        )
        fleet.set_endpoint_fault(RECORDS, "slow", delay_ms=SLOW_MS)
        started = fleet.send(system_fleet.reservation("pause-started"))
        at_paused_gateway = fleet.send(
            system_fleet.reservation("pause-gateway"), 1
        )
        fleet.wait(
            "claims",
            lambda: (
                fleet.claim_state("pause-started")
                and fleet.claim_state("pause-gateway")
            ),
        )
        opened_before = len(fleet.log_lines(RECORDS, "link_opened"))
        lost_before = len(fleet.log_lines(holder, "lease_lost"))
        paused = (RECORDS, holder, "gateway-1")
        for name in paused:
            fleet.send_signal(name, signal.SIGSTOP)
        buffered = fleet.send(system_fleet.reservation("pause-buffered"))
        assert started.result(WAIT).verdict is Verdict.UNKNOWN
        assert buffered.result(WAIT).verdict is Verdict.NOT_RUN
        fleet.wait(
            "another lease holder",
            lambda: fleet.lease_holder() not in ("", holder),
        )
        for name in paused:
            fleet.send_signal(name, signal.SIGCONT)
        assert system_fleet.find_incomplete(streams) == []
        report = at_paused_gateway.result(WAIT)
        assert report.verdict in (Verdict.UNKNOWN, Verdict.COMPLETE), report
        fleet.wait(
            "links of the sidecar that was paused",
            lambda: (
                len(fleet.log_lines(RECORDS, "link_opened")) > opened_before
            ),
        )
        fleet.wait(
            "a lost lease",
            lambda: len(fleet.log_lines(holder, "lease_lost")) > lost_before,
        )
        fleet.reset()
        for key in ("pause-started", "pause-gateway"):
            fleet.wait(
                "the outcome of a reservation that had started",
                lambda key=key: fleet.outcome(key)[1]["outcome"] == "ran",
            )
            retry = fleet.send(system_fleet.reservation(key), 1)
            assert retry.result(WAIT).verdict is Verdict.COMPLETE
        ran = fleet.run_keys()
        assert ran.count("pause-started") == 1
        assert ran.count("pause-gateway") == 1
        assert ran.count("pause-buffered") == 0
        assert fleet.outcome("pause-buffered")[1]["outcome"] == "not_run"


class TestKilledSidecar:
    def test_streams_resume_at_the_exact_token(self, fleet):
        """Guards against lost, repeated or truncated tokens."""
        target = fleet.engines()[0]
        streams = fleet.send_all(
            system_fleet.chat_requests(9, LONG_STREAM_TOKENS)
        )
        fleet.wait(
            "open streams on the target",
            lambda: len(fleet.open_runs(target, minimum_tokens=5)) >= 2,
        )
        fleet.kill(target)
        assert system_fleet.find_incomplete(streams) == []
        resumed = [
            line
            for gateway in fleet.plan.gateways
            for line in fleet.log_lines(gateway.name, "route_chosen")
            if "resume_index=0 " not in line
        ]
        assert len(resumed) >= 2

    def test_reservations_run_at_most_once(self, fleet):
        """Guards against a second run and a false not_run."""
        keys = [f"kill-{number}" for number in range(4)]
        first = fleet.send(system_fleet.reservation("kill-done"))
        assert first.result(WAIT).verdict is Verdict.COMPLETE
        fleet.set_endpoint_fault(RECORDS, "slow", delay_ms=SLOW_MS)
        reservations = fleet.send_all(map(system_fleet.reservation, keys))
        fleet.wait(
            "started claims",
            lambda: {fleet.claim_state(key) for key in keys} == {"started"},
        )
        fleet.kill(RECORDS)
        assert verdicts(reservations) == [Verdict.UNKNOWN] * len(keys)
        fleet.reset()
        retries = fleet.send_all(map(system_fleet.reservation, keys))
        assert verdicts(retries) == [Verdict.UNKNOWN] * len(keys)
        fleet.wait(
            "the ends of the runs that the endpoint had started",
            lambda: set(keys) <= set(fleet.run_keys()),
        )
        ran = fleet.run_keys()
        assert [ran.count(key) for key in keys] == [1] * len(keys)
        assert fleet.outcome(keys[0])[1]["outcome"] == "unknown"
        assert fleet.outcome("kill-done", gateway=1)[1]["outcome"] == "ran"
        assert fleet.outcome("kill-never-sent")[1]["outcome"] == "not_run"


class TestPlannedStop:
    def test_gateway_finishes_open_streams(self, fleet):
        """Guards against truncated answers and a late readiness change."""
        plan = fleet.plan.gateways[0]
        streams = fleet.send_all(
            system_fleet.chat_requests(6, LONG_STREAM_TOKENS), gateway=0
        )
        plain = fleet.send_all(
            system_fleet.chat_requests(
                2, LONG_STREAM_TOKENS, stream=False, seed=8
            ),
            gateway=0,
        )
        fleet.wait(
            "open streams",
            lambda: sum(map(fleet.in_flight, fleet.engines())) == 8,
        )
        drained_before = len(fleet.log_lines(plan.name, "gateway_draining"))
        fleet.send_signal(plan.name, signal.SIGTERM)
        fleet.wait(
            "the drain",
            lambda: (
                len(fleet.log_lines(plan.name, "gateway_draining"))
                > drained_before
            ),
        )
        # The gateway still serves, but is not ready for the balancer.
        assert not fleet_lib.is_ready(plan.client)
        assert not fleet_lib.is_ready(plan.admin)
        fleet.send_signal(plan.name, signal.SIGTERM)
        assert system_fleet.find_incomplete(streams + plain) == []
        assert fleet.exit_code(plan.name) == 0
        assert " open=0 " in fleet.log_lines(plan.name, "gateway_stopped")[-1]


class TestLeaving:
    def test_stopping_sidecar_finishes_open_streams(self, fleet):
        """Guards against new or broken requests at a stopping sidecar."""
        leaving = fleet.engines()[0]
        streams = fleet.send_all(
            system_fleet.chat_requests(9, LONG_STREAM_TOKENS)
        )
        fleet.wait(
            "open streams on the leaving endpoint",
            lambda: len(fleet.open_runs(leaving)) >= 2,
        )
        stopping_before = len(fleet.log_lines(leaving, "sidecar_stopping"))
        fleet.send_signal(leaving, signal.SIGTERM)
        fleet.wait(
            "the stop",
            lambda: (
                len(fleet.log_lines(leaving, "sidecar_stopping"))
                > stopping_before
            ),
        )
        later = fleet.send_all(system_fleet.chat_requests(12, 4, seed=9))
        assert system_fleet.find_incomplete(later + streams) == []
        assert fleet.exit_code(leaving) == 0
        # No attempt is admitted after the sidecar has logged that it stops.
        lines = fleet.log(leaving).splitlines()
        stop_index = max(
            index
            for index, line in enumerate(lines)
            if " sidecar_stopping " in line
        )
        assert not [
            later_line
            for later_line in lines[stop_index:]
            if " attempt_admitted " in later_line
        ]
