"""The codec: messages survive a round trip, invalid input is rejected."""

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from verbenafall_core import codec
from verbenafall_core import messages
from verbenafall_core import outcomes
from verbenafall_core.object_store import revisions

LAST = revisions.create_revision(revisions.MAX_ERA, revisions.MAX_NUMBER)
SAMPLES = [
    messages.Hello(1, "i", "gateway", "d", "s"),
    messages.Heartbeat(3, 4, True, False),
    messages.Dispatch(
        "r", "r.1", "s", "t", 1, 900, False, "k", "POST", "/x",
        (("a", "b"),), b"\xff", 2, "so far",
    ),
    messages.Cancel("r", "r.1"),
    messages.Accepted("r", "r.1", 3),
    messages.Refused(
        "r", "r.1", outcomes.Reason.DRAINING, outcomes.Outcome.NOT_RUN, 100,
        "detail",
    ),
    messages.Chunk("r", "r.1", 7, b"token"),
    messages.End("r", "r.1", 8, 40, 200, (), "stop", 12),
    messages.Failed(
        "r", "r.1", outcomes.Outcome.UNKNOWN, outcomes.Reason.LINK_LOST, 2, 0
    ),
    messages.CancelConfirmed("r", "r.1", outcomes.Outcome.NOT_RUN),
    messages.LoadReport(1, 2, 3, 4, False, True, 5),
    messages.BundleRequest(4),
    messages.BundlePush(4, True, True, b"{}", b"sig"),
    messages.StatusRequest(9),
    messages.StatusReply(
        9, "i", "sidecar", "d", "s", 1, 2,
        (messages.RejectedBundle(3, "bad signature"),), True, "", False,
        (messages.GroupStatus("g", 1, "stable", 2, 100, (0.5,)),),
    ),
    messages.GroupRecord("g", 4, b"{}"),
    messages.GroupMember(
        "g", "i", (0, 1), 2, 3, (3, 4), 100, 0, 99, (7, 8), (5,)
    ),
    messages.SendTime(2_000),
    messages.Leading("g", 7, 100),
    messages.RankStatus(
        "g", 1, 2, 3, True, 40, 7, 8, 8, 42, -1, 7, 7, 0, ((1, 2), (3,)), 1.5
    ),
    messages.RankDemand("g", 3, 4, 500, b"\x10\x0f"),
    messages.RankOrder(
        "g", "prepare", 7, 3, 8, 0, 7, ((0, 1, (2, 3)),), (((1,), (2,)),)
    ),
    messages.OpenRequests((("e", 3),)),
    messages.ConfigurationVersion(4),
    messages.ConfigurationRequest(3),
    messages.ConfigurationText(4, b"\xff"),
    messages.EndpointLeaving((("e", 12),)),
    messages.RankSlowdowns("g", 7, (("10.0.0.1", 1.5),)),
    messages.RankHold("g", "10.0.0.1", 8000, 7, 2, 31),
    messages.EndpointLimits((("e", 2.5, 40), ("f", None, 0))),
    messages.PartReports(
        (messages.PartReport("s", "p", (("e", 40, 250),), None, 7),)
    ),
    messages.GatewayCounted(),
    messages.OpenTrials((("s", "p"), ("s", "request:1"))),
    messages.StoppingEndpoints((("e", 1_700_000_000_000), ("f", None))),
]  # fmt: skip

BAD_ITEMS = [
    ("no array", {"a": 1}),
    ("empty array", []),
    ("kind is text", ["x"]),
    ("too few fields", [3, "r"]),
    ("wrong type", [4, "r", 7]),
    ("unknown reason", [6, "r", "r.1", "nonsense", "not_run", 0]),
]


