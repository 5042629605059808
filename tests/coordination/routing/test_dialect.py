"""Tests of the product's own headers in requests and responses."""

import unittest

from nose2.tools import params

from catkinpost.coordination.routing.dialect import NativeDialect
from catkinpost.protocol.header import PARENT_HEADER
from catkinpost.protocol.http import HttpRequest, HttpResponse, find_header
from catkinpost.protocol.message import Answer, Load


class TestNativeDialect(unittest.TestCase):
    @params(
        # (headers of the response, whether it may belong to the request)
        ([(PARENT_HEADER, b"run-2")], True),
        ([(PARENT_HEADER, b"run-1")], False),
        ([], True),
    )
    def test_response_that_names_another_call_is_not_the_answer(self, headers, may):
        """Guards against a late second copy that is taken for the next answer."""
        request = HttpRequest(b"GET", b"/sets/1", [(PARENT_HEADER, b"run-2")])
        response = HttpResponse(200, headers, b"set")
        self.assertIs(NativeDialect().is_response_to(request, response), may)

    def test_name_of_a_call_does_not_reach_the_caller(self):
        answer = Answer(1, 200, [(PARENT_HEADER, b"run-1")], b"set", 0, Load())
        response = NativeDialect().build_response(answer)
        self.assertIsNone(find_header(response.headers, PARENT_HEADER))
