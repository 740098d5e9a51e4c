"""Concurrent operators, broken streams, and a map switch under load."""

import datetime

import pytest

from system import system_fleet
from verbenafall_standins.demo import fleet as fleet_lib

pytestmark = pytest.mark.system

WAIT = system_fleet.WAIT_SECONDS
GROUP_RECORD = f"groups/{system_fleet.GROUP}"
LEAVING_LIMIT = datetime.timedelta(seconds=3)
LOST_ROLLOUT_EXIT_CODE = 4
# Several seconds of steps, so that streams stay open until the test has acted,
# also on a busy machine.
LONG_STREAM_TOKENS = 400


def steps(fleet):
    first = fleet.find_plan(fleet.engines()[0])
    return fleet_lib.read_json(first.endpoint, "/-/steps")


def log_time(line):
    return datetime.datetime.strptime(
        line.split(" ", 1)[0], "%Y-%m-%dT%H:%M:%S.%f%z"
    )


def field(line, name):
    """Return a field of a log line."""
    return line.split(f" {name}=", 1)[1].split(" ", 1)[0]


class TestOperators:
    def test_one_of_two_rollouts_wins_everywhere(self, fleet):
        """Guards against two different bundles of one version in force."""
        version = fleet.accepted() + 1
        names = ("first-operator", "second-operator")
        paths = [
            fleet.sign(f"{name}.json", fleet.bundle(version, deployment=name))
            for name in names
        ]
        rollouts = [fleet.start_rollout(path) for path in paths]
        outputs = [rollout.communicate(timeout=WAIT)[0] for rollout in rollouts]
        codes = [rollout.returncode for rollout in rollouts]
        assert sorted(codes) == [0, LOST_ROLLOUT_EXIT_CODE], outputs
        winner = names[codes.index(0)]
        assert str(version) in outputs[codes.index(LOST_ROLLOUT_EXIT_CODE)]
        fleet.wait("the winner on all processes", fleet.is_healthy)
        assert fleet.accepted() == version
        for number in range(len(fleet.plan.gateways)):
            _, _, models = fleet.call("GET", "/v1/models", gateway=number)
            assert {item["owned_by"] for item in models["data"]} == {winner}
        for process in (*fleet.plan.gateways, *fleet.plan.sidecars):
            lines = fleet.log(process.name).splitlines()
            versions = [
                int(field(line, "version"))
                for line in lines
                if " bundle_in_force " in line
            ]
            assert versions == sorted(versions), process.name


class TestStreams:
    def test_broken_streams_are_resumed(self, fleet):
        """Guards against lost or repeated tokens after a broken stream.

        The test breaks all open streams of one engine once.
        """
        streams = fleet.send_all(
            system_fleet.chat_requests(6, LONG_STREAM_TOKENS)
        )
        target = fleet.engines()[0]
        fleet.wait("open streams", lambda: len(fleet.open_runs(target, 5)) >= 1)
        fleet.set_endpoint_fault(target, "break_streams")
        assert system_fleet.find_incomplete(streams) == []

    def test_stalled_rank_delays_only_the_step(self, fleet):
        """Guards against a straggler that breaks streams or changes the map."""
        record = fleet.object(GROUP_RECORD)
        engine = fleet.find_plan(fleet.engines()[0])
        streams = fleet.send_all(
            system_fleet.chat_requests(6, LONG_STREAM_TOKENS)
        )
        fleet.wait("open streams", lambda: fleet.open_runs(engine.name))
        fleet.set_endpoint_fault(engine.name, "stall", rank=engine.ranks[0])
        step_counts = []

        def is_stalled():
            step_counts.append(steps(fleet)["steps"])
            return len(step_counts) > 4 and len(set(step_counts[-4:])) == 1

        fleet.wait("a stalled step", is_stalled)
        assert not all(stream.done() for stream in streams)
        fleet.set_endpoint_fault(engine.name, "up")
        assert system_fleet.find_incomplete(streams) == []
        assert fleet.object(GROUP_RECORD) == record


