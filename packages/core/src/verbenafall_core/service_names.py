"""Names under which services are registered in the kernel."""

from typing import Final

BUNDLES: Final = "bundles"
CLAIMS: Final = "claims"
DISPATCHER: Final = "dispatcher"
DRAIN: Final = "drain"
ENDPOINT: Final = "endpoint"
ENDPOINT_VIEW: Final = "endpoint-view"
EXPERT_MAPS: Final = "expert-maps"
GROUP_MEMBER: Final = "group-member"
HTTP_SERVER: Final = "http-server"
INSTANCE_LIST: Final = "instance-list"
LINKS: Final = "links"
OBJECT_STORE: Final = "object-store"
REQUEST_FLOW: Final = "request-flow"
STATUS: Final = "status"
