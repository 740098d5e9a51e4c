"""Plays a final fault and looks whether requests are served after it."""

import signal
import threading
import time

import standins

ENGINES = 4
CLIENTS = 8
PAUSE_SECONDS = 0.3
BEFORE_SECONDS = 6.0
DOWN_SECONDS = 1.5
RECOVERY_SECONDS = 12.0
AFTER_SECONDS = 8.0
SERVICE = "asistente-llm"


class Play:
    """One run of a case.

    Attributes:
        trouble: Called with the deployment right before the final fault;
            None to leave out both.
        extra_headers: Returns further headers of a client's request, by the
            request's number; its answer counts like any other.
    """

    def __init__(self, deployment, trouble, extra_headers):
        self.deployment = deployment
        self.trouble = trouble
        self.extra_headers = extra_headers
        self.record = deployment.record
        self.answers = []
        self.over = False
        self.routes = [
            standins.route("look", "idempotent", SERVICE, 3000, 2)
        ]

    def send_requests(self, client):
        """Send one request after the other."""
        number = 0
        while not self.over:
            number += 1
            extra = self.extra_headers(number * CLIENTS + client)
            attempt = f"{client:08x}{number:08x}"
            sent_at = time.monotonic()
            answer = standins.send_request(
                self.deployment.gateways[(number + client) % 2],
                "GET",
                "/look/1",
                attempt,
                ("Verbenafall-Model: m", *extra),
                limit=3.0,
            )
            served = answer.status == 200 and answer.complete
            self.answers.append((sent_at, served, bool(extra)))
            self.record.add(
                "client",
                "gets",
                attempt=attempt,
                extra=";".join(extra) or "none",
                status=answer.status,
            )
            time.sleep(PAUSE_SECONDS)

    def share_served(self, start, end):
        """Return which share of the requests sent in a time was served."""
        found = [item for item in self.answers if start <= item[0] < end]
        served = sum(item[1] for item in found)
        self.record.add(
            "case",
            "window",
            sent=len(found),
            served=served,
            with_extra_headers=sum(item[2] for item in found),
        )
        return served / max(1, len(found))

    def run(self):
        """Play the case; return the breaches, None if it could not run."""
        deployment = self.deployment
        for number in range(ENGINES):
            deployment.add_engine(
                f"i-{number}a", SERVICE, kind="plain"
            ).announce()
        deployment.store.put(
            "config", "main", standins.configuration(self.routes, [SERVICE])
        )
        if not deployment.add_gateways(2):
            return None
        start = time.monotonic()
        threads = [
            threading.Thread(
                target=self.send_requests, args=(client,), daemon=True
            )
            for client in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_SECONDS)
        end = time.monotonic()
        if self.trouble is not None:
            self.strike()
        back = time.monotonic()
        time.sleep(RECOVERY_SECONDS + AFTER_SECONDS)
        before = self.share_served(start, end)
        after = self.share_served(
            back + RECOVERY_SECONDS, time.monotonic() - 1.0
        )
        self.over = True
        for thread in threads:
            thread.join(5.0)
        if before < 0.25:
            return None
        if after < 0.25:
            return [
                f"{before:.2f} of the requests are served before the fault,"
                f" {after:.2f} from {RECOVERY_SECONDS} s after the processes"
                " are back"
            ]
        return []

    def strike(self):
        """Bring the trouble; kill all processes after an ack."""
        deployment = self.deployment
        self.trouble(deployment)
        deployment.store.put(
            "config",
            "main",
            standins.configuration(self.routes, [SERVICE], version=9),
        )
        self.record.add("platform", "kills all processes")
        for gateway in deployment.gateways:
            gateway.process.send_signal(signal.SIGKILL)
        time.sleep(DOWN_SECONDS)
        for gateway in deployment.gateways:
            gateway.process.wait()
            gateway.start()
        self.record.add("platform", "has started all processes")
