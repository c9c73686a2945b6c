"""The state that the parts of one VM's data path share."""

import typing

from eelgrasswick import message
from eelgrasswick.decisions import (
    health,
    load,
)
from eelgrasswick.fleet import peer
from eelgrasswick.homes import (
    epoch,
    flow,
    hint,
    replica,
)


class Tables(typing.NamedTuple):
    """The tables and outputs that the parts of one VM's data path share.

    Attributes:
        epochs: The epoch in force and recent earlier ones.
        flows: Records of the flows of which this VM is the home.
        hints: Targets of flows of which another VM is the home.
        loads: Open flows of targets, as other VMs report them.
        health: Targets that leave opening packets unanswered.
        replicator: Copies of exceptions, and what waits to be sent of them.
        peers: Sends messages to other VMs.
        outbox: Collects actions and counts.
    """

    epochs: epoch.EpochLog
    flows: flow.FlowTable
    hints: hint.HintTable
    loads: load.LoadTracker
    health: health.HealthTracker
    replicator: replica.Replicator
    peers: peer.Peers
    outbox: message.Outbox
