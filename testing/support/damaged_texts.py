"""Messages between processes with texts that are not valid UTF-8."""

from __future__ import annotations

from typing import Any

# Long enough to occur in a message only where a text field holds it.
TEXT_MARKER = "unreadable-here"
INVALID_UTF8 = b"\xff" * len(TEXT_MARKER)


def damage_texts(struct: Any, packed: bytes) -> bytes:
    """Return a packed message with its marked texts replaced by invalid UTF-8."""
    data = struct.from_bytes_packed(packed).as_builder().to_bytes()
    damaged = data.replace(TEXT_MARKER.encode(), INVALID_UTF8)
    with struct.from_bytes(damaged) as message:
        packed_again: bytes = message.as_builder().to_bytes_packed()
    return packed_again


def damaged_messages(struct: Any) -> list[bytes]:
    """Return packed messages of a struct, each with one damaged text."""
    return [
        damage_texts(struct, struct.new_message(**fields).to_bytes_packed())
        for fields in _fields_with_text(struct.schema)
    ]


def _fields_with_text(schema: Any) -> list[dict[str, Any]]:
    contents = []
    for name, field in schema.fields.items():
        if field.proto.which() != "slot":
            continue
        kind = field.proto.slot.type.which()
        if kind == "text":
            contents.append({name: TEXT_MARKER})
        elif kind == "struct":
            contents += [{name: inner} for inner in _fields_with_text(field.schema)]
        elif kind == "list":
            contents += [{name: [inner]} for inner in _elements_with_text(field)]
    return contents


def _elements_with_text(field: Any) -> list[Any]:
    element = field.proto.slot.type.list.elementType.which()
    if element == "text":
        return [TEXT_MARKER]
    if element == "struct":
        return _fields_with_text(field.schema.elementType)
    return []
