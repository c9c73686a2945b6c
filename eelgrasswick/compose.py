"""The composition root, which constructs and connects the parts of an entry VM."""

import random
import time
import typing

from eelgrasswick import packet
from eelgrasswick.daemons import (
    daemon,
    gateway,
    setting,
    tls,
)
from eelgrasswick.decisions import placement
from eelgrasswick.fleet import member
from eelgrasswick.homes import engine


def entry_engine(settings: setting.Settings, rng: random.Random) -> engine.Engine:
    """Return the engine of an entry VM in state JOINING."""
    vm = settings.vm
    me = member.Member(
        vm.name,
        vm.zone,
        vm.ip,
        vm.peer_port,
        vm.link_port,
        vm.size,
        time.time_ns() // 1_000_000,
        member.MemberState.JOINING,
    )
    return engine.Engine(
        me, settings.fleet.seeds, packet.FouCodec(), placement.BoundedHash(), rng
    )


def entry_daemon(reactor: typing.Any, settings: setting.Settings) -> daemon.Daemon:
    """Return the daemon of an entry VM, not yet started."""
    rng = random.Random()
    platform = gateway.Gateway(
        reactor, settings.platform.url, settings.platform.timeout_ms
    )
    return daemon.Daemon(
        reactor,
        settings,
        entry_engine(settings, rng),
        platform,
        tls.load(settings.tls),
        rng,
    )
