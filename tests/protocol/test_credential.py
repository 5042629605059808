"""Tests of reading the credentials of requests."""

import hashlib
import unittest

from nose2.tools import params

from catkinpost.protocol.credential import (
    MAX_KEY_BYTES,
    compute_key_digest,
    parse_credential,
    take_credentials,
)
from catkinpost.protocol.http import HttpRequest


class TestCredential(unittest.TestCase):
    @params(b"Token key-1", b"token key-1", b"TOKEN   key-1 ")
    def test_key_is_kept_as_its_digest_alone(self, value):
        credential = parse_credential([value], b"token")
        self.assertEqual(credential.digest, hashlib.sha256(b"key-1").hexdigest())
        self.assertNotIn("key-1", repr(credential))

    @params(
        [],
        [b""],
        [b"Token"],
        [b"key-1"],
        [b"Bearer key-1"],
        [b"Token key-1 key-2"],
        [b"Token key-1", b"Token key-1"],
        [b"Token " + b"k" * (MAX_KEY_BYTES + 1)],
    )
    def test_credential_that_is_no_key(self, values):
        credential = parse_credential(values, b"token")
        self.assertIsNone(credential.digest)
        self.assertTrue(credential.problem)
        self.assertNotIn("key-", credential.problem)

    def test_bytes_that_are_no_text_are_a_key_like_any_other(self):
        credential = parse_credential([b"Token \xff\x00"], b"token")
        self.assertEqual(credential.digest, compute_key_digest(b"\xff\x00"))

    def test_all_credentials_are_taken_off_a_request(self):
        pairs = [(b"authorization", b"a"), (b"host", b"x"), (b"authorization", b"b")]
        request = HttpRequest(b"GET", b"/", pairs)
        self.assertEqual(take_credentials(request), [b"a", b"b"])
        self.assertEqual(request.headers, [(b"host", b"x")])
