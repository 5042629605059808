"""Log lines of one request, collected from the logs of several nodes."""

import re
from collections.abc import Iterable

import msgspec

__all__ = ["LogLine", "find_request_lines", "format_line"]

# The platform that collects the lines may put a prefix before their JSON.
JSON_START_PATTERN = re.compile(r"\{")
HIDDEN_FIELDS = frozenset({"timestamp", "task_uuid", "task_level", "message_type"})


class LogLine(msgspec.Struct, kw_only=True):
    """One line that names a request.

    :param prefix: text before the JSON, such as time and node.
    :param time: seconds since 1970 on the clock of its node.
    :param kind: part and event.
    :param fields: all other fields.
    """

    prefix: str
    time: float
    kind: str
    fields: dict


def find_request_lines(lines: Iterable[str], request: str) -> list[LogLine]:
    """Return the lines of one request in the order of their time.

    :param lines: log lines of any number of nodes; other lines are skipped.
    :param request: identity of the request.
    """
    request_lines = []
    for line in lines:
        if request not in line:
            continue
        start = JSON_START_PATTERN.search(line)
        if start is None:
            continue
        try:
            fields = msgspec.json.decode(line[start.start() :], type=dict)
        except msgspec.DecodeError:
            continue
        if fields.get("request") == request:
            request_lines.append(
                LogLine(
                    prefix=line[: start.start()].strip(),
                    time=fields.get("timestamp", 0.0),
                    kind=fields.get("message_type", ""),
                    fields={
                        name: value
                        for name, value in fields.items()
                        if name not in HIDDEN_FIELDS
                    },
                )
            )
    return sorted(request_lines, key=lambda item: item.time)


def format_line(line: LogLine) -> str:
    """Format a log line for people: the event first, then the reasons for it."""
    fields = dict(line.fields)
    detail = fields.pop("detail", "")
    attempts = fields.pop("attempts", [])
    fields.pop("request", None)
    rows = [f"{line.time:.3f} {line.prefix} {line.kind}: {detail}".replace("  ", " ")]
    field_text = ", ".join(f"{name} {value}" for name, value in fields.items())
    rows.append(f"    {field_text}")
    for number, attempt in enumerate(attempts, start=1):
        parts = ", ".join(f"{name} {value}" for name, value in attempt.items())
        rows.append(f"    attempt {number}: {parts}")
    return "\n".join(rows)
