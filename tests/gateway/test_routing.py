"""Tests the functions that choose endpoints, links and retries."""

import collections
import datetime
import random

import pytest

from verbenafall_core import addresses
from verbenafall_core import outcomes
from verbenafall_core.instance_list import port
from verbenafall_gateway.choice import routing
from verbenafall_gateway.delivery import attempt_events
from verbenafall_gateway.delivery import retry_budget
from verbenafall_gateway.delivery import retry_rules
from verbenafall_gateway.links import subsetting
from verbenafall_standins.fakes import manual_clock


def endpoint(name, load=0, data_centre="north", service="s", available=True):
    return routing.EndpointState(
        name,
        service,
        data_centre,
        addresses.Address("127.0.0.1", 1),
        load,
        0,
        available,
    )


def choose(endpoints, affinity="", excluded=(), seed=1):
    return routing.choose(
        endpoints,
        "s",
        "north",
        affinity,
        frozenset(excluded),
        random.Random(seed),
    )


# Name, endpoints, excluded; no endpoint is usable for the attempt.
UNUSABLE_ENDPOINTS = [
    ("none", [], ()),
    ("draining_or_leaving", [endpoint("a", available=False)], ()),
    ("other_service", [endpoint("a", service="t")], ()),
    ("already_tried", [endpoint("a")], ("a",)),
]

# Name, endpoints, set of names chosen over all seeds.
CHOICES = [
    ("less_loaded_of_two", [endpoint("a", 3), endpoint("b", 1)], {"b"}),
    (
        "same_data_centre_first",
        [endpoint("a", 1), endpoint("b", 0, "south")],
        {"a"},
    ),
    (
        "other_data_centre_when_overloaded",
        [endpoint("a", 9), endpoint("b", 0, "south")],
        {"b"},
    ),
    ("any_of_equals", [endpoint("a"), endpoint("b")], {"a", "b"}),
]


class TestChoose:
    @pytest.mark.parametrize(
        ("endpoints", "excluded"),
        [row[1:] for row in UNUSABLE_ENDPOINTS],
        ids=[row[0] for row in UNUSABLE_ENDPOINTS],
    )
    def test_never_chooses_unusable_endpoints(self, endpoints, excluded):
        """Guards against attempts on unavailable or already tried endpoints."""
        assert choose(endpoints, excluded=excluded) is None
        assert choose(endpoints, "prompt", excluded) is None

    @pytest.mark.parametrize(
        ("endpoints", "names"),
        [row[1:] for row in CHOICES],
        ids=[row[0] for row in CHOICES],
    )
    def test_two_choices(self, endpoints, names):
        """Guards against ignoring load or data centre."""
        chosen = {
            choose(endpoints, seed=seed).endpoint.instance for seed in range(20)
        }
        assert chosen == names

    def test_affinity_holds_until_the_load_bound(self):
        """Guards against cache misses and against overloaded endpoints."""
        idle = [endpoint(name) for name in "abcdefgh"]
        first = choose(idle, "a prompt")
        assert first.reason is routing.RouteReason.AFFINITY
        for seed in range(20):
            again = choose(list(reversed(idle)), "a prompt", seed=seed)
            assert again.endpoint == first.endpoint
        overloaded = [
            item._replace(own_in_flight=5)
            if item.instance == first.endpoint.instance
            else item
            for item in idle
        ]
        # All overflow goes to the second choice, not to all endpoints.
        overflow = {
            choose(overloaded, "a prompt", seed=seed).endpoint.instance
            for seed in range(20)
        }
        second = choose(
            idle, "a prompt", excluded={first.endpoint.instance}
        ).endpoint.instance
        assert overflow == {second}

    def test_affinity_spreads_prompts(self):
        """Guards against a hash that concentrates prompts on one endpoint."""
        idle = [endpoint(name) for name in "abcd"]
        found = [
            choose(idle, f"prompt {number}\ud800").endpoint.instance
            for number in range(400)
        ]
        assert min(found.count(name) for name in "abcd") > 60


def create_instance(name, data_centre="north", service="s", state="live"):
    number = int(name.rpartition("-")[2]) + 1
    return port.Instance(
        name,
        "sidecar",
        data_centre,
        service,
        addresses.Address("127.0.0.1", number),
        port.InstanceState(state),
    )


