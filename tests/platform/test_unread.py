"""Tests of naming the fields of documents that are not read."""

import json
import unittest

from nose2.tools import params

from catkinpost.platform.document import Configuration
from catkinpost.platform.unread import UnreadFieldLog, find_unread_fields
from tests.log import CapturedLog
from tests.platform.test_document import CONFIG, encode_changed_config

KNOWN = {key: value for key, value in CONFIG.items() if key != "base-version"}


class TestUnreadFields(unittest.TestCase):
    @params(
        (("colour",), "colour"),
        (("routes", 0, "colour"), "routes.colour"),
        (("routes", 1, "traffic-split", 1, "colour"), "routes.traffic-split.colour"),
        (("services", 0, "colour"), "services.colour"),
        (("limits", "colour"), "limits.colour"),
    )
    def test_field_that_no_model_has_is_named(self, path, place):
        document = json.loads(encode_changed_config(*path, value=[{"deep": 1}]))
        found = find_unread_fields(document, Configuration)
        self.assertEqual(set(found), {place, "base-version"})

    @params([], {}, "text", 7, None, {"routes": 3}, {"limits": [[]]}, [{"routes": [1]}])
    def test_documents_of_other_forms(self, document):
        self.assertEqual(find_unread_fields(document, Configuration), [])

    def test_known_document_has_none(self):
        self.assertEqual(find_unread_fields(KNOWN, Configuration), [])

    def test_line_is_logged_when_the_fields_change(self):
        log = UnreadFieldLog("store: fields not read", Configuration)
        with CapturedLog() as messages:
            for document in (KNOWN, CONFIG, CONFIG, KNOWN | {"quota": 1}, KNOWN):
                log.record(document)
        fields = [message["fields"] for message in messages]
        self.assertEqual(fields, [["base-version"], ["quota"], []])
