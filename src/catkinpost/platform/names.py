"""Names of the platform's headers, store keys, paths and variables."""

__all__ = [
    "ATTEMPT_ID",
    "CALLING_SERVICE",
    "CONFIG_KEY",
    "DEADLINE_REMAINING",
    "EXPECTED_INSTANCE",
    "NOT_EXECUTED",
    "READINESS_PATH",
    "RESPONSE_SIGNATURE",
    "SERVERS_PREFIX",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SERVER_LOAD",
    "SETTINGS_VARIABLE",
    "STORE_ERA",
    "TENANT",
]

ATTEMPT_ID = b"attempt-id"
DEADLINE_REMAINING = b"deadline-remaining"
RESPONSE_SIGNATURE = b"response-signature"
EXPECTED_INSTANCE = b"expected-instance"
SERVER_LOAD = b"server-load"
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
NOT_EXECUTED = b"not-executed"
CALLING_SERVICE = b"calling-service"
STORE_ERA = b"store-era"
TENANT = b"tenant"

READINESS_PATH = b"/v1/readiness"
CONFIG_KEY = "op/config"
SERVERS_PREFIX = "servers/"
SETTINGS_VARIABLE = "CATKINPOST_CONFIG"
