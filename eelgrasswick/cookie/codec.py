"""How segments look in datagrams; the platform's adapter has the one form."""

import abc

from eelgrasswick.cookie import model


class SegmentCodec(abc.ABC):
    """Reads callers' datagrams and writes those to targets and callers."""

    @abc.abstractmethod
    def decode(self, datagram: bytes) -> model.Segment:
        """Read a caller's datagram.

        Raises:
            errors.PacketMalformedError: The bytes are no segment of a caller.
        """

    @abc.abstractmethod
    def with_cookie(self, datagram: bytes, cookie: int) -> bytes:
        """Return a caller's datagram with another cookie."""

    @abc.abstractmethod
    def for_target(self, datagram: bytes, target: model.Target) -> bytes:
        """Return a caller's datagram as it is sent to a target."""

    @abc.abstractmethod
    def reset(self, flow: model.FlowId, acknowledged: int) -> bytes:
        """Return the datagram that tells a caller that its flow has ended.

        Args:
            flow: The flow.
            acknowledged: What its caller last acknowledged.
        """
