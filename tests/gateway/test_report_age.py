"""Tests the age of load reports and the weight of stale ones."""

import collections
import datetime
import random

import pytest

from verbenafall_core import addresses
from verbenafall_core import messages
from verbenafall_gateway.choice import endpoint_view
from verbenafall_gateway.choice import report_age
from verbenafall_gateway.choice import routing
from verbenafall_standins.fakes import manual_clock

DAY = 86_400


def seconds(number):
    return datetime.timedelta(seconds=number)


# Failure guarded against, readings (sent, received) in seconds, arrival of
# the report, now, minimum and maximum age.
AGES = [
    ("old_sidecars_send_no_time", [], 10, 10.8, 0.8, 0.8),
    ("offset_of_clocks_taken_for_age", [(9_000, 10)], 10, 10.5, 0.5, 0.5),
    ("sender_ahead_makes_negative_age", [(12, 10)], 10, 10, 0, 0),
    ("late_messages_taken_for_new", [(0, 10), (1, 13)], 13, 13.5, 2.49, 2.5),
    ("delay_kept_after_its_end", [(0, 10), (1, 13), (4, 14)], 14, 14, 0, 0),
    ("first_message_was_the_late_one", [(0, 12), (3, 13)], 13, 13, 0, 0),
    (
        "drift_of_clocks_taken_for_delay",
        [(n * (1 - 0.0005), n) for n in range(0, DAY, 60)],
        *(DAY, DAY, 0, 0.001),
    ),
    (
        "delay_of_minutes_forgotten",
        [(0, 10), *((n, n + 13) for n in range(1, 120))],
        *(132, 132, 2.8, 3),
    ),
]


class TestAge:
    @pytest.mark.parametrize(
        ("readings", "received", "now", "minimum", "maximum"),
        [row[1:] for row in AGES],
        ids=[row[0] for row in AGES],
    )
    def test_estimate(self, readings, received, now, minimum, maximum):
        """Guards against the failure that the row is named after."""
        delay = None
        for sent_at, received_at in readings:
            delay = report_age.observe_delay(
                delay, seconds(sent_at), seconds(received_at)
            )
        age = report_age.estimate_age(seconds(received), delay, seconds(now))
        assert seconds(minimum) <= age <= seconds(maximum)


# Failure guarded against, queue, age in seconds, effective queue.
WEIGHTS = [
    ("fresh_report_counts_less", 8, 0, 8),
    ("report_of_the_last_second_counts_less", 8, 1.2, 8),
    ("old_report_counts_in_full", 8, 1.5, 2),
    ("old_report_counts_nothing", 1, 60, 0.25),
    ("idle_endpoint_counts_as_busy", 0, 60, 0),
]


def endpoint(name, own=0, queue=0, age=0):
    return routing.EndpointState(
        name,
        "s",
        "north",
        addresses.Address("127.0.0.1", 1),
        own,
        queue,
        True,
        seconds(age),
    )


# Failure guarded against, endpoints, set of names chosen over all seeds. The
# test's prompt has an affinity for "b".
CHOICES = [
    (
        "queue_just_reported_is_ignored",
        [endpoint("a", own=1), endpoint("b", queue=4)],
        {"a"},
    ),
    (
        "endpoint_avoided_long_after_its_queue_is_gone",
        [endpoint("a", own=3), endpoint("b", queue=8, age=2)],
        {"b"},
    ),
    (
        "busy_endpoint_not_relieved_on_late_reports",
        [endpoint("a", age=2), endpoint("b", queue=12, age=2)],
        {"a"},
    ),
]


class TestWeight:
    @pytest.mark.parametrize(
        ("queue", "age", "counted"),
        [row[1:] for row in WEIGHTS],
        ids=[row[0] for row in WEIGHTS],
    )
    def test_of_a_reported_queue(self, queue, age, counted):
        """Guards against the failure that the row is named after."""
        assert routing.effective_queue(queue, seconds(age)) == counted

    @pytest.mark.parametrize(
        ("endpoints", "names"),
        [row[1:] for row in CHOICES],
        ids=[row[0] for row in CHOICES],
    )
    @pytest.mark.parametrize("affinity", ["", "prompt"])
    def test_in_choices(self, endpoints, names, affinity):
        """Guards against the failure that the row is named after."""
        chosen = {
            routing.choose(
                endpoints,
                "s",
                "north",
                affinity,
                frozenset(),
                random.Random(seed),
            ).endpoint.instance
            for seed in range(20)
        }
        assert chosen == names


# Reported queues of 16 endpoints; all gateways use the same reports.
QUEUES = [
    ("one_idle", [0] + [8] * 15),
    ("one_busy", [20] + [0] * 15),
    ("half_busy", [0] * 8 + [20] * 8),
    ("all_alike", [3] * 16),
]


class TestHerdEffect:
    @pytest.mark.parametrize("age", [0, 1, 2, 5])
    @pytest.mark.parametrize(
        "queues",
        [row[1] for row in QUEUES],
        ids=[row[0] for row in QUEUES],
    )
    def test_different_prompts_go_to_different_endpoints(self, queues, age):
        """Guards against all gateways choosing the same endpoint."""
        endpoints = [
            endpoint(f"e-{n}", queue=queue, age=age)
            for n, queue in enumerate(queues)
        ]
        chosen = collections.Counter(
            routing.choose(
                endpoints,
                "s",
                "north",
                f"prompt {number}",
                frozenset(),
                random.Random(number),
            ).endpoint.instance
            for number in range(400)
        )
        assert max(chosen.values()) < 0.2 * chosen.total()


class FakeLink:
    def __init__(self):
        self.peer = messages.Hello(1, "e-1", "sidecar", "north", "s")
        self.address = addresses.Address("127.0.0.1", 1)

    def send(self, _message):
        return True


def report(queued):
    return messages.LoadReport(0, queued, 8, 10, False, False, 0)


class TestView:
    def setup_method(self):
        self.clock = manual_clock.create_manual_clock()
        self.view = endpoint_view.create_endpoint_view(self.clock)
        self.link = FakeLink()
        self.view.on_open(self.link)

    def age(self):
        return self.view.snapshot()[0].report_age.total_seconds()

    def test_age_counts_from_the_last_report(self):
        """Guards against treating a silent endpoint's report as new."""
        self.view.on_load_report(self.link, report(3))
        self.clock.advance(seconds(2))
        assert self.age() == 2
        self.view.on_load_report(self.link, report(3))
        assert self.age() == 0

    def test_late_messages_make_a_report_old(self):
        """Guards against using the arrival time as the creation time."""
        self.view.on_send_time(self.link, messages.SendTime(50_000))
        self.clock.advance(seconds(4))
        self.view.on_send_time(self.link, messages.SendTime(51_000))
        self.view.on_load_report(self.link, report(3))
        assert self.age() == pytest.approx(3, abs=0.01)

    def test_new_link_resets_the_delay(self):
        """Guards against comparing clocks across a sidecar restart."""
        self.view.on_send_time(self.link, messages.SendTime(50_000))
        old, self.link = self.link, FakeLink()
        self.view.on_open(self.link)
        self.view.on_send_time(self.link, messages.SendTime(0))
        # A message on the old link arrives after the new link was opened.
        self.view.on_send_time(old, messages.SendTime(51_000))
        self.view.on_send_time(self.link, messages.SendTime(0))
        assert self.age() == 0
