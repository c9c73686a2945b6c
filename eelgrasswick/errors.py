"""The closed list of error kinds, how each is handled, and the exceptions."""

import enum
import typing


class ErrorKind(enum.Enum):
    """Every way in which a request, packet, change or start can fail."""

    NO_TARGET = "no_target"
    SERVICE_LIMIT = "service_limit"
    CALLER_LIMIT = "caller_limit"
    WAIT_EXPIRED = "wait_expired"
    WAIT_FULL = "wait_full"
    SERVICE_ENDED = "service_ended"
    NO_SERVICE = "no_service"
    FLOW_UNREACHABLE = "flow_unreachable"
    FLOW_UNKNOWN = "flow_unknown"
    PACKET_MALFORMED = "packet_malformed"
    PACKET_UNSUPPORTED = "packet_unsupported"
    SENDER_UNKNOWN = "sender_unknown"
    MESSAGE_INVALID = "message_invalid"
    CONFIG_STALE = "config_stale"
    CONFIG_INVALID = "config_invalid"
    RULES_INVALID = "rules_invalid"
    SETTINGS_INVALID = "settings_invalid"
    STORE_UNAVAILABLE = "store_unavailable"
    CHANGE_CONFLICT = "change_conflict"
    CHANGE_UNKNOWN = "change_unknown"
    SCENARIO_INVALID = "scenario_invalid"
    VM_SILENT = "vm_silent"
    HISTORY_GONE = "history_gone"
    ENTRY_INVALID = "entry_invalid"


class Reply(enum.Enum):
    """What is sent to the party that caused an error."""

    REFUSE = "refuse"
    DROP = "drop"
    EXIT = "exit"


class ErrorHandling(typing.NamedTuple):
    """How one error kind is handled.

    Attributes:
        reply: What is sent on the wire, or that a command exits.
        not_run: True when the reply asserts that no target received the request.
        exit_code: Process exit code of a command that ends with this kind.
        remedy: One sentence that says what the reader should do.
    """

    reply: Reply
    not_run: bool
    exit_code: int
    remedy: str


_REFUSE = Reply.REFUSE
_DROP = Reply.DROP
_EXIT = Reply.EXIT

ERROR_HANDLING: typing.Final[dict[ErrorKind, ErrorHandling]] = {
    ErrorKind.NO_TARGET: ErrorHandling(
        _REFUSE, True, 1, "Add or restore a target, then retry after the hint."
    ),
    ErrorKind.SERVICE_LIMIT: ErrorHandling(
        _REFUSE, True, 1, "Retry after the hint, or raise the limit rule."
    ),
    ErrorKind.CALLER_LIMIT: ErrorHandling(
        _REFUSE, True, 1, "The caller holds its share; close flows or retry later."
    ),
    ErrorKind.WAIT_EXPIRED: ErrorHandling(
        _REFUSE, True, 1, "No slot came free in wait_ms; retry after the hint."
    ),
    ErrorKind.WAIT_FULL: ErrorHandling(
        _REFUSE, True, 1, "Too many wait already; retry after the hint."
    ),
    ErrorKind.SERVICE_ENDED: ErrorHandling(
        _REFUSE, True, 1, "The shutdown date has passed; stop calling."
    ),
    ErrorKind.NO_SERVICE: ErrorHandling(
        _REFUSE, True, 1, "No rule names this address; check the rules file."
    ),
    ErrorKind.FLOW_UNREACHABLE: ErrorHandling(
        _DROP, False, 1, "Wait for the link to heal; the flow is kept."
    ),
    ErrorKind.FLOW_UNKNOWN: ErrorHandling(
        _DROP, False, 1, "No VM knows the flow; the caller should open a new one."
    ),
    ErrorKind.PACKET_MALFORMED: ErrorHandling(
        _DROP, False, 1, "Look at the sender; the bytes are no IPv4 packet."
    ),
    ErrorKind.PACKET_UNSUPPORTED: ErrorHandling(
        _DROP, False, 1, "Send unfragmented IPv4 with TCP or UDP."
    ),
    ErrorKind.SENDER_UNKNOWN: ErrorHandling(
        _DROP, False, 1, "Check the peer or target address against the rules."
    ),
    ErrorKind.MESSAGE_INVALID: ErrorHandling(
        _DROP, False, 1, "A peer runs another version or is not ours."
    ),
    ErrorKind.CONFIG_STALE: ErrorHandling(
        _DROP, False, 1, "None needed; the newer configuration stays in force."
    ),
    ErrorKind.CONFIG_INVALID: ErrorHandling(
        _DROP, False, 1, "Apply a valid rules file; the last good one is in force."
    ),
    ErrorKind.RULES_INVALID: ErrorHandling(
        _EXIT, False, 1, "Mend the lines listed and run check again."
    ),
    ErrorKind.SETTINGS_INVALID: ErrorHandling(
        _EXIT, False, 2, "Mend the settings listed and start again."
    ),
    ErrorKind.STORE_UNAVAILABLE: ErrorHandling(
        _EXIT, False, 3, "The platform did not answer; nothing was changed."
    ),
    ErrorKind.CHANGE_CONFLICT: ErrorHandling(
        _EXIT, False, 4, "Merge the other operator's change and apply again."
    ),
    ErrorKind.CHANGE_UNKNOWN: ErrorHandling(
        _EXIT, False, 5, "Run apply again; it finds out by its change id."
    ),
    ErrorKind.SCENARIO_INVALID: ErrorHandling(
        _EXIT, False, 2, "Mend the scenario file and run load again."
    ),
    ErrorKind.VM_SILENT: ErrorHandling(
        _EXIT, False, 6, "Ask a live VM, from an address in its [fleet] networks."
    ),
    ErrorKind.HISTORY_GONE: ErrorHandling(
        _DROP, False, 3, "None needed; the VM reads all rows again."
    ),
    ErrorKind.ENTRY_INVALID: ErrorHandling(
        _DROP, False, 1, "Look at who wrote the key; the others stay in use."
    ),
}


