"""Signatures: only unchanged texts signed by a known key are accepted."""

import pytest

import bundle_helpers
from verbenafall_core.bundles import records
from verbenafall_core.bundles import signing

GOOD = bundle_helpers.signed(3)
NEW_KEYS = (
    bundle_helpers.OTHER_KEY.public_key(),
    bundle_helpers.KEY.public_key(),
)

REFUSED = [
    (GOOD._replace(text=GOOD.text + b" "), "no known key"),
    (GOOD._replace(signature=b""), "no known key"),
    (bundle_helpers.signed(3, bundle_helpers.OTHER_KEY), "no known key"),
    (GOOD._replace(version=4), "text has version 3, not 4"),
    (bundle_helpers.signed(3, text=b"{}"), "lacks version"),
]


class TestVerify:
    @pytest.mark.parametrize("keys", [bundle_helpers.PUBLIC_KEYS, NEW_KEYS])
    def test_accepts_any_known_key_during_a_key_rotation(self, keys):
        assert records.verify(GOOD, keys).unwrap().bundle.version == 3

    @pytest.mark.parametrize(("signed", "reason"), REFUSED)
    def test_rejects_with_reason(self, signed, reason):
        result = records.verify(signed, bundle_helpers.PUBLIC_KEYS)
        assert reason in result.failure()


class TestRecords:
    def test_round_trip(self):
        value = records.encode_bundle(GOOD)
        assert records.decode_bundle(3, value).unwrap() == GOOD
        head = records.Head(3, 4)
        assert records.decode_head(records.encode_head(head)).unwrap() == head

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xc1", b"\x81", b"\x01", records.encode_bundle(GOOD)[:-3]],
    )
    def test_malformed_bundle_is_rejected(self, value):
        assert records.decode_bundle(3, value).failure()

    @pytest.mark.parametrize("value", [b"", b"3", b"{}", b'{"accepted":"1"}'])
    def test_malformed_head_is_rejected(self, value):
        assert records.decode_head(value).failure()


class TestKeyFiles:
    def test_generated_keys_sign_and_verify(self, tmp_path):
        paths = signing.generate_key_files(tmp_path).unwrap()
        assert paths.private.stat().st_mode & 0o077 == 0
        key = signing.read_private_key(paths.private).unwrap()
        keys = signing.read_public_keys([paths.public]).unwrap()
        assert signing.verify(b"x", signing.sign(b"x", key), keys)

    def test_one_file_may_contain_several_keys(self, tmp_path):
        pair = [
            signing.generate_key_files(tmp_path / name).unwrap().public
            for name in "ab"
        ]
        both = tmp_path / "both.pem"
        both.write_bytes(b"".join(path.read_bytes() for path in pair))
        assert len(signing.read_public_keys([both]).unwrap()) == 2

    def test_existing_files_are_not_overwritten(self, tmp_path):
        paths = signing.generate_key_files(tmp_path).unwrap()
        before = paths.private.read_bytes()
        assert "exists" in signing.generate_key_files(tmp_path).failure()
        assert paths.private.read_bytes() == before

    def test_every_invalid_file_is_reported(self, tmp_path):
        bad = tmp_path / "bad.pem"
        bad.write_text("no key")
        missing = tmp_path / "missing.pem"
        problems = signing.read_public_keys([bad, missing]).failure()
        assert [p.split(":")[0] for p in problems] == [str(bad), str(missing)]
        assert signing.read_private_key(bad).failure()
