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
    """The state that the parts of one VM's data path share."""

    epochs: epoch.EpochLog
    flows: flow.FlowTable
    hints: hint.HintTable
    loads: load.LoadTracker
    health: health.HealthTracker
    replicator: replica.Replicator
    peers: peer.Peers
    outbox: message.Outbox
