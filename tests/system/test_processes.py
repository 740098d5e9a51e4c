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
# Longer than the test needs to reach the state in which it acts.
LONG_STREAM = 400
SLOW_MS = 2000


def verdicts(futures):
    return [future.result(WAIT).verdict for future in futures]


def test_demonstration_run_holds_the_properties(tmp_path):
    """Guards against any violation in an undisturbed run, and bad exits."""
    command = [sys.executable, "-m", "verbenafall_standins.demo"]
    done = subprocess.run(
        [*command, f"--directory={tmp_path / 'run'}", "--requests=48"],
        check=False,
        capture_output=True,
        text=True,
        timeout=100,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    rows = dict(line.rsplit(None, 1) for line in done.stdout.splitlines()[:15])
    assert rows["properties held"] == "yes"
    assert rows["asked"] == "48"
    assert rows["bad exit codes"] == "0"


class TestPaused:
    def test_paused_past_lease_and_link_limits(self, fleet):
        """Guards against a paused process that acts on what it believes.

        A sidecar of a records service, the holder of the group's lease and a
        gateway are paused until another process holds the lease. Both
        gateways have a reservation with a claim at that time. A third
        reservation reaches only the paused sidecar's socket: its gateway
        reports it as not run, and the sidecar must not run it afterwards.
        """
        fleet.wait("a lease holder", fleet.lease_holder)
        holder = fleet.lease_holder()
        streams = fleet.send_all(
            system_fleet.chat_requests(6, 2 * LONG_STREAM), gateway=0
        )
        fleet.set_endpoint_fault(RECORDS, "slow", delay_ms=SLOW_MS)
        begun = fleet.send(system_fleet.reservation("pause-begun"))
        held = fleet.send(system_fleet.reservation("pause-gateway"), 1)
        fleet.wait(
            "claims",
            lambda: (
                fleet.claim_state("pause-begun")
                and fleet.claim_state("pause-gateway")
            ),
        )
        opened = len(fleet.log_lines(RECORDS, "link_opened"))
        lost = len(fleet.log_lines(holder, "lease_lost"))
        paused = (RECORDS, holder, "gateway-1")
        for name in paused:
            fleet.send_signal(name, signal.SIGSTOP)
        buffered = fleet.send(system_fleet.reservation("pause-buffered"))
        assert begun.result(WAIT).verdict is Verdict.UNKNOWN
        assert buffered.result(WAIT).verdict is Verdict.NOT_RUN
        fleet.wait(
            "another lease holder",
            lambda: fleet.lease_holder() not in ("", holder),
        )
        for name in paused:
            fleet.send_signal(name, signal.SIGCONT)
        assert system_fleet.whole(streams) == []
        report = held.result(WAIT)
        assert report.verdict in (Verdict.UNKNOWN, Verdict.COMPLETE), report
        fleet.wait(
            "links of the sidecar that was paused",
            lambda: len(fleet.log_lines(RECORDS, "link_opened")) > opened,
        )
        fleet.wait(
            "a lost lease",
            lambda: len(fleet.log_lines(holder, "lease_lost")) > lost,
        )
        fleet.settle()
        for key in ("pause-begun", "pause-gateway"):
            fleet.wait(
                "the outcome of a reservation that had begun",
                lambda key=key: fleet.outcome(key)[1]["outcome"] == "ran",
            )
            again = fleet.send(system_fleet.reservation(key), 1)
            assert again.result(WAIT).verdict is Verdict.COMPLETE
        ran = fleet.run_keys()
        assert ran.count("pause-begun") == 1
        assert ran.count("pause-gateway") == 1
        assert ran.count("pause-buffered") == 0
        assert fleet.outcome("pause-buffered")[1]["outcome"] == "not_run"


class TestKilledSidecar:
    def test_streams_resume_at_the_exact_token(self, fleet):
        """Guards against lost, repeated or truncated tokens."""
        victim = fleet.engines()[0]
        streams = fleet.send_all(system_fleet.chat_requests(9, LONG_STREAM))
        fleet.wait(
            "open streams on the victim",
            lambda: len(fleet.open_runs(victim, tokens_seen=5)) >= 2,
        )
        fleet.kill(victim)
        assert system_fleet.whole(streams) == []
        resumed = [
            line
            for gateway in fleet.plan.gateways
            for line in fleet.log_lines(gateway.name, "route_chosen")
            if "resume_index=0 " not in line
        ]
        assert len(resumed) >= 2

    def test_reservations_run_at_most_once(self, fleet):
        """Guards against a second run, and against a false not_run."""
        keys = [f"kill-{number}" for number in range(4)]
        first = fleet.send(system_fleet.reservation("kill-done"))
        assert first.result(WAIT).verdict is Verdict.COMPLETE
        fleet.set_endpoint_fault(RECORDS, "slow", delay_ms=SLOW_MS)
        open_ones = fleet.send_all(map(system_fleet.reservation, keys))
        fleet.wait(
            "started claims",
            lambda: {fleet.claim_state(key) for key in keys} == {"started"},
        )
        fleet.kill(RECORDS)
        assert verdicts(open_ones) == [Verdict.UNKNOWN] * len(keys)
        fleet.settle()
        again = fleet.send_all(map(system_fleet.reservation, keys))
        assert verdicts(again) == [Verdict.UNKNOWN] * len(keys)
        fleet.wait(
            "the ends of the runs that the endpoint had begun",
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
            system_fleet.chat_requests(6, LONG_STREAM), gateway=0
        )
        plain = fleet.send_all(
            system_fleet.chat_requests(2, LONG_STREAM, stream=False, seed=8),
            gateway=0,
        )
        fleet.wait(
            "open streams",
            lambda: sum(map(fleet.in_flight, fleet.engines())) == 8,
        )
        drained = len(fleet.log_lines(plan.name, "gateway_draining"))
        fleet.send_signal(plan.name, signal.SIGTERM)
        fleet.wait(
            "the drain",
            lambda: (
                len(fleet.log_lines(plan.name, "gateway_draining")) > drained
            ),
        )
        # The gateway still serves, but asks its balancer for no new work.
        assert not fleet_lib.is_ready(plan.client)
        assert not fleet_lib.is_ready(plan.admin)
        fleet.send_signal(plan.name, signal.SIGTERM)
        assert system_fleet.whole(streams + plain) == []
        assert fleet.exit_code(plan.name) == 0
        assert " open=0 " in fleet.log_lines(plan.name, "gateway_stopped")[-1]


class TestLeaving:
    def test_sidecar_told_to_stop(self, fleet):
        """Guards against work sent to, or cut off at, a leaving endpoint."""
        leaving = fleet.engines()[0]
        streams = fleet.send_all(system_fleet.chat_requests(9, LONG_STREAM))
        fleet.wait(
            "open streams on the leaving endpoint",
            lambda: len(fleet.open_runs(leaving)) >= 2,
        )
        stopping = len(fleet.log_lines(leaving, "sidecar_stopping"))
        fleet.send_signal(leaving, signal.SIGTERM)
        fleet.wait(
            "the stop",
            lambda: (
                len(fleet.log_lines(leaving, "sidecar_stopping")) > stopping
            ),
        )
        later = fleet.send_all(system_fleet.chat_requests(12, 4, seed=9))
        assert system_fleet.whole(later + streams) == []
        assert fleet.exit_code(leaving) == 0
        # Nothing is admitted after the sidecar has said that it stops.
        lines = fleet.log(leaving).splitlines()
        begin = max(
            index
            for index, line in enumerate(lines)
            if " sidecar_stopping " in line
        )
        assert not [x for x in lines[begin:] if " attempt_admitted " in x]
