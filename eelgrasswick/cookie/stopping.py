"""When a VM that was asked to stop may end."""

import typing

# The fabric asks twice a second and needs two misses to leave a VM out.
OUT_OF_ROTATION_MS: typing.Final = 1600
# Packets that come later than this after the last one are not for us any more.
QUIET_MS: typing.Final = 600
# Kept free before the VM is killed.
KILL_MARGIN_MS: typing.Final = 700


def may_exit(now_ms: int, asked_ms: int, last_packet_ms: int, grace_ms: int) -> bool:
    """Tell whether to end now.

    Ending while the fabric still sends packets here would drop them, and their
    callers would wait for a retransmission.

    Args:
        now_ms: Present time.
        asked_ms: When the VM was asked to stop.
        last_packet_ms: When the last packet of a caller came.
        grace_ms: Time after which it is killed.
    """
    if now_ms - asked_ms >= grace_ms - KILL_MARGIN_MS:
        return True
    quiet = now_ms - last_packet_ms >= QUIET_MS
    return quiet and now_ms - asked_ms >= OUT_OF_ROTATION_MS
