"""Kinds of the product's own objects in the store."""

from typing import Final

# The link address of each gateway, under the gateway's name.
GATEWAY_KIND: Final = "gateway-addresses"
# The newest leader of each rank group; the object's version is the term.
TERM_KIND: Final = "group-terms"
