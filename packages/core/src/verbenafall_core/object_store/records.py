"""Kinds of the records that gateways and sidecars keep in the store."""

import datetime
from typing import Final

# Link address of each gateway, by gateway name.
GATEWAY_KIND: Final = "gateway-addresses"
# Time after a restore of the store in which gateways that run have written
# their records again, also while the store refuses some calls.
GATEWAY_RECORD_RETENTION: Final = datetime.timedelta(seconds=30)
# Current leader of each rank group; the version of the record is the term.
TERM_KIND: Final = "group-terms"
# Parts of prompts that may crash endpoints.
SUSPECT_KIND: Final = "prompt-suspects"
