"""JSON documents that cannot be decoded as a whole."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from verbenafall_core import json_documents

DEPTH = 100_000
# Test id, text that is no JSON value which can be decoded.
ODD_VALUES = [
    ("deep array", b"[" * DEPTH + b"]" * DEPTH),
    ("deep object", b'{"a":' * DEPTH + b"1" + b"}" * DEPTH),
    ("number out of range", b"1e400"),
    ("long integer", b"1" * 5000),
    ("not a number", b"NaN"),
    ("no UTF-8", b'"\xff\xfe"'),
    ("half a surrogate", b'"\\ud800"'),
    ("control character", b'"\x01"'),
    ("unknown escape", b'"\\x"'),
    ("no value", b""),
    ("name that is no UTF-8", b'{"\xff": 1}'),
    ("leading zero", b"01"),
]
DOCUMENTS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(),
    lambda items: (
        strategies.lists(items, max_size=4)
        | strategies.dictionaries(strategies.text(), items, max_size=4)
    ),
    max_leaves=12,
)


class TestDecode:
    @pytest.mark.parametrize(
        "text",
        [item[1] for item in ODD_VALUES],
        ids=[item[0] for item in ODD_VALUES],
    )
    def test_any_odd_text_is_one_kind_of_error(self, text):
        with pytest.raises(json_documents.JsonError) as raised:
            json_documents.decode(text, object)
        limit = json_documents.MAX_PROBLEM_LENGTH
        assert len(str(raised.value)) <= limit


class TestSplit:
    @hypothesis.given(strategies.lists(DOCUMENTS, max_size=4))
    def test_items_of_an_array(self, items):
        text = json.dumps(items).encode()
        found = json_documents.split_items(text)
        assert [json.loads(item) for item in found] == items

    @hypothesis.given(strategies.dictionaries(strategies.text(), DOCUMENTS))
    def test_fields_of_an_object(self, fields):
        text = json.dumps(fields, ensure_ascii=False).encode()
        found = json_documents.split_fields(text)
        assert {key: json.loads(item) for key, item in found.items()} == fields

    @pytest.mark.parametrize(
        "text",
        [b"", b"1", b"[", b"[1]]", b"[[1]", b"[1}", b"[1][2]", b"{1}", b"[1] "],
    )
    def test_other_texts(self, text):
        if text == b"[1] ":
            assert json_documents.split_items(text) == [b"1"]
            return
        with pytest.raises(json_documents.JsonError):
            json_documents.split_fields(text)


class TestParts:
    @pytest.mark.parametrize(
        "text",
        [item[1] for item in ODD_VALUES],
        ids=[item[0] for item in ODD_VALUES],
    )
    def test_odd_part_costs_no_other(self, text):
        document = b'{"items": [{"a": 1}, {"b": ' + text + b', "c": 2}, 3]}'
        found = json_documents.decode_parts(document, 3)
        first, odd, last = found["items"]
        assert (first, last) == ({"a": 1}, 3)
        assert odd["c"] == 2
        assert isinstance(odd["b"], json_documents.Undecodable)

    @hypothesis.given(DOCUMENTS, strategies.integers(0, 3))
    def test_sound_document_is_decoded_as_it_is(self, document, levels):
        text = json.dumps(document).encode()
        assert json_documents.decode_parts(text, levels) == document
