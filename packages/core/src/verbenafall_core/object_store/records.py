"""Kinds of the records that gateways and sidecars keep in the store."""

from typing import Final

# Link address of each gateway, by gateway name.
GATEWAY_KIND: Final = "gateway-addresses"
# Current leader of each rank group; the version of the record is the term.
TERM_KIND: Final = "group-terms"
