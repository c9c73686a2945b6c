"""Tests of the stand-in for a target, and of the losses on the way to callers."""

import random
import typing

import pytest

from eelgrasswick.emulation import packets
from eelgrasswick.soak import caller, fabric, history, target
from tests import cookie_parts


@pytest.fixture
def flow() -> target.Flow:
    """Return a flow whose caller has not acknowledged the answer."""
    first = packets.Packet(
        cookie_parts.CALLER_IP,
        40_001,
        cookie_parts.SERVICE_IP,
        cookie_parts.PORT,
        packets.SYN,
        1,
        0,
        7,
        b"",
    )
    return target.Flow(first, 100)


def test_answer_is_repeated_at_growing_intervals_until_given_up(
    flow: target.Flow,
) -> None:
    """Guards against targets that answer once, so that no lost answer comes late."""
    begun_s = flow.sent_s
    repeated = []
    for tick in range(4000):
        now_s = begun_s + tick * 0.005
        if flow.repeats_answer(now_s):
            repeated.append(round(now_s - begun_s, 1))
            flow.repetitions += 1
            flow.sent_s = now_s
    assert len(repeated) == target.MAX_RETRANSMISSIONS
    assert repeated[:4] == pytest.approx([0.2, 0.6, 1.4, 3.0], abs=0.06)
    gaps = [later - at for at, later in zip(repeated, repeated[1:], strict=False)]
    assert max(gaps) == pytest.approx(target.MAX_RETRANSMIT_INTERVAL_S, abs=0.06)


def test_answer_is_not_repeated_on_an_open_flow(flow: target.Flow) -> None:
    """Guards against answers that callers of open flows get from their own target."""
    flow.open = True
    assert not flow.repeats_answer(flow.sent_s + 60)


@pytest.mark.parametrize(("share", "expected"), [(0.0, 1), (1.0, 0)])
def test_packets_to_callers_are_lost_as_the_fabric_draws(
    share: float, expected: int
) -> None:
    """Guards against a run that loses packets from callers alone."""
    network = fabric.Fabric(None, 0, random.Random(1))
    network.impairment = fabric.Impairment(answer_loss_share=share)
    events: list[history.Event] = []
    receiver: typing.Any = caller.Caller(
        "127.0.0.1", lambda *_: None, events.append, network.loses_answer
    )
    receiver.datagramReceived(b"no packet", ("127.0.0.2", 1))
    assert len(events) == expected