class TestOtherReleases:
    @pytest.mark.parametrize("sample", SAMPLES, ids=lambda s: type(s).__name__)
    def test_fields_of_a_newer_release_are_ignored(self, sample):
        """Guards against links that close when only one side is upgraded."""
        item = msgpack.unpackb(codec.encode(sample))
        data = msgpack.packb([*item, "new", {"more": 1}])
        assert list(codec.create_decoder().feed(data)) == [sample]

    @pytest.mark.parametrize(
        ("sample", "missing"),
        [
            (messages.End("r", "r.1", 8, 40, 200, (), "stop"), 1),
            (messages.Refused("r", "r.1", "draining", "not_run", 1), 1),
        ],
    )
    def test_fields_missing_from_an_older_release_have_defaults(
        self, sample, missing
    ):
        """Guards against links that close when only one side is upgraded."""
        item = msgpack.unpackb(codec.encode(sample))[:-missing]
        data = msgpack.packb(item)
        assert list(codec.create_decoder().feed(data)) == [sample]


class TestRoundTrip:
    @pytest.mark.parametrize("sample", SAMPLES, ids=lambda s: type(s).__name__)
    def test_every_kind_byte_by_byte(self, sample):
        decoder = codec.create_decoder()
        found = []
        for byte in codec.encode(sample):
            found.extend(decoder.feed(bytes([byte])))
        assert found == [sample]
        assert type(found[0]) is type(sample)

    def test_samples_cover_every_kind(self):
        assert {type(s) for s in SAMPLES} == set(messages.KINDS.values())


class TestBadInput:
    @pytest.mark.parametrize(
        "item", [item for _, item in BAD_ITEMS], ids=[n for n, _ in BAD_ITEMS]
    )
    def test_refused(self, item):
        decoder = codec.create_decoder()
        with pytest.raises(codec.CodecError):
            list(decoder.feed(msgpack.packb(item)))

    def test_unknown_kind_is_reported_not_fatal(self):
        decoder = codec.create_decoder()
        data = msgpack.packb([999, 1]) + codec.encode(SAMPLES[0])
        assert list(decoder.feed(data)) == [
            codec.UnknownKind(999),
            SAMPLES[0],
        ]

    def test_oversized_message_is_refused(self):
        decoder = codec.create_decoder()
        with pytest.raises(codec.CodecError):
            list(decoder.feed(bytes(codec.MAX_MESSAGE_BYTES + 1)))


# Messages that carry terms, map versions or versions of records.
LARGE_REVISIONS = [
    messages.GroupRecord("g", LAST, b"{}"),
    messages.GroupMember("g", "i", (0,), LAST, 3, (3, 4), 100, 0, 99),
    messages.StatusReply(
        9, "i", "sidecar", "d", "s", 1, 2, (), True, "", False,
        (messages.GroupStatus("g", LAST, "stable", 2, 100, ()),),
    ),
    messages.Leading("g", LAST, 100),
    messages.RankStatus(
        "g", 1, 2, 3, True, 40, LAST, LAST, LAST, 42, -1, LAST, LAST, LAST
    ),
    messages.RankOrder("g", "prepare", LAST, 3, LAST, 0, LAST, (), (((1,),),)),
    messages.RankSlowdowns("g", LAST, ()),
    messages.RankHold("g", "10.0.0.1", 8000, LAST, 2, 31),
    messages.EndpointLeaving((("e", LAST),)),
]  # fmt: skip


class TestRevisions:
    @pytest.mark.parametrize(
        "sample", LARGE_REVISIONS, ids=lambda s: type(s).__name__
    )
    def test_store_restored_revisions_are_kept(self, sample):
        found = list(codec.create_decoder().feed(codec.encode(sample)))
        assert found == [sample]


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 2**40)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=4)
    | strategies.binary(max_size=4)
    | strategies.sampled_from(["not_run", "draining"]),
    lambda inner: strategies.lists(inner, max_size=3),
    max_leaves=4,
)
ITEMS = strategies.builds(
    lambda kind, fields: msgpack.packb([kind, *fields]),
    strategies.integers(0, 20),
    strategies.lists(VALUES, max_size=14),
)


class TestArbitraryInput:
    @hypothesis.given(strategies.binary(max_size=60) | ITEMS)
    def test_gives_messages_or_a_codec_error(self, data):
        """Guards against input whose error would end the link thread."""
        try:
            found = list(codec.create_decoder().feed(data))
        except codec.CodecError:
            return
        kinds = (*messages.KINDS.values(), codec.UnknownKind)
        assert all(isinstance(message, kinds) for message in found)
