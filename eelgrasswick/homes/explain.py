"""Explains to operators the state of a flow or a target at one entry VM.

Any VM can compute the default target, home and backup of a flow; only the home
has the flow's record. A VM therefore responds with the facts that it has and
with the address of the home, and the operator's command then sends the same
request to the home.
"""

import ipaddress
import typing

from eelgrasswick import (
    packet,
    service,
    target,
    wire,
)
from eelgrasswick.fleet import (
    config_sync,
    membership,
)
from eelgrasswick.homes import tables

NONE: typing.Final = "none"
_PROTOCOLS: typing.Final = {"tcp": packet.Protocol.TCP, "udp": packet.Protocol.UDP}


def parse_flow(text: str) -> packet.FlowKey:
    """Parse a flow key in the notation of the logs.

    Args:
        text: ``tcp/CALLER:PORT>SERVICE:PORT`` or the same with ``udp``.

    Returns:
        The flow's key.

    Raises:
        ValueError: The text is not in this notation.
    """
    name, _, rest = text.partition("/")
    caller, separator, served = rest.partition(">")
    if name not in _PROTOCOLS or not separator:
        raise ValueError(
            f"{text!r} is not a flow such as tcp/10.9.0.1:4000>10.1.0.1:443"
        )
    source, destination = packet.address(caller), packet.address(served)
    return packet.FlowKey(_PROTOCOLS[name], *source, *destination)


class Explainer:
    """Collects the facts that one VM has about a flow or a target."""

    def __init__(
        self,
        shared: tables.Tables,
        config_sync: config_sync.ConfigSync,
        fleet: membership.Membership,
    ) -> None:
        """Create an explainer that reads the parts of an engine."""
        self._tables = shared
        self._config_sync = config_sync
        self._fleet = fleet

    def explain(
        self, now_ms: int, request: wire.ExplainFlowRequest | wire.ExplainTargetRequest
    ) -> wire.ExplainResponse:
        """Respond to an operator's request to explain a flow or a target.

        Args:
            now_ms: Present time in milliseconds.
            request: The request, which names the flow or target.

        Returns:
            Facts in the order in which they are printed.

        Raises:
            errors.MessageInvalidError: The flow key is malformed.
        """
        facts = {
            "vm": self._fleet.me.name,
            "state": self._fleet.me.state.name.lower(),
            "sequence": str(self._config_sync.sequence),
        }
        if isinstance(request, wire.ExplainFlowRequest):
            facts.update(self._flow(now_ms, wire.flow_key(request.flow)))
        else:
            facts.update(self._target(now_ms, request.target))
        return wire.ExplainResponse(tuple(wire.Fact(*item) for item in facts.items()))

    def _flow(self, now_ms: int, key: packet.FlowKey) -> dict[str, str]:
        facts = {"flow": str(key)}
        current = self._tables.epochs.current
        if current is None:
            return {**facts, "reason": "this VM has no configuration yet"}
        flow_service = current.config.service_at(
            key.protocol, key.service_ip, key.service_port
        )
        if flow_service is None:
            return {**facts, "reason": "no rule names this address"}
        place = current.locate(key, flow_service)
        default = place.default.name if place.default is not None else NONE
        facts["service"] = flow_service.name
        facts["default_target"] = default
        facts.update(self._vm("home", place.home))
        facts.update(self._vm("backup", place.backup))
        facts.update(self._sources(now_ms, key))
        record = self._tables.flows.get(key)
        if record is not None:
            facts["origin"] = record.origin.value
            facts["flow_state"] = record.state.value
            facts["known_for_ms"] = str(now_ms - record.opened_ms)
            facts["silent_for_ms"] = str(now_ms - record.last_packet_ms)
        facts["reason"] = _reason(facts, flow_service, self._fleet.me.name)
        return facts

    def _sources(self, now_ms: int, key: packet.FlowKey) -> dict[str, str]:
        record = self._tables.flows.get(key)
        sources = {
            "record": record.target if record is not None else None,
            "hint": self._tables.hints.get(now_ms, key),
            "copy": self._tables.replicator.copies.get(now_ms, key),
        }
        facts = {}
        for name, known in sources.items():
            facts[name] = known.name if known is not None else NONE
        for known in sources.values():
            if known is not None:
                facts["draining"] = _yes_no(not known.accepts)
                suspected = self._tables.health.suspected(now_ms, known.name)
                facts["suspected"] = _yes_no(suspected)
                break
        return facts

    def _vm(self, role: str, name: str | None) -> dict[str, str]:
        for item in self._fleet.members:
            if item.name == name:
                address = f"{ipaddress.IPv4Address(item.ip)}:{item.peer_port}"
                return {role: item.name, f"{role}_at": address}
        return {role: NONE}

    def _target(self, now_ms: int, name: str) -> dict[str, str]:
        facts = {"target": name}
        current = self._tables.epochs.current
        known = current.config.targets.get(name) if current is not None else None
        if known is None:
            return {**facts, "reason": "no rule names this target"}
        facts.update(_rule_facts(known))
        suspected = self._tables.health.suspected(now_ms, name)
        facts["suspected"] = _yes_no(suspected)
        here = self._tables.flows.open_by_target[name]
        elsewhere = self._tables.loads.elsewhere(name)
        facts["open_here"] = str(here)
        facts["open_elsewhere"] = str(elsewhere)
        facts["reason"] = _target_reason(known, suspected, here + elsewhere)
        return facts


def _rule_facts(known: target.Target) -> dict[str, str]:
    return {
        "service": known.service,
        "endpoint": str(known.endpoint),
        "zone": known.zone,
        "slots": str(known.slots),
        "connections": str(known.connections),
        "weight": str(known.weight),
        "draining": _yes_no(known.draining),
        "retired": _yes_no(known.retired),
    }


def _target_reason(known: target.Target, suspected: bool, flows: int) -> str:
    if not known.accepts:
        cause = "its line has left the rules" if known.retired else "a drain rule"
        left = f"{flows} open flows stay until they end" if flows else "it is empty"
        return f"gets no new flow because of {cause}; {left}"
    if suspected:
        return "gets no new flow for now: it left opening packets unanswered"
    return "takes new flows by its weight"


def _reason(facts: dict[str, str], flow_service: service.Service, me: str) -> str:
    known = facts["record"]
    if known == NONE:
        if facts["home"] != me:
            return "this VM is not the home; the home decides"
        return "no record here: the flow has not begun, has ended or was not asked for"
    if facts["origin"] == "guessed":
        return "no VM had a record; tried until a target answers"
    if known == facts["default_target"]:
        return "on the default target that hashing gives under this configuration"
    if flow_service.retired:
        return "its service has left the rules; the flow stays where it began"
    return (
        "not on its default target: placed elsewhere when it opened, for load or "
        "silence, or the default changed after it opened"
    )


def _yes_no(value: bool) -> str:
    return "yes" if value else "no"
