"""Encodes and decodes thrift messages with the accelerated compact protocol."""

from typing import TypeVar

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from ..errors import InvariantBroken

_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()

Message = TypeVar("Message")


def encode(message) -> bytes:
    """Return the compact encoding of a thrift message."""
    buffer = TMemoryBuffer()
    message.write(_PROTOCOL_FACTORY.getProtocol(buffer))
    return buffer.getvalue()


def decode(message_type: type[Message], data: bytes) -> Message:
    """Decode ``data`` as a message of type ``message_type``."""
    message = message_type()
    message.read(_PROTOCOL_FACTORY.getProtocol(TMemoryBuffer(data)))
    return message


def has_field(union) -> bool:
    """Return whether a field is set in a thrift union; none is if a later version added it."""
    return any(getattr(union, name) is not None for name in union.__slots__)


def sole_field(union) -> tuple[str, object]:
    """Return the name and the value of the field that is set in a thrift union.

    Raises InvariantBroken if no field is set.
    """
    for name in union.__slots__:
        value = getattr(union, name)
        if value is not None:
            return name, value
    raise InvariantBroken(f"no field is set in the union {union!r}")
