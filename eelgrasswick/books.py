"""The state that the parts of one VM's data path share."""

import typing

from eelgrasswick import epoch, flow, health, hint, load, message, peer, replica


class Books(typing.NamedTuple):
    """The state that the parts of one VM's data path share."""

    epochs: epoch.EpochLog
    flows: flow.FlowTable
    hints: hint.HintTable
    loads: load.LoadBook
    health: health.HealthBook
    replicator: replica.Replicator
    peers: peer.Peers
    outbox: message.Outbox
