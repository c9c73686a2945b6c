"""Interface of the codec between datagrams and segments.

The platform's adapter has the implementation.
"""

import abc

from eelgrasswick.cookie import model


class SegmentCodec(abc.ABC):
    """Decodes callers' datagrams, and encodes datagrams to targets and callers."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> model.Segment:
        """Decode a caller's datagram.

        Raises:
            errors.PacketMalformedError: The bytes are no segment of a caller.
        """

    @abc.abstractmethod
    def with_cookie(self, datagram: bytes, cookie: int) -> bytes:
        """Return a caller's datagram with another cookie."""

    @abc.abstractmethod
    def for_target(self, datagram: bytes, target: model.Target) -> bytes:
        """Return a caller's datagram in the form that is sent to a target."""

    @abc.abstractmethod
    def reset(self, flow: model.FlowId, acknowledged: int) -> bytes:
        """Return the datagram that resets a caller's flow.

        Args:
            flow: The flow.
            acknowledged: Position in the target's stream that the caller last
                acknowledged.
        """
