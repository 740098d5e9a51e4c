"""Bundle documents, signed texts and a fake link for tests."""

import copy
import json

from cryptography.hazmat.primitives.asymmetric import ed25519

from verbenafall_core import messages
from verbenafall_core.bundles import model
from verbenafall_core.bundles import records
from verbenafall_core.bundles import signing

KEY = ed25519.Ed25519PrivateKey.from_private_bytes(bytes(32))
OTHER_KEY = ed25519.Ed25519PrivateKey.from_private_bytes(bytes([1]) * 32)
PUBLIC_KEYS = (KEY.public_key(),)

DOCUMENT = {
    "version": 1,
    "deployment": "test",
    "region": "region-a",
    "data_centres": ["dc-1", "dc-2"],
    "services": [
        {
            "name": "chat",
            "kind": "model",
            "model": "chat-1",
            "slots": 8,
            "deadline_ms": 30000,
            "fences_orders": False,
            "rules": [],
        },
        {
            "name": "desk",
            "kind": "records",
            "model": "",
            "slots": 4,
            "deadline_ms": 5000,
            "fences_orders": False,
            "rules": [
                {
                    "method": "PUT",
                    "path_prefix": "/stock",
                    "idempotent": True,
                }
            ],
        },
    ],
    "teams": [
        {
            "name": "quotes",
            "credential_digests": ["0" * 64],
            "shares": 2,
            "max_in_flight": 10,
            "priority": 1,
            "services": ["chat", "desk"],
        }
    ],
    "groups": [
        {
            "name": "group-1",
            "service": "chat",
            "ranks": 2,
            "experts": 4,
            "maps": [{"version": 1, "placement": [0, 0, 1, 1]}],
            "skew_weight": 1,
            "move_weight": 0.5,
            "minimum_dwell_ms": 60000,
            "moves_per_minute": 2,
        }
    ],
}


def document(version=1, **changes):
    return {**copy.deepcopy(DOCUMENT), "version": version, **changes}


def text_of(version=1, **changes):
    return json.dumps(document(version, **changes)).encode()


def signed(version=1, key=KEY, text=None):
    text = text_of(version) if text is None else text
    return model.SignedBundle(version, text, signing.sign(text, key))


def put_bundle(store, bundle):
    name = records.bundle_name(bundle.version)
    return store.create(name, records.encode_bundle(bundle)).unwrap()


def put_head(store, accepted, pending=0):
    value = records.encode_head(records.Head(accepted, pending))
    stored = store.objects.get(records.HEAD_NAME)
    if stored is None:
        return store.create(records.HEAD_NAME, value).unwrap()
    return store.update(records.HEAD_NAME, value, stored.version).unwrap()


class FakeLink:
    """Link that records the sent messages."""

    def __init__(self, instance, role="sidecar"):
        self.peer = messages.Hello(1, instance, role, "dc-1", "chat")
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True
