"""Order in time of two values of one key, by what the values tell themselves."""

from catkinpost.platform.document import parse_configuration
from catkinpost.platform.listing import parse_server_entry
from catkinpost.platform.names import CONFIG_KEY, SERVERS_PREFIX
from catkinpost.protocol.outcome import Failure

__all__ = ["is_older_value"]


def is_older_value(key: str, value: bytes, other: bytes) -> bool:
    """Return whether a value was written before another one.

    :param key: key of both values.

    Values that cannot be read or tell no order count as not older.
    """
    if key == CONFIG_KEY:
        return is_older_configuration(value, other)
    if key.startswith(SERVERS_PREFIX):
        return is_older_entry(value, other)
    return False


def is_older_configuration(value: bytes, other: bytes) -> bool:
    config, other_config = parse_configuration(value), parse_configuration(other)
    if isinstance(config, Failure) or isinstance(other_config, Failure):
        return False
    return config.version < other_config.version


def is_older_entry(value: bytes, other: bytes) -> bool:
    entry, other_entry = parse_server_entry(value), parse_server_entry(other)
    if isinstance(entry, Failure) or isinstance(other_entry, Failure):
        return False
    return entry.recency < other_entry.recency
