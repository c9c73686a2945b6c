"""Policy for when a VM that was requested to stop may exit."""

import typing

# The fabric probes twice a second, and takes a VM out of rotation after two failed
# probes.
OUT_OF_ROTATION_MS: typing.Final = 1600
# When no packet has arrived for this long, the fabric is assumed to send no more
# packets to this VM.
QUIET_MS: typing.Final = 600
# The VM exits this long before the platform would kill it.
KILL_MARGIN_MS: typing.Final = 700


def may_exit(
    now_ms: int, requested_ms: int, last_packet_ms: int, grace_ms: int
) -> bool:
    """Return True if the VM may exit now.

    A VM that exited while the fabric still sends packets to it would drop them, and
    their callers would have to wait for a retransmission.

    Args:
        now_ms: Present time.
        requested_ms: When the VM was requested to stop.
        last_packet_ms: When the last packet of a caller arrived.
        grace_ms: Time from the request to stop until the VM is killed.
    """
    if now_ms - requested_ms >= grace_ms - KILL_MARGIN_MS:
        return True
    quiet = now_ms - last_packet_ms >= QUIET_MS
    return quiet and now_ms - requested_ms >= OUT_OF_ROTATION_MS
