"""Rolling restarts, while a few flows lose one datagram as they open."""

import asyncio
import pathlib
import sys
import typing

from review.standins2 import consumer, fleet

# The VMs of one zone, 3 of 7, one at a time.
RESTARTED: typing.Final = (0, 1, 2)
ROLLING_RESTARTS: typing.Final = 3
GAP_S: typing.Final = 1.3
# Time between two rolling restarts.
CALM_S: typing.Final = 3.0
FLOWS_PER_S: typing.Final = 20
# One flow of so many loses its first SYN+ACK.
LOSES_EVERY: typing.Final = 25
REQUESTS: typing.Final = 10
PAUSE_S: typing.Final = 0.9


async def play(deployment: fleet.Fleet, trouble: bool) -> bool:
    """Return whether a rule was broken."""
    flows: list[consumer.Flow] = []
    load = asyncio.create_task(offer(deployment, flows, trouble))
    await asyncio.sleep(2)
    for _ in range(ROLLING_RESTARTS):
        for number in RESTARTED:
            await deployment.restart_vm(number)
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(CALM_S)
    load.cancel()
    await asyncio.gather(*(flow.task for flow in flows if flow.task is not None))
    broken = [flow for flow in flows if check(deployment, flow)]
    deployment.log.write(
        "flows",
        all=len(flows),
        lost_a_datagram=sum(flow.loses for flow in flows),
        not_opened=sum(flow.outcome == "lost" for flow in flows),
        reset=sum(flow.outcome.startswith("reset") for flow in flows),
        broken=len(broken),
    )
    return bool(broken)


async def offer(
    deployment: fleet.Fleet, flows: list[consumer.Flow], trouble: bool
) -> None:
    """Open flows in the zone whose VMs are restarted."""
    zone = deployment.consumers["a"]
    while True:
        flow = zone.flow((deployment.service_ip, 443))
        flow.loses = trouble and len(flows) % LOSES_EVERY == 0
        flow.lose_syn_acks = int(flow.loses)
        flow.task = asyncio.create_task(use(flow))
        flows.append(flow)
        await asyncio.sleep(1 / FLOWS_PER_S)


async def use(flow: consumer.Flow) -> None:
    """Send requests with short pauses."""
    if not await flow.open():
        return
    for number in range(REQUESTS):
        if not await flow.request(f"{flow.port}-{number}"):
            return
        await asyncio.sleep(PAUSE_S)
    flow.close()


def check(deployment: fleet.Fleet, flow: consumer.Flow) -> bool:
    """Return whether the consumer got a reset that its flow's server didn't send."""
    holders = [item for item in deployment.servers if item.holds(flow.port)]
    others = [item for item in deployment.servers if not item.holds(flow.port)]
    foreign = [item for item in others if item.has_reset(flow.port)]
    by_vm = flow.outcome == "reset by VM"
    by_other = flow.outcome == "reset by server" and bool(foreign)
    if not holders or not (by_vm or by_other):
        return False
    deployment.log.write(
        "BROKEN",
        rule="FLOW",
        flow=flow.port,
        outcome=flow.outcome.replace(" ", "_"),
        server_of_the_flow=holders[0].name,
        reset_by=",".join(item.name for item in foreign) or "-",
        lost_a_datagram=int(flow.loses),
        answered=len(flow.answered),
    )
    return True


if __name__ == "__main__":
    sys.exit(
        fleet.run_case(play, pathlib.Path(__file__).parent, {"a": 3, "b": 3, "c": 3})
    )