class EelgrasswickError(Exception):
    """Base of all errors raised by this package.

    Attributes:
        kind: The error kind of the exception class.
    """

    kind: ErrorKind

    def __init__(self, detail: str) -> None:
        """Store the human-readable detail."""
        super().__init__(detail)
        self.detail = detail

    @property
    def handling(self) -> ErrorHandling:
        """The handling that is defined for this kind."""
        return ERROR_HANDLING[self.kind]


class PacketError(EelgrasswickError):
    """A datagram is not a packet that the load balancer forwards."""


class PacketMalformedError(PacketError):
    """The bytes are truncated or corrupt."""

    kind = ErrorKind.PACKET_MALFORMED


class PacketUnsupportedError(PacketError):
    """The packet is well formed but its type is not load-balanced."""

    kind = ErrorKind.PACKET_UNSUPPORTED


class MessageInvalidError(EelgrasswickError):
    """A peer's message has an unknown format."""

    kind = ErrorKind.MESSAGE_INVALID


class RulesInvalidError(EelgrasswickError):
    """The rules text has faults, which the detail lists."""

    kind = ErrorKind.RULES_INVALID


class SettingsInvalidError(EelgrasswickError):
    """The settings file has faults, which the detail lists."""

    kind = ErrorKind.SETTINGS_INVALID


class ScenarioInvalidError(EelgrasswickError):
    """A load scenario has faults."""

    kind = ErrorKind.SCENARIO_INVALID


class StoreError(EelgrasswickError):
    """The platform's store could not serve a call."""

    kind = ErrorKind.STORE_UNAVAILABLE


class HistoryGoneError(StoreError):
    """The store has deleted the requested revisions."""

    kind = ErrorKind.HISTORY_GONE


class EntryInvalidError(EelgrasswickError):
    """A row of the store is not a valid configuration, evacuation or target."""

    kind = ErrorKind.ENTRY_INVALID


class ChangeConflictError(EelgrasswickError):
    """Another operator's change was accepted first."""

    kind = ErrorKind.CHANGE_CONFLICT


class ChangeUnknownError(EelgrasswickError):
    """The store's response was lost and its state can't be read."""

    kind = ErrorKind.CHANGE_UNKNOWN


class VmSilentError(EelgrasswickError):
    """No entry VM answered an operator's request."""

    kind = ErrorKind.VM_SILENT
