"""Parts of the platform's documents that this release does not read."""

from collections.abc import Iterator
from functools import cache

import msgspec
from eliot import log_message
from msgspec import inspect

__all__ = ["UnreadFieldLog", "find_unread_fields"]

MAX_NAMES = 60

KnownFields = dict[str, "KnownFields | None"]


class UnreadFieldLog:
    """Log of the fields of a document that are not read, whenever they change.

    An operator relies on what is published: a part that a release does not know must
    not be passed over in silence.

    :param message: type of the log line.
    :param model: model of the document.
    """

    def __init__(self, message: str, model: type[msgspec.Struct]) -> None:
        self.message = message
        self.model = model
        self.logged: list[str] = []

    def record(self, document: object) -> None:
        """Log the fields of a decoded document unless they were logged already."""
        fields = find_unread_fields(document, self.model)
        if fields != self.logged:
            self.logged = fields
            log_message(self.message, fields=fields)


def find_unread_fields(document: object, model: type[msgspec.Struct]) -> list[str]:
    """Return the places of fields that a model lacks, such as ``routes.colour``.

    :param document: decoded document, of any form.
    :param model: model of the document.
    :return: places without indices, in order and each once.
    """
    places = dict.fromkeys(iterate_unread(document, build_known_fields(model), ""))
    return list(places)[:MAX_NAMES]


def iterate_unread(value: object, known: KnownFields, place: str) -> Iterator[str]:
    if isinstance(value, list):
        for item in value:
            yield from iterate_unread(item, known, place)
    elif isinstance(value, dict):
        for name, part in value.items():
            if name not in known:
                yield f"{place}{name}"
            elif known[name] is not None and isinstance(part, (list, dict)):
                yield from iterate_unread(part, known[name], f"{place}{name}.")


@cache
def build_known_fields(model: type[msgspec.Struct]) -> KnownFields:
    """Return the fields of a model, each with those of the model in it, if any."""
    return {
        field.encode_name: find_inner_fields(field.type)
        for field in inspect.type_info(model).fields
    }


def find_inner_fields(info: inspect.Type) -> KnownFields | None:
    """Return the fields of the model that a type holds, ``None`` for other types."""
    match info:
        case inspect.StructType():
            return build_known_fields(info.cls)
        case inspect.ListType() | inspect.VarTupleType():
            return find_inner_fields(info.item_type)
        case inspect.Metadata():
            return find_inner_fields(info.type)
        case inspect.UnionType():
            found = (find_inner_fields(part) for part in info.types)
            return next((fields for fields in found if fields is not None), None)
    return None
