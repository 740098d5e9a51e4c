"""Store outages, and store calls that are lost or lose their answers."""

import json

import pytest

from system import system_fleet
from verbenafall_standins.demo import client
from verbenafall_standins.demo import fleet as fleet_lib
from verbenafall_standins.demo import workload

pytestmark = pytest.mark.system

WAIT = system_fleet.WAIT_SECONDS
RECORDS = system_fleet.RECORDS
CALLER = system_fleet.CALLER
Verdict = client.Verdict
SLOW_MS = 300
CLAIMS = "claims/"

# Store fault, number of calls with the fault, whether it starts only after the
# claim, and the verdicts that are allowed.
LOST_CALL_CASES = [
    ("lose_answer", 1, False, {Verdict.COMPLETE}),
    ("lose_answer", 3, False, {Verdict.COMPLETE, Verdict.NOT_RUN}),
    ("lose_call", 1, False, {Verdict.COMPLETE, Verdict.NOT_RUN}),
    ("lose_call", 3, False, {Verdict.NOT_RUN}),
    ("lose_answer", 1, True, {Verdict.COMPLETE}),
    ("lose_call", 1, True, {Verdict.COMPLETE}),
]


def reserve(fleet, key, gateway=0):
    """Send a reservation; return status, headers and error."""
    path = f"/services/{CALLER.records_service}/reservations"
    body = json.dumps({"item": f"item {key}"})
    status, headers, answer = fleet.call(
        "POST", path, body, {"Idempotency-Key": key}, gateway
    )
    return status, headers, answer.get("error")


def lookup(number):
    path = f"/stock/{number}"
    return workload.RecordsRequest(CALLER, "GET", path, "", path)


class TestOutage:
    def test_outage_and_restarts_in_it(self, fleet):
        """Guards against serving that needs the store and false refusals."""
        engine = fleet.engines()[1]
        accepted = fleet.accepted()
        fleet.set_store_fault("down")
        # A delayed refusal would give the deadline as its reason.
        status, headers, error = reserve(fleet, "outage-1")
        assert (status, error["outcome"]) == (503, "not_run")
        assert error["code"] == "store_unavailable"
        assert int(headers["Retry-After"]) >= 1
        for name in ("gateway-1", engine, RECORDS):
            fleet.kill(name)
            fleet.start(name)

        def have_restarted():
            try:
                statuses = fleet.statuses(fleet.plan.gateways[1])
            except OSError:
                return False
            return all(
                name in statuses
                and statuses[name]["ready"]
                and statuses[name]["in_force"] == accepted
                for name in ("gateway-1", engine, RECORDS)
            )

        fleet.wait("the restarted processes on a peer's bundle", have_restarted)
        requests = system_fleet.chat_requests(8, 12) + [
            lookup(n) for n in range(4)
        ]
        assert (
            system_fleet.find_incomplete(fleet.send_all(requests, gateway=1))
            == []
        )
        status, _, error = reserve(fleet, "outage-1", gateway=1)
        assert (status, error["outcome"]) == (503, "not_run")
        assert "outage-1" not in fleet.run_keys()
        fleet.reset()
        after = fleet.send(system_fleet.reservation("outage-1"))
        assert after.result(WAIT).verdict is Verdict.COMPLETE
        assert fleet.run_keys().count("outage-1") == 1


class TestLostClaims:
    @pytest.mark.parametrize(
        ("mode", "count", "after_claim", "allowed"), LOST_CALL_CASES
    )
    def test_answer_agrees_with_the_run(
        self, fleet, mode, count, after_claim, allowed
    ):
        """Guards against a run that is reported as not run, or runs twice."""
        key = f"{mode}-{count}-{after_claim}"
        request = system_fleet.reservation(key)
        if after_claim:
            fleet.set_endpoint_fault(RECORDS, "slow", delay_ms=SLOW_MS)
            sent = fleet.send(request)
            fleet.wait("the claim", lambda: fleet.claim_state(key))
            fleet.set_store_fault(mode, count, CLAIMS)
        else:
            fleet.set_store_fault(mode, count, CLAIMS)
            sent = fleet.send(request)
        verdict = sent.result(WAIT).verdict
        assert verdict in allowed
        fleet.set_store_fault("up")
        ran = verdict is Verdict.COMPLETE
        assert fleet.run_keys().count(key) == ran
        retry_verdict = fleet.send(request, gateway=1).result(WAIT).verdict
        if ran:
            # The recorded answer may be lost, but a retry must not report that
            # the reservation did not run.
            assert retry_verdict in (Verdict.COMPLETE, Verdict.UNKNOWN)
        fleet.wait(
            "one run or none",
            lambda: (
                fleet.run_keys().count(key) == 1
                or fleet.claim_state(key) == "void"
            ),
        )
        assert fleet.run_keys().count(key) <= 1
        assert fleet_lib.is_ready(fleet.plan.gateways[0].client)
