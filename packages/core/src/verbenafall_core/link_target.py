"""A peer that a process maintains a link to, with its reconnect schedule."""

import datetime
import random
from typing import Final

from verbenafall_core import addresses
from verbenafall_core import link as link_lib

INITIAL_RECONNECT_DELAY: Final = datetime.timedelta(milliseconds=100)
MAX_RECONNECT_DELAY: Final = datetime.timedelta(seconds=2)


class Target:
    """A peer that the link loop maintains a link to.

    Attributes:
        delay: Delay before the next reconnect, without jitter.
        due: Monotonic time of the next connection attempt.
    """

    def __init__(self, address: addresses.Address) -> None:
        """Create a target whose first connection attempt is due."""
        self.address = address
        self.link: link_lib.Link | None = None
        self.delay = INITIAL_RECONNECT_DELAY
        self.due = datetime.timedelta()

    def schedule_reconnect(
        self, now: datetime.timedelta, generator: random.Random
    ) -> None:
        """Clear the link and schedule a connection attempt with backoff."""
        self.link = None
        self.due = now + self.delay * generator.uniform(0.5, 1.5)
        self.delay = min(self.delay * 2, MAX_RECONNECT_DELAY)