class TestSubsetting:
    @pytest.mark.parametrize(
        ("gateways", "endpoints", "per_endpoint", "max_links"),
        [
            (1, 100, 1, 100),
            (3, 610, 3, 610),
            (20, 610, 4, 170),
            (40, 80, 8, 30),
        ],
    )
    def test_all_endpoints_have_equally_many_gateways(
        self, gateways, endpoints, per_endpoint, max_links
    ):
        """Guards against endpoints without links and against full meshes."""
        data_centres = ("north", "south", "east")
        fleet = [
            create_instance(f"e-{n}", data_centres[n % 3])
            for n in range(endpoints)
        ] + [
            create_instance(f"g-{n}", data_centres[n % 3])._replace(
                role="gateway", service=""
            )
            for n in range(gateways)
        ]
        counts = collections.Counter()
        for instance in fleet[endpoints:]:
            chosen = subsetting.choose_targets(
                instance.name, instance.data_centre, fleet, 16
            )
            assert 1 <= len(chosen) <= max_links
            counts.update(chosen)
        assert len(counts) == endpoints
        assert set(counts.values()) == {per_endpoint}

    def test_own_data_centre_first_and_stable(self):
        """Guards against needless links between data centres and churn."""
        fleet = [
            create_instance(f"e-{n}", "north" if n < 100 else "south")
            for n in range(200)
        ] + [
            create_instance(f"g-{n}", "north" if n < 20 else "south")._replace(
                role="gateway", service=""
            )
            for n in range(40)
        ]

        def choose_for(instances):
            return subsetting.choose_targets("g-0", "north", instances, 16)

        chosen = choose_for(fleet)
        assert chosen <= {item.address for item in fleet[:100]}
        # Removing a gateway in the other data centre changes nothing here.
        # Removing one in this data centre, or a tenth of its endpoints,
        # changes few links.
        assert choose_for(fleet[:-1]) == chosen
        fewer = [item for item in fleet if item.name != "g-1"]
        assert len(chosen - choose_for(fewer)) <= 1
        removed = [item for item in fleet if item.address not in chosen][:10]
        kept = [item for item in fleet if item not in removed]
        assert len(chosen - choose_for(kept)) <= 2

    def test_leaves_out_leaving_instances_and_gateways(self):
        """Guards against links to instances that accept no work."""
        fleet = [
            create_instance("e-1", state="leaving"),
            create_instance("e-2")._replace(role="gateway"),
            create_instance("e-3"),
            create_instance("e-4", service="t"),
        ]
        chosen = subsetting.choose_targets("g", "north", fleet, 16)
        assert chosen == {fleet[2].address, fleet[3].address}


NOT_RUN, UNKNOWN, RAN = outcomes.Outcome
Reason = outcomes.Reason
RETRY, WITH_BUDGET, GIVE_UP = retry_rules.Action

# Idempotent, outcome, reason, tokens delivered by the attempt, retries so
# far, remaining ms, action.
RULES = [
    (True, NOT_RUN, Reason.OVERLOADED, False, 0, 100, WITH_BUDGET),
    (False, NOT_RUN, Reason.OVERLOADED, False, 0, 100, WITH_BUDGET),
    (True, UNKNOWN, Reason.LINK_LOST, False, 0, 100, WITH_BUDGET),
    (True, UNKNOWN, Reason.ENDPOINT_FAILED, False, 0, 100, WITH_BUDGET),
    (True, RAN, Reason.ENDPOINT_FAILED, False, 1, 100, WITH_BUDGET),
    (True, RAN, Reason.ENDPOINT_FAILED, True, 1, 100, RETRY),
    (True, RAN, Reason.LINK_LOST, True, 0, 100, RETRY),
    (True, RAN, Reason.LINK_LOST, True, 2, 100, GIVE_UP),
    (True, RAN, Reason.LINK_LOST, True, 0, 0, GIVE_UP),
    (False, UNKNOWN, Reason.LINK_LOST, False, 0, 100, GIVE_UP),
    (False, RAN, Reason.ENDPOINT_FAILED, False, 0, 100, GIVE_UP),
    (False, RAN, Reason.LINK_LOST, True, 0, 100, GIVE_UP),
    (False, NOT_RUN, Reason.LINK_LOST, False, 0, 100, WITH_BUDGET),
    (False, UNKNOWN, Reason.CLAIM_HELD, False, 0, 100, GIVE_UP),
    (False, NOT_RUN, Reason.CLAIM_MISMATCH, False, 0, 100, GIVE_UP),
    (False, UNKNOWN, Reason.CLAIM_UNCONFIRMED, False, 0, 100, GIVE_UP),
    (False, NOT_RUN, Reason.KEY_SEALED, False, 0, 100, GIVE_UP),
    (False, NOT_RUN, Reason.STORE_UNAVAILABLE, False, 0, 100, GIVE_UP),
    (True, NOT_RUN, Reason.DEADLINE, False, 0, 100, GIVE_UP),
    (True, NOT_RUN, Reason.OVERLOADED, False, 2, 100, GIVE_UP),
    (True, NOT_RUN, Reason.OVERLOADED, False, 0, 0, GIVE_UP),
]


class TestRetryRules:
    @pytest.mark.parametrize(
        (
            "idempotent",
            "outcome",
            "reason",
            "delivered",
            "retries",
            "remaining",
            "action",
        ),
        RULES,
    )
    def test_actions(
        self, idempotent, outcome, reason, delivered, retries, remaining, action
    ):
        """Guards against repeating work that must not run twice."""
        broken = attempt_events.Broken(outcome, reason, "", None, False)
        remaining_time = datetime.timedelta(milliseconds=remaining)
        context = retry_rules.RetryContext(
            idempotent, delivered, retries, remaining_time
        )
        assert retry_rules.decide(broken, context) is action

    def test_budget_is_a_tenth_of_requests_and_one_a_second(self):
        """Guards against retry storms."""
        clock = manual_clock.create_manual_clock()
        budget = retry_budget.create_retry_budget(clock)
        assert [budget.try_acquire(), budget.try_acquire()] == [True, False]
        for _ in range(30):
            budget.record_request()
        acquired = [budget.try_acquire() for _ in range(4)]
        assert acquired.count(True) in (2, 3)
        clock.advance(datetime.timedelta(seconds=1))
        assert [budget.try_acquire(), budget.try_acquire()] == [True, False]
