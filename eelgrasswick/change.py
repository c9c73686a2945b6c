"""Configuration changes by operators, from a rules text to an accepted document."""

import difflib
import enum
import hashlib
import typing

import msgspec

from eelgrasswick import (
    config,
    errors,
    message,
    packet,
    rule,
    store,
)
from eelgrasswick.homes import retired

ADDRESS_REUSE_DELAY_MS: typing.Final = 10_000
MAX_ATTEMPTS: typing.Final = 4
FLEET_AUTHOR: typing.Final = "fleet"
_EMPTY: typing.Final = config.Document(0, "", "", 0, "", "", ())


class Outcome(enum.Enum):
    """Outcome of a submission."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    REPAIRED = "repaired"
    EMPTY = "target_empty"


class AuditEntry(typing.NamedTuple):
    """One submission, as stored in the audit trail.

    Attributes:
        sequence: The sequence that the change got, or would have got.
        change_id: Identifier of the submission.
        author: Name of the submitter.
        at_ms: Time of the submission, milliseconds since 1970.
        outcome: Value of the outcome.
        lines: Added and removed lines, prefixed with ``+`` or ``-``.
    """

    sequence: int
    change_id: str
    author: str
    at_ms: int
    outcome: str
    lines: tuple[str, ...]


class Plan(typing.NamedTuple):
    """A change that is ready to be submitted.

    Attributes:
        before: The document that it is based on; sequence 0 for none.
        revision: Store revision of that document; 0 for none.
        after: The document to submit.
        lines: Added and removed lines.
    """

    before: config.Document
    revision: int
    after: config.Document
    lines: tuple[str, ...]

    @property
    def empty(self) -> bool:
        """True when the accepted rules are the same already."""
        return self.before.sequence > 0 and self.before.text == self.after.text


class Result(typing.NamedTuple):
    """Result of a submission."""

    outcome: Outcome
    sequence: int
    change_id: str
    lines: tuple[str, ...]


class Operator:
    """Plans and submits changes for one author."""

    def __init__(self, platform: store.Store, author: str) -> None:
        """Create an operator that submits to a store as ``author``."""
        self._store = platform
        self._author = author

    async def plan(self, text: str, now_ms: int) -> Plan:
        """Compute the change from the accepted document to a rules text.

        Args:
            text: The whole rules file.
            now_ms: Wall-clock time in milliseconds.

        Returns:
            The plan.

        Raises:
            errors.RulesInvalidError: The text has faults, by itself or in
                combination with the accepted document.
            errors.StoreError: The store did not respond.
        """
        rules = rule.read(text)
        row = await self._store.read(store.RULES_KEY)
        before = config.decode(row.value) if row is not None else _EMPTY
        _check_names_unmoved(before, rules)
        _check_address_reuse(before, rules, now_ms)
        after = _document(before, rules, text, self._author, now_ms)
        lines = _difference(before.text, text)
        return Plan(before, row.revision if row is not None else 0, after, lines)

    async def submit(self, plan: Plan) -> Result:
        """Submit a plan by compare-and-swap.

        Args:
            plan: The plan that ``plan`` returned.

        Returns:
            The outcome; on a conflict, the change that was accepted instead.

        Raises:
            errors.ChangeUnknownError: It can't be determined whether the change
                took effect.
        """
        if plan.empty:
            before = plan.before
            return Result(Outcome.UNCHANGED, before.sequence, before.change_id, ())
        for _ in range(MAX_ATTEMPTS):
            try:
                committed = await self._commit(plan)
            except errors.StoreError as error:
                return await self._resolve(plan, error)
            if committed.accepted:
                return _accepted(plan)
            row = await self._store.read(store.RULES_KEY)
            if row is None or not _has_document(row, plan.before):
                break
            # Another operator whose response was lost has rewritten the same
            # document. A conflict reported for that would contain no lines.
            plan = plan._replace(revision=row.revision)
        return await self._conflict(plan)

    async def _commit(self, plan: Plan) -> store.Committed:
        compare = store.Compare(store.RULES_KEY, plan.revision)
        puts = (
            store.Put(store.RULES_KEY, config.encode(plan.after)),
            _audit_put(plan, Outcome.ACCEPTED),
        )
        if len(puts[0].value) > config.MAX_VALUE_BYTES:
            raise errors.RulesInvalidError("the rules are too large for the store")
        return await self._store.commit((compare,), puts)

    async def _resolve(self, plan: Plan, cause: errors.StoreError) -> Result:
        # The store's response was lost, so the change may be accepted or not, and a
        # copy of the write may still be in transit. If the change were reported as
        # failed, it could take effect later, unexpected by the operator. The change
        # id in the store shows whether it took effect. If it did not, the present
        # document is rewritten under a new revision, so that the comparison of
        # the write in transit can only fail.
        for _ in range(MAX_ATTEMPTS):
            try:
                row = await self._store.read(store.RULES_KEY)
                present = config.decode(row.value) if row is not None else _EMPTY
                if present.change_id == plan.after.change_id:
                    return _accepted(plan)
                if present.sequence > plan.before.sequence:
                    return await self._overtaken(plan)
                fenced = await self._fence(row)
            except errors.StoreError:
                continue
            if fenced:
                raise errors.StoreError(f"not accepted; {cause.detail}")
        raise errors.ChangeUnknownError(cause.detail)

    async def _overtaken(self, plan: Plan) -> Result:
        row = await self._store.read(_audit_key(plan.after.sequence))
        if row is not None and _entry(row).change_id == plan.after.change_id:
            return _accepted(plan)
        return await self._conflict(plan)

    async def _fence(self, row: store.Row | None) -> bool:
        if row is None:
            return False
        compare = store.Compare(store.RULES_KEY, row.revision)
        put = store.Put(store.RULES_KEY, row.value)
        return (await self._store.commit((compare,), (put,))).accepted

    async def _conflict(self, plan: Plan) -> Result:
        row = await self._store.read(store.RULES_KEY)
        present = config.decode(row.value) if row is not None else _EMPTY
        await self._store.commit((), (_audit_put(plan, Outcome.CONFLICT),))
        return Result(
            Outcome.CONFLICT,
            present.sequence,
            present.change_id,
            _difference(plan.before.text, present.text),
        )

    async def audit(self) -> tuple[AuditEntry, ...]:
        """Return the audit trail, oldest first."""
        rows = await self._store.read_prefix(store.AUDIT_PREFIX)
        return tuple(_entry(row) for row in rows)


def _has_document(row: store.Row, before: config.Document) -> bool:
    try:
        return config.decode(row.value) == before
    except errors.RulesInvalidError:
        return False


def _accepted(plan: Plan) -> Result:
    after = plan.after
    return Result(Outcome.ACCEPTED, after.sequence, after.change_id, plan.lines)


def _audit_key(sequence: int) -> str:
    return f"{store.AUDIT_PREFIX}{sequence:012d}"


def _audit_put(plan: Plan, outcome: Outcome) -> store.Put:
    after = plan.after
    entry = AuditEntry(
        after.sequence,
        after.change_id,
        after.author,
        after.at_ms,
        outcome.value,
        plan.lines,
    )
    key = _audit_key(after.sequence)
    if outcome is not Outcome.ACCEPTED:
        key += f"-{after.change_id}"
    return store.Put(key, msgspec.json.encode(entry))


def _entry(row: store.Row) -> AuditEntry:
    return msgspec.json.decode(row.value, type=AuditEntry)


def repaired_audit_put(document: config.Document) -> store.Put:
    """Return the audit entry for a document that was written back to the store."""
    entry = AuditEntry(
        document.sequence,
        document.change_id,
        document.author,
        document.at_ms,
        Outcome.REPAIRED.value,
        (),
    )
    key = f"{_audit_key(document.sequence)}-{Outcome.REPAIRED.value}"
    return store.Put(key, msgspec.json.encode(entry))


def target_empty_audit_put(item: message.RecordTargetEmpty) -> store.Put:
    """Return the audit entry for a target that has no open flows any more."""
    entry = AuditEntry(
        item.sequence,
        "",
        FLEET_AUTHOR,
        item.since_ms,
        Outcome.EMPTY.value,
        (f"target {item.target} has no open flow at {item.homes} VMs",),
    )
    key = f"{_audit_key(item.sequence)}-{Outcome.EMPTY.value}-{item.target}"
    return store.Put(key, msgspec.json.encode(entry))


def _difference(before: str, after: str) -> tuple[str, ...]:
    lines = difflib.unified_diff(before.splitlines(), after.splitlines(), n=0)
    return tuple(
        line
        for line in lines
        if line[:1] in "+-" and not line.startswith(("+++", "---"))
    )


def _check_names_unmoved(before: config.Document, after: rule.Rules) -> None:
    """Refuse a known name with another address, and a known target's new name.

    Open flows go to the old address. If the name moved to another address, they
    would be cut, or would reach a machine that works for another service now.
    The same holds for names whose lines were removed from the rules. The lines of
    the accepted document may have faults if another version wrote them. Those
    lines are ignored, because otherwise no operator could ever replace them.
    """
    former = rule.parse(f"{before.text}\n{before.retired}").rules
    faults = _service_faults(former, after) + _target_faults(former, after)
    if faults:
        raise errors.RulesInvalidError("\n".join(str(item) for item in faults))


def _check_address_reuse(
    before: config.Document, after: rule.Rules, now_ms: int
) -> None:
    """Refuse an address or endpoint that another service had until recently.

    A removed address is free once no change was accepted for
    ``ADDRESS_REUSE_DELAY_MS``. VMs put a change in force within seconds of each
    other. If an address passed from one service to another in one change, VMs that
    still have the previous configuration would send the new service's callers to
    the old service's targets, which would serve them.
    """
    delay_passed = now_ms - before.at_ms >= ADDRESS_REUSE_DELAY_MS
    former = rule.parse(before.text).rules
    if delay_passed:
        services_by_address, services_by_endpoint = _addresses(former)
    else:
        both = rule.parse(f"{before.text}\n{before.retired}").rules
        services_by_address, services_by_endpoint = _addresses(both)
    faults = []
    for item in after.services:
        name = services_by_address.get(config.address_label(item), item.name)
        if name != item.name:
            faults.append(_in_use_fault(item.line, str(item.address), name))
    for target in after.targets:
        owner = services_by_endpoint.get(target.endpoint, target.service)
        if owner != target.service:
            faults.append(_in_use_fault(target.line, str(target.endpoint), owner))
    if faults:
        raise errors.RulesInvalidError("\n".join(str(item) for item in faults))


def _addresses(rules: rule.Rules) -> tuple[dict[str, str], dict[packet.Address, str]]:
    services_by_address = {
        config.address_label(item): item.name for item in rules.services
    }
    services_by_endpoint = {item.endpoint: item.service for item in rules.targets}
    return services_by_address, services_by_endpoint


def _in_use_fault(line: int, place: str, name: str) -> rule.Fault:
    return rule.Fault(
        line,
        1,
        f"{place} belongs to service {name!r}, or did so until recently",
        "remove that line first and add this one "
        f"{ADDRESS_REUSE_DELAY_MS // 1000} s later",
    )


def _service_faults(before: rule.Rules, after: rule.Rules) -> list[rule.Fault]:
    known = {item.name: (item.address, item.protocol) for item in before.services}
    return [
        _moved_fault(item.line, "service", item.name)
        for item in after.services
        if known.get(item.name, (item.address, item.protocol))
        != (item.address, item.protocol)
    ]


def _target_faults(before: rule.Rules, after: rule.Rules) -> list[rule.Fault]:
    known = {item.name: (item.endpoint, item.service) for item in before.targets}
    names = {place: name for name, place in known.items()}
    faults = []
    for item in after.targets:
        place = (item.endpoint, item.service)
        if known.get(item.name, place) != place:
            faults.append(_moved_fault(item.line, "target", item.name))
        elif names.get(place, item.name) != item.name:
            problem = f"target {names[place]!r} has this endpoint already"
            faults.append(rule.Fault(item.line, 1, problem, "keep the name"))
    return faults


def _moved_fault(line: int, what: str, name: str) -> rule.Fault:
    return rule.Fault(
        line,
        1,
        f"{what} {name!r} has another address or service than before",
        f"give the new {what} a new name and remove the old line",
    )


def _document(
    before: config.Document, rules: rule.Rules, text: str, author: str, now_ms: int
) -> config.Document:
    sequence = before.sequence + 1
    reused = retired.reused_addresses(before, rules)
    return config.Document(
        sequence,
        _change_id(author, text, sequence),
        author,
        now_ms,
        text,
        retired.lines(before, rules),
        reused,
    )


def _change_id(author: str, text: str, sequence: int) -> str:
    plain = f"{sequence}\n{author}\n{text}".encode()
    return hashlib.blake2b(plain, digest_size=8).hexdigest()