class TestMapSwitch:
    def test_switch_under_load_completes_without_its_leader(self, fleet):
        """Guards against mixed steps and broken streams in a map switch."""
        before = fleet.object(GROUP_RECORD)
        version = fleet.accepted() + 1
        document = fleet.bundle(version)
        for group in document["groups"]:
            group["maps"] = [
                expert_map
                for expert_map in group["maps"]
                if expert_map["version"] != before["map_version"]
            ]
        path = fleet.sign("maps.json", document)
        fleet.wait("a lease holder", fleet.lease_holder)
        requests = iter(system_fleet.chat_requests(4000, 60))
        streams = []

        def is_in(phase):
            # Polls start more streams when few are open, so that some are
            # open in each phase of the switch.
            if sum(not stream.done() for stream in streams) < 6:
                streams.extend(fleet.send_all([next(requests), next(requests)]))
            return fleet.object(GROUP_RECORD)["phase"] == phase

        rollout = fleet.start_rollout(path)
        fleet.wait("a switch", lambda: is_in("switching"))
        holder = fleet.lease_holder()
        fleet.kill(holder)
        fleet.start(holder)
        output = rollout.communicate(timeout=WAIT)[0]
        assert rollout.returncode == 0, output
        fleet.wait("a stable group", lambda: is_in("stable"))
        assert system_fleet.find_incomplete(streams) == []
        after = fleet.object(GROUP_RECORD)
        assert after["map_version"] != before["map_version"]
        assert after["epoch"] > before["epoch"]
        for name in fleet.engines():
            state = fleet_lib.read_json(
                fleet.find_plan(name).endpoint, "/v1/state"
            )
            assert state["map_version"] == after["map_version"]
        assert steps(fleet)["mixed"] == 0


class TestInstanceList:
    def test_leaving_in_the_instance_list_only(self, fleet):
        """Guards against new requests or broken streams at a leaving endpoint.

        The instance list says that the endpoint leaves; its sidecar does not
        know.
        """
        leaving = fleet.engines()[0]
        streams = fleet.send_all(
            system_fleet.chat_requests(9, LONG_STREAM_TOKENS)
        )
        fleet.wait("open streams", lambda: len(fleet.open_runs(leaving)) >= 2)
        fleet.publish_instance_list({leaving: "leaving"})

        def is_listed():
            entries = fleet_lib.read_json(
                fleet.plan.instance_list, "/instances"
            )
            states = {entry["name"]: entry["state"] for entry in entries}
            return states[leaving] == "leaving"

        fleet.wait("the platform's list", is_listed)
        listed_at = datetime.datetime.now(datetime.UTC)
        requests = iter(system_fleet.chat_requests(2000, 4, seed=9))
        reduced_candidates = f" candidates={len(fleet.engines()) - 1} "
        gateways = [plan.name for plan in fleet.plan.gateways]
        log_starts = {
            name: len(fleet.log_lines(name, "route_chosen"))
            for name in gateways
        }

        def is_excluded():
            requests_sent = fleet.send_all([next(requests), next(requests)])
            assert system_fleet.find_incomplete(requests_sent) == []
            return all(
                reduced_candidates in fleet.log_lines(name, "route_chosen")[-1]
                for name in gateways
            )

        fleet.wait("routing without the endpoint", is_excluded)
        later = fleet.send_all([next(requests) for _ in range(12)])
        assert system_fleet.find_incomplete(later + streams) == []
        for name in gateways:
            chosen = fleet.log_lines(name, "route_chosen")[log_starts[name] :]
            names = [field(line, "endpoint") for line in chosen]
            first = next(
                i for i, line in enumerate(chosen) if reduced_candidates in line
            )
            assert leaving not in names[first:]
            late_choices = [
                line
                for line, endpoint in zip(chosen, names, strict=True)
                if endpoint == leaving
                and log_time(line) - listed_at > LEAVING_LIMIT
            ]
            assert not late_choices
