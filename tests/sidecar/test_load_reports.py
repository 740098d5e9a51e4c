"""Load reports that a sidecar sends to gateways."""

import datetime

from verbenafall_core import codec
from verbenafall_core import messages
from verbenafall_sidecar.delivery import dispatcher
from verbenafall_sidecar.group import load_reports
from verbenafall_standins.fakes import manual_clock


class FakeLink:
    def __init__(self, role):
        self.peer = messages.Hello(1, "p", role, "d", "")
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def send_encoded(self, data):
        self.sent += codec.create_decoder().feed(data)
        return True


class FakeLinks:
    def __init__(self, *links):
        self.links = links

    def open_links(self):
        return self.links


SNAPSHOT = dispatcher.Snapshot(
    in_flight=1,
    queued=2,
    slots=4,
    service_time=datetime.timedelta(milliseconds=300),
    draining=False,
    endpoint_up=True,
)
REPORT = messages.LoadReport(1, 2, 4, 300, False, False, 7)


class TestLoadReports:
    def setup_method(self):
        self.clock = manual_clock.create_manual_clock()
        self.clock.advance(datetime.timedelta(seconds=2.5))
        self.gateway, self.member = FakeLink("gateway"), FakeLink("sidecar")
        self.reporter = load_reports.create_load_reporter(
            FakeLinks(self.gateway, self.member), lambda: 7, self.clock
        )

    def test_send_time_precedes_the_report(self):
        """Guards against a report that looks older by the delay before it."""
        self.reporter.send_to_all(SNAPSHOT)
        assert self.gateway.sent == [messages.SendTime(2500), REPORT]
        assert self.member.sent == []

    def test_time_is_sent_every_five_seconds(self):
        """Guards against too much control traffic and missing send times."""
        for _ in range(11):
            self.reporter.send_to_all(SNAPSHOT)
            self.clock.advance(datetime.timedelta(seconds=1))
        times = [m for m in self.gateway.sent if m != REPORT]
        assert times == [messages.SendTime(ms) for ms in (2500, 7500, 12500)]
        assert len(self.gateway.sent) == 11 + 3

    def test_reports_with_a_response_have_no_send_time(self):
        """Guards against an additional message for each response."""
        self.reporter.send_to(self.gateway, SNAPSHOT)
        assert self.gateway.sent == [REPORT]
