"""Heads that are those of an answer, and others."""

import random
import string

import pytest

from verbenafall_core import answer_heads

LENGTH = ("content-length", "5")
CHUNKED = ("transfer-encoding", "chunked")


class TestStatusLine:
    def test_status(self):
        valid = [
            status
            for status in range(1000)
            if answer_heads.find_status_fault("1.1", status) is None
        ]
        assert valid == [100, *range(102, 600)]

    @pytest.mark.parametrize(
        ("version", "valid"),
        [("1.1", 1), ("1.0", 1), ("0.9", 0), ("2.0", 0), ("1.2", 0), ("", 0)],
    )
    def test_version(self, version, valid):
        fault = answer_heads.find_status_fault(version, 200)
        assert (fault is None) is bool(valid)


class TestHeaderLine:
    def test_characters_of_a_name(self):
        allowed = {
            chr(code)
            for code in range(256)
            if answer_heads.find_header_fault(f"a{chr(code)}b", "c") is None
        }
        letters = string.ascii_letters + string.digits
        assert allowed == {*letters, *"!#$%&'*+-.^_`|~"}

    def test_characters_of_a_value(self):
        allowed = [
            code
            for code in range(256)
            if answer_heads.find_header_fault("a", f"b{chr(code)}c") is None
        ]
        assert allowed == [9, *range(32, 127), *range(128, 256)]

    def test_empty_name(self):
        assert answer_heads.find_header_fault("", "c") is not None


class TestFraming:
    @pytest.mark.parametrize(
        ("status", "headers", "valid"),
        [
            (200, [], True),
            (200, [LENGTH], True),
            (200, [LENGTH, LENGTH], True),
            (200, [CHUNKED], True),
            (200, [("transfer-encoding", "Chunked")], True),
            (200, [LENGTH, ("content-length", "6")], False),
            (200, [("content-length", "-1")], False),
            (200, [("content-length", "\xb2")], False),
            (200, [("content-length", "9" * 5000)], False),
            (200, [("content-length", "5, 5")], False),
            (200, [LENGTH, CHUNKED], False),
            (200, [("transfer-encoding", "gzip")], False),
            (200, [("transfer-encoding", "gzip, chunked")], False),
            (200, [("transfer-encoding", "chunked, gzip")], False),
            (200, [CHUNKED, CHUNKED], False),
            (204, [], True),
            (204, [("content-length", "0")], True),
            (204, [LENGTH], False),
            (204, [CHUNKED], False),
            (103, [LENGTH], False),
            (304, [LENGTH], True),
        ],
    )
    def test_where_the_body_ends(self, status, headers, valid):
        fault = answer_heads.find_framing_fault("1.1", status, headers)
        assert (fault is None) is valid

    def test_chunks_need_a_newer_version(self):
        assert answer_heads.find_framing_fault("1.0", 200, [CHUNKED])


class TestWholeHead:
    @pytest.mark.parametrize("seed", range(50))
    def test_one_fault_is_enough(self, seed):
        generator = random.Random(seed)
        headers = [("a", "b"), LENGTH, ("c", "d")]
        assert answer_heads.find_fault("1.1", 200, headers) is None
        place = generator.randrange(4)
        fault = generator.choice(
            [("a b", "c"), ("a", "\x00"), CHUNKED, ("", ""), ("e\x7f", "f")]
        )
        headers.insert(place, fault)
        assert answer_heads.find_fault("1.1", 200, headers) is not None
