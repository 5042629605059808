"""Tests of the peer messages."""

import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from catkinpost.protocol.message import (
    Answer,
    Load,
    Ping,
    Pong,
    Refusal,
    decode_message,
    encode_message,
)
from catkinpost.protocol.outcome import Failure, Outcome, Reason


class TestMessages(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_garbage_never_raises(self, data):
        decoded = decode_message(data)
        if isinstance(decoded, Failure):
            self.assertEqual(decoded.reason, Reason.PEER_BAD_MESSAGE)

    @given(
        status=st.integers(100, 599),
        body=st.binary(max_size=100),
        headers=st.lists(st.tuples(st.binary(max_size=9), st.binary(max_size=9))),
    )
    def test_message_survives_its_encoding(self, status, body, headers):
        answer = Answer(7, status, headers, body, 2, Load(1, 2, 3, 4, True))
        self.assertEqual(decode_message(encode_message(answer)), answer)

    def test_field_of_a_newer_release_is_ignored(self):
        fields = msgspec.msgpack.decode(encode_message(Pong(1, Load(), 4, b"d")))
        fields[2].append("new")
        fields.append("newer")
        decoded = decode_message(msgspec.msgpack.encode(fields))
        self.assertEqual(decoded, Pong(1, Load(), 4, b"d"))

    def test_missing_field_of_an_older_release_gets_its_default(self):
        refusal = Refusal(
            1, Reason.LEAVING, Outcome.NOT_RUN, "", None, 0, Load(), "x#y", True
        )
        fields = msgspec.msgpack.decode(encode_message(refusal))[:-2]
        decoded = decode_message(msgspec.msgpack.encode(fields))
        self.assertEqual((decoded.holder, decoded.fenced), ("", False))

    def test_unknown_kind_of_message_is_a_failure(self):
        data = msgspec.msgpack.encode([99, 1])
        self.assertIsInstance(decode_message(data), Failure)

    def test_control_message_is_small(self):
        self.assertLess(len(encode_message(Ping(10**6))), 12)
        self.assertLess(len(encode_message(Pong(10**6, Load(), 9, b"d" * 16))), 48)
