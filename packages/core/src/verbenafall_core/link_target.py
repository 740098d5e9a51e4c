"""A peer that a process keeps a link to, and when to connect again."""

import datetime
import random
from typing import Final

from verbenafall_core import addresses
from verbenafall_core import link as link_lib

RECONNECT_FIRST: Final = datetime.timedelta(milliseconds=100)
RECONNECT_LIMIT: Final = datetime.timedelta(seconds=2)


class Target:
    """A peer that the loop keeps a link to."""

    def __init__(self, address: addresses.Address) -> None:
        """Create a target that is due at once."""
        self.address = address
        self.link: link_lib.Link | None = None
        self.delay = RECONNECT_FIRST
        self.due = datetime.timedelta()

    def postpone(
        self, now: datetime.timedelta, generator: random.Random
    ) -> None:
        """Forget the link and set the time of the next connection attempt."""
        self.link = None
        self.due = now + self.delay * generator.uniform(0.5, 1.5)
        self.delay = min(self.delay * 2, RECONNECT_LIMIT)
