"""Concurrent operators, broken streams, and a map switch under load."""

import datetime

import pytest

from system import system_fleet
from verbenafall_standins.demo import fleet as fleet_lib

pytestmark = pytest.mark.system

WAIT = system_fleet.WAIT_SECONDS
GROUP_RECORD = f"groups/{system_fleet.GROUP}"
LEAVING_LIMIT = datetime.timedelta(seconds=3)
LOST = 4
# Several seconds of steps: streams end later than the test needs to act on a
# busy machine.
OPEN_TOKENS = 400


def steps(fleet):
    first = fleet.planned(fleet.engines()[0])
    return fleet_lib.read_json(first.endpoint, "/-/steps")


def log_time(line):
    return datetime.datetime.strptime(
        line.split(" ", 1)[0], "%Y-%m-%dT%H:%M:%S.%f%z"
    )


def field(line, name):
    """Return a field of a log line."""
    return line.split(f" {name}=", 1)[1].split(" ", 1)[0]


class TestOperators:
    def test_one_of_two_rolls_wins_everywhere(self, fleet):
        """Guards against two contents of one version in force."""
        version = fleet.accepted() + 1
        names = ("first-operator", "second-operator")
        paths = [
            fleet.sign(f"{name}.json", fleet.bundle(version, deployment=name))
            for name in names
        ]
        rolls = [fleet.begin_roll(path) for path in paths]
        printed = [one.communicate(timeout=WAIT)[0] for one in rolls]
        codes = [one.returncode for one in rolls]
        assert sorted(codes) == [0, LOST], printed
        winner = names[codes.index(0)]
        assert str(version) in printed[codes.index(LOST)]
        fleet.wait("the winner everywhere", fleet.is_settled)
        assert fleet.accepted() == version
        for number in range(len(fleet.plan.gateways)):
            _, _, models = fleet.call("GET", "/v1/models", gateway=number)
            assert {one["owned_by"] for one in models["data"]} == {winner}
        for one in (*fleet.plan.gateways, *fleet.plan.sidecars):
            lines = fleet.log(one.name).splitlines()
            versions = [
                int(field(line, "version"))
                for line in lines
                if " bundle_in_force " in line
            ]
            assert versions == sorted(versions), one.name


class TestStreams:
    def test_broken_streams_are_resumed(self, fleet):
        """Guards against tokens lost or repeated where an engine breaks off.

        Each stream is broken once, on the engine that has it first.
        """
        streams = fleet.send_all(system_fleet.chat_requests(6, OPEN_TOKENS))
        victim = fleet.engines()[0]
        fleet.wait("open streams", lambda: len(fleet.open_runs(victim, 5)) >= 1)
        fleet.set_endpoint_fault(victim, "break_streams")
        assert system_fleet.whole(streams) == []

    def test_stalled_rank_holds_the_step_and_nothing_else(self, fleet):
        """Guards against streams cut off, or a map moved, by a straggler."""
        record = fleet.object(GROUP_RECORD)
        engine = fleet.planned(fleet.engines()[0])
        streams = fleet.send_all(system_fleet.chat_requests(6, OPEN_TOKENS))
        fleet.wait("open streams", lambda: fleet.open_runs(engine.name))
        fleet.set_endpoint_fault(engine.name, "stall", rank=engine.ranks[0])
        seen = []

        def is_held():
            seen.append(steps(fleet)["steps"])
            return len(seen) > 4 and len(set(seen[-4:])) == 1

        fleet.wait("a held step", is_held)
        assert not all(stream.done() for stream in streams)
        fleet.set_endpoint_fault(engine.name, "up")
        assert system_fleet.whole(streams) == []
        assert fleet.object(GROUP_RECORD) == record


class TestMapSwitch:
    def test_switch_under_load_survives_its_leader(self, fleet):
        """Guards against mixed steps and cut streams in a switch."""
        before = fleet.object(GROUP_RECORD)
        version = fleet.accepted() + 1
        document = fleet.bundle(version)
        for group in document["groups"]:
            group["maps"] = [
                one
                for one in group["maps"]
                if one["version"] != before["map_version"]
            ]
        path = fleet.sign("maps.json", document)
        fleet.wait("a lease holder", fleet.lease_holder)
        requests = iter(system_fleet.chat_requests(4000, 60))
        streams = []

        def is_in(phase):
            # Some streams begin at each poll, so that streams are open in
            # every part of the switch.
            if sum(not stream.done() for stream in streams) < 6:
                streams.extend(fleet.send_all([next(requests), next(requests)]))
            return fleet.object(GROUP_RECORD)["phase"] == phase

        rolling = fleet.begin_roll(path)
        fleet.wait("a switch", lambda: is_in("switching"))
        holder = fleet.lease_holder()
        fleet.kill(holder)
        fleet.start(holder)
        printed = rolling.communicate(timeout=WAIT)[0]
        assert rolling.returncode == 0, printed
        fleet.wait("a stable group", lambda: is_in("stable"))
        assert system_fleet.whole(streams) == []
        after = fleet.object(GROUP_RECORD)
        assert after["map_version"] != before["map_version"]
        assert after["epoch"] > before["epoch"]
        for name in fleet.engines():
            state = fleet_lib.read_json(
                fleet.planned(name).endpoint, "/v1/state"
            )
            assert state["map_version"] == after["map_version"]
        assert steps(fleet)["mixed"] == 0


class TestInstanceList:
    def test_listed_as_leaving_while_the_sidecar_does_not_know(self, fleet):
        """Guards against new work, or cut work, at a leaving endpoint."""
        leaving = fleet.engines()[0]
        streams = fleet.send_all(system_fleet.chat_requests(9, OPEN_TOKENS))
        fleet.wait("open streams", lambda: len(fleet.open_runs(leaving)) >= 2)
        fleet.set_instances({leaving: "leaving"})

        def is_listed():
            listed = fleet_lib.read_json(fleet.plan.instance_list, "/instances")
            states = {one["name"]: one["state"] for one in listed}
            return states[leaving] == "leaving"

        fleet.wait("the platform's list", is_listed)
        listed_at = datetime.datetime.now(datetime.UTC)
        requests = iter(system_fleet.chat_requests(2000, 4, seed=9))
        left = f" candidates={len(fleet.engines()) - 1} "
        gateways = [one.name for one in fleet.plan.gateways]
        starts = {
            name: len(fleet.log_lines(name, "route_chosen"))
            for name in gateways
        }

        def has_left():
            work = fleet.send_all([next(requests), next(requests)])
            assert system_fleet.whole(work) == []
            return all(
                left in fleet.log_lines(name, "route_chosen")[-1]
                for name in gateways
            )

        fleet.wait("routing without the endpoint", has_left)
        later = fleet.send_all([next(requests) for _ in range(12)])
        assert system_fleet.whole(later + streams) == []
        for name in gateways:
            chosen = fleet.log_lines(name, "route_chosen")[starts[name] :]
            names = [field(line, "endpoint") for line in chosen]
            first = next(i for i, line in enumerate(chosen) if left in line)
            assert leaving not in names[first:]
            late = [
                line
                for line, endpoint in zip(chosen, names, strict=True)
                if endpoint == leaving
                and log_time(line) - listed_at > LEAVING_LIMIT
            ]
            assert not late
