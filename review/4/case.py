"""Long flows, a few of which lose one datagram while they open, then pause."""

import asyncio
import pathlib
import sys
import typing

from review.standins2 import consumer, fleet, server

FLOWS_PER_ZONE: typing.Final = 40
# Of 40 flows this many lose one datagram.
LOSING_PER_ZONE: typing.Final = 2
PAUSE_S: typing.Final = 4.9
# The rule's ``flow_reorder_ms``.
REORDER_S: typing.Final = 2.0
MIN_STRAY_PACKETS: typing.Final = 3


async def play(deployment: fleet.Fleet, trouble: bool) -> bool:
    """Return whether a rule was broken."""
    service = (deployment.service_ip, 443)
    jobs = []
    for zone in deployment.consumers.values():
        for number in range(FLOWS_PER_ZONE):
            flow = zone.flow(service)
            flow.lose_syn_acks = int(trouble and number < LOSING_PER_ZONE)
            jobs.append(use(flow, 0.02 * number))
    flows = await asyncio.gather(*jobs)
    broken = [flow for flow in flows if check(deployment, flow)]
    return bool(broken)


async def use(flow: consumer.Flow, wait_s: float) -> consumer.Flow:
    """Send a request, pause, and send another one."""
    await asyncio.sleep(wait_s)
    if await flow.open():
        await flow.request(f"{flow.port}-1")
        await asyncio.sleep(PAUSE_S)
        await flow.request(f"{flow.port}-2")
    return flow


def check(deployment: fleet.Fleet, flow: consumer.Flow) -> bool:
    """Return whether the rule FLOW is broken by (a) or (b)."""
    holders = [item for item in deployment.servers if item.holds(flow.port)]
    others = [item for item in deployment.servers if not item.holds(flow.port)]
    if not holders:
        return False
    foreign = [item for item in others if item.has_reset(flow.port)]
    by_vm = flow.outcome == "reset by VM"
    by_other = flow.outcome == "reset by server" and bool(foreign)
    if not (by_vm or by_other or _moved(flow.port, holders, others)):
        return False
    deployment.log.write(
        "BROKEN",
        rule="FLOW",
        flow=flow.port,
        outcome=flow.outcome.replace(" ", "_"),
        server_of_the_flow=holders[0].name,
        reset_by=",".join(item.name for item in foreign) or "-",
        answered=",".join(flow.answered),
    )
    return True


def _moved(
    port: int,
    holders: typing.Sequence[server.Server],
    others: typing.Sequence[server.Server],
) -> bool:
    own = sorted(at for item in holders for at in item.arrivals(port))
    stray = sorted(at for item in others for at in item.arrivals(port))
    for first, last in zip(stray, stray[MIN_STRAY_PACKETS - 1 :], strict=False):
        near = any(first - REORDER_S <= at <= first + REORDER_S for at in own)
        if last - first <= REORDER_S and not near:
            return True
    return False


if __name__ == "__main__":
    sys.exit(
        fleet.run_case(play, pathlib.Path(__file__).parent, {"a": 3, "b": 3, "c": 3})
    )
