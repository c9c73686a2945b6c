"""Observations of this VM and reports of its peers, by which flows are placed."""

import itertools
import typing
import zlib

from eelgrasswick.cookie import (
    catalog,
    cold_targets,
    liveness,
    model,
    placing,
    reports,
    silence,
    speed,
    speed_comparison,
    store_replica,
    target_usage,
    tracker,
)
from eelgrasswick.decisions import (
    cold_start,
    ejection,
    flow_reuse,
    overload,
    response_time,
)

# The records of removed services and routes are deleted at this interval. Few are
# removed a day, and the search walks thousands of targets.
REMOVAL_INTERVAL_MS: typing.Final = 10_000
# The speeds of all targets are compared at this interval. Response times change slowly.
SPEED_INTERVAL_MS: typing.Final = 1000
# For this long after a pause of this VM, overdue requests are ignored, because their
# responses may still be unread in the socket.
PAUSE_GRACE_MS: typing.Final = 1000

# A silent target is compared with this many other targets of its zone.
CONTROLS: typing.Final = 2


class Candidates(typing.NamedTuple):
    """Targets that a flow may be placed on.

    Attributes:
        candidates: The targets, with the figures by which one is chosen.
        cold_excluded: True when cold targets were excluded.
        accepting: All targets that take flows by their entries; a sample of a large
            set.
    """

    candidates: list[placing.Candidate]
    cold_excluded: bool = False
    accepting: typing.Sequence[model.Target] = ()


class Observations:
    """Flows, response times and unanswered packets of all targets.

    Attributes:
        tracker: Records of recently active flows.
        answer_times: Response times by target.
        response_times: Response times by service.
        ejections: Outlier ejection of targets.
        load_shedder: Refuses new flows in an overload.
        levels: Priorities of the flows of each service.
        flow_reuse: Services whose flows carry a single request each.
        usage: Cumulative counts of this VM's requests at each target.
        on_rejection: Called with the time and each target that refused a request
            because it was full.
        on_response: Called with the time, the target and the response time in ms of
            each other response.
        reports: What the peers report about targets.
        liveness: Checks of silent targets.
        cold: Limits on flows to cold targets.
    """

    def __init__(
        self,
        zone: str,
        target_catalog: catalog.Catalog,
        refuse: bool = True,
        vm: str = "",
        cold_limit: cold_start.Limit | None = None,
    ) -> None:
        """Create observations without any record.

        Args:
            zone: Availability zone of this VM.
            target_catalog: The catalog.
            refuse: False to refuse no flow in an overload.
            vm: Identifies this VM among those of the fleet.
            cold_limit: How far a cold target may be loaded above its limit.
        """
        self._zone = zone
        self._vm = zlib.crc32(vm.encode())
        self._catalog = target_catalog
        self.tracker = tracker.Tracker()
        self.answer_times = speed.AnswerTimes()
        self.response_times = response_time.ResponseTimes()
        self.ejections = ejection.OutlierEjection()
        self.load_shedder = overload.LoadShedder(refuse)
        self.levels = overload.PriorityLevels()
        self.flow_reuse = flow_reuse.FlowReuse()
        self.usage = target_usage.TargetUsage()
        self.on_rejection: typing.Callable[[int, model.Target], None] = _ignore
        self.on_response: typing.Callable[[int, model.Target, int], None] = _ignore
        self._response_sizes = overload.ResponseSizes()
        self._stall_end_ms = 0
        self._paused_ms = 0
        self._removed_ms = 0
        self._compared_ms = -SPEED_INTERVAL_MS
        self._control_turn = 0
        self._silence: silence.SilenceDetector[int] = silence.SilenceDetector()
        self._response_silence: silence.SilenceDetector[int] = silence.SilenceDetector()
        self._zone_silence: silence.SilenceDetector[str] = silence.SilenceDetector()
        self.reports = reports.Reports()
        self.liveness = liveness.Liveness()
        self.cold = cold_targets.ColdTargets(
            cold_start.ColdStart(vm, cold_limit),
            target_catalog.service,
            target_catalog.cold_ms,
            target_catalog.ages,
        )
        self._answered_ms: dict[str, int] = {}
        self._changes = target_catalog.entries.watch()
        self._speeds = speed_comparison.SpeedComparison(
            target_catalog, self._changes, self.answer_times, self.reports
        )

    def candidates(
        self,
        now_ms: int,
        service: str,
        unanswered_cookie: int,
        position: float,
        urgent: bool,
    ) -> Candidates:
        """Return the targets of a service that may get a flow.

        Args:
            now_ms: Present time.
            service: Name of the service.
            unanswered_cookie: Cookie of the target that left the opening packet of this
                flow unanswered, 0 for none; targets of other zones are preferred
                then.
            position: Number from 0 to 1, uniform over flows, that selects the sample of
                a large set of targets.
            urgent: True for the most urgent flows of the service.
        """
        split = self._catalog.accepting_split(service, self._zone)
        accepting = placing.sample_targets(split.own, split.others, position)
        if not accepting:
            return Candidates([])
        found = self.usable(now_ms, accepting, urgent)
        eligible = self._retransmission_targets(found.targets, unanswered_cookie)
        items = [self._candidate(now_ms, item) for item in eligible]
        return Candidates(items, found.cold_excluded, accepting)

    def usable(
        self, now_ms: int, targets: typing.Sequence[model.Target], urgent: bool
    ) -> cold_targets.Eligible:
        """Return those of some targets of one service that may get a flow.

        Args:
            now_ms: Present time.
            targets: Targets that take flows by their entries, at least one.
            urgent: True for the most urgent flows of the service.
        """
        usable = self._not_suspected(now_ms, self._not_ejected(now_ms, targets))
        # If all targets are silent, the link of this VM or of the callers is more
        # likely to be broken than all targets. Refusing all flows would make the
        # outage worse.
        return self.cold.eligible(now_ms, usable or targets, urgent)

    def _retransmission_targets(
        self, targets: typing.Sequence[model.Target], unanswered_cookie: int
    ) -> typing.Sequence[model.Target]:
        """Return the targets for a retransmitted opening packet.

        Targets of other zones are preferred: the targets of a zone often fail
        together, and a caller retransmits only twice.
        """
        silent = self._catalog.by_cookie(unanswered_cookie)
        if silent is None:
            return targets
        elsewhere = [item for item in targets if item.zone != silent.zone]
        others = [item for item in targets if item.cookie != unanswered_cookie]
        return elsewhere or others or targets

    def record_placement(self, now_ms: int, target: model.Target) -> None:
        """Record that a flow was placed on a target."""
        self._note_record(target.cookie)
        self._silence.record_trial(now_ms, target.cookie)
        self._response_silence.record_trial(now_ms, target.cookie)
        self._zone_silence.record_trial(now_ms, target.zone)
        self.cold.record_flow(now_ms, target)

    def record_answer(self, now_ms: int, target: model.Target) -> None:
        """Record that a target answered."""
        self._answered_ms[target.zone] = now_ms
        self._silence.record_answer(target.cookie)
        if self.liveness.record_answer(target.cookie):
            # The target may have crashed and restarted while its entry in the store
            # is still the one of the former start.
            self._catalog.ages.record_start(now_ms, target.cookie)
        if self._zone_silence.record_answer(target.zone):
            self._clear_silence(target.zone)

    def _clear_silence(self, zone: str) -> None:
        # The path to the zone was cut, and the targets were not silent. If their
        # records were kept, each target would get no flow until it has answered one,
        # and the peers that receive this VM's reports would exclude the targets, too.
        for target in self._catalog.targets:
            if target.zone == zone:
                self._silence.record_answer(target.cookie)
                self._response_silence.record_answer(target.cookie)

    def record_answer_time(self, target: model.Target, answer_ms: int) -> None:
        """Record the response time of a target."""
        self._note_record(target.cookie)
        self._response_silence.record_answer(target.cookie)
        self.answer_times.record(target.cookie, answer_ms)
        self.response_times.answered(target.service, answer_ms)

    def record_objective(
        self,
        now_ms: int,
        route: model.Route,
        target: model.Target,
        measurement: tracker.Measurement,
    ) -> None:
        """Record whether a response met the objective of its route.

        Responses during a stall of this VM, and those whose request was
        retransmitted, are ignored: their times do not depend on the target alone.
        """
        answer_ms = measurement.answer_ms
        if answer_ms is None or not route.objective_ms:
            return
        refused = self._response_sizes.refused(route.name, measurement.answer_bytes)
        if refused:
            self.usage.record_rejection(target.cookie)
            self.on_rejection(now_ms, target)
        else:
            usual_ms = self.response_times.mean_ms(target.service)
            self.usage.record_response(target.cookie, answer_ms, usual_ms)
            self.on_response(now_ms, target, answer_ms)
        if measurement.request_retransmitted or now_ms - answer_ms < self._stall_end_ms:
            return
        levels = self.levels.rank(target.service, route.priority).levels
        pool = overload.Pool(target.service, target.zone)
        ratio = answer_ms / route.objective_ms
        self.load_shedder.answered(now_ms, pool, ratio, refused, levels)

    def record_stall(self, now_ms: int) -> None:
        """Record the end of a stall of this VM."""
        self._stall_end_ms = now_ms

    def record_pause(self, now_ms: int) -> None:
        """Record a pause of this VM, which may be shorter than a stall."""
        self._paused_ms = now_ms

    def record_unanswered(self, now_ms: int, target: model.Target) -> bool:
        """Record an unanswered packet; return True when to probe the target."""
        if target.zone != self._zone:
            self._zone_silence.record_unanswered(now_ms, target.zone)
        self._note_record(target.cookie)
        self._silence.record_unanswered(now_ms, target.cookie)
        # A VM of a large fleet has about one flow on a target, and a second unanswered
        # packet takes 400 ms more. A probe is cheap and gives a definite result.
        return self.begin_check(now_ms, target)

    def take_overdue(
        self, now_ms: int
    ) -> tuple[list[model.Target], list[ejection.Witness]]:
        """Take the requests that became overdue, and record them.

        A target that hangs still opens flows, so only responses count as signs of
        life here, and openings do not.

        Returns:
            The targets to probe, and the witnesses to send to the other VMs of the
            zone.
        """
        found = []
        witnesses = []
        for request in self.tracker.take_overdue(now_ms):
            target = self._catalog.by_cookie(request.cookie)
            if target is None:
                continue
            item = ejection.Witness(request.cookie, self._vm, 0)
            is_evidence = not request.flows_moved and self._is_evidence(now_ms, target)
            if is_evidence and self.record_witness(now_ms, item):
                witnesses.append(item)
            if request.first_request:
                continue
            self._note_record(request.cookie)
            self._response_silence.record_unanswered(now_ms, request.cookie)
            if self.begin_check(now_ms, target):
                found.append(target)
        return found, witnesses

    def record_witness(self, now_ms: int, item: ejection.Witness) -> bool:
        """Record a witness of this VM or of a peer.

        Returns:
            True when the witness is to be sent to the other VMs of the zone.
        """
        if self._catalog.by_cookie(item.cookie) is None:
            return False
        salt = f"{item.cookie} {self._vm}".encode()
        return self.ejections.add_witness(now_ms, item, zlib.crc32(salt) / 2**32)

    def _is_evidence(self, now_ms: int, target: model.Target) -> bool:
        """Return True when an overdue request is evidence against its target.

        An overdue request is no evidence when this VM has just paused, when the path
        to the zone is cut, or when the service often takes that long.
        """
        if now_ms - self._paused_ms < PAUSE_GRACE_MS:
            return False
        if self._zone_silence.silent(target.zone):
            return False
        limit_ms = self.response_times.limit_ms(target.service)
        return limit_ms is not None and limit_ms <= tracker.OVERDUE_MS

    def _not_ejected(
        self, now_ms: int, targets: typing.Sequence[model.Target]
    ) -> typing.Sequence[model.Target]:
        if not self.ejections.active:
            return targets
        allowed: set[int] = set()
        for zone in {item.zone for item in targets}:
            cookies = [item.cookie for item in targets if item.zone == zone]
            allowed.update(self.ejections.allowed(now_ms, cookies))
        return [item for item in targets if item.cookie in allowed]

    def _not_suspected(
        self, now_ms: int, targets: typing.Sequence[model.Target]
    ) -> typing.Sequence[model.Target]:
        # Most targets have no record that could make them suspected, and the method
        # runs for each opening packet.
        recorded = self._silence.keys() | self._response_silence.keys()
        recorded |= self.liveness.cookies | self.reports.silent_cookies
        usable = []
        for item in targets:
            is_recorded = item.cookie in recorded or item.zone in self._zone_silence
            if is_recorded and self._suspected(now_ms, item):
                self._catalog.ages.record_suspicion(now_ms, item.cookie)
            else:
                usable.append(item)
        return usable

    def should_reprobe(self, now_ms: int, target: model.Target) -> bool:
        """Return True when to probe a target whose dead state has expired."""
        lapsed = self.liveness.lapsed(now_ms, target.cookie)
        return lapsed and self.begin_check(now_ms, target)

    def begin_check(self, now_ms: int, target: model.Target) -> bool:
        """Begin the check of a suspected target; return True when to probe it now."""
        self._note_record(target.cookie)
        return self.liveness.begin(now_ms, target.cookie, self.zone_answered_ms(target))

    def zone_answered_ms(self, target: model.Target) -> int:
        """Return the time when a target of the same zone last answered."""
        return self._answered_ms.get(target.zone, store_replica.NEVER_MS)

    def record_zone_answer(self, now_ms: int, zone: str) -> None:
        """Record that a target of a zone has answered."""
        self._answered_ms[zone] = now_ms

    def control_targets(self, now_ms: int, target: model.Target) -> list[model.Target]:
        """Return other targets of the same zone to compare a silent target with.

        Targets that are not suspected come first. Successive checks use different
        targets, because one that is dead itself proves nothing.
        """
        targets = self._catalog.targets
        self._control_turn += 1
        seed = zlib.crc32(f"{self._vm} {self._control_turn}".encode())
        first = seed % len(targets) if targets else 0
        chosen: list[model.Target] = []
        suspected: list[model.Target] = []
        # A zone may have thousands of targets, so the search ends with the first ones.
        for item in itertools.chain(
            itertools.islice(targets, first, None), itertools.islice(targets, first)
        ):
            if item.zone != target.zone or item.address == target.address:
                continue
            found = suspected if self._suspected(now_ms, item) else chosen
            found.append(item)
            if len(chosen) == CONTROLS:
                break
        return [*chosen, *suspected][:CONTROLS]

    def tick(self, now_ms: int) -> None:
        """Update sums and speed factors, and delete outdated records."""
        self.tracker.expire(now_ms)
        self.reports.tick(now_ms)
        cookies = self._catalog.entries.cookies
        # Witnesses expire by time, too.
        self.ejections.retain(now_ms, cookies)
        # A flow may be placed on a target whose entry lapsed at any time.
        if self._changes.removed or self._catalog.has_lapsed:
            self._changes.removed = False
            self.answer_times.retain(cookies)
            self._silence.retain(cookies)
            self._response_silence.retain(cookies)
            self.liveness.retain(self._catalog.forwardable_cookies)
            self.cold.limits.retain(cookies)
        self._remove_stale_records(now_ms)
        if now_ms - self._compared_ms >= SPEED_INTERVAL_MS:
            self._compared_ms = now_ms
            self._speeds.compare()

    def _note_record(self, cookie: int) -> None:
        """Let the next tick delete a record that concerns a removed target."""
        entries, forwardable = self._catalog.entries, self._catalog.forwardable_cookies
        if cookie not in entries.cookies or cookie not in forwardable:
            self._changes.removed = True

    def _remove_stale_records(self, now_ms: int) -> None:
        if now_ms - self._removed_ms < REMOVAL_INTERVAL_MS:
            return
        self._removed_ms = now_ms
        entries = self._catalog.entries
        self.load_shedder.retain(entries.pools)
        config = self._catalog.config
        if config is not None:
            self._response_sizes.retain({item.name for item in config.routes.values()})
        self.response_times.retain(entries.services)
        self.flow_reuse.retain(entries.services)
        self.usage.retain(entries.cookies)

    def report(self) -> reports.Report:
        """Return the report for the peers, silent and then fullest targets first."""
        # A VM has flows on few of the thousands of targets, so it does not walk the
        # others.
        recorded = (
            self.tracker.targets()
            | self._silence.keys()
            | self._response_silence.keys()
        )
        entries = [self._entry(cookie) for cookie in recorded]
        listed = [item for item in entries if item.flows or item.silent]
        listed.sort(key=lambda item: (item.silent, item.flows), reverse=True)
        return tuple(listed[: reports.MAX_ENTRIES])

    def _silent(self, cookie: int) -> bool:
        target = self._catalog.by_cookie(cookie)
        if target is not None and self._zone_silence.silent(target.zone):
            # The path to the zone is cut. If this VM reported the targets as silent,
            # VMs with another path would exclude targets that answer them.
            return False
        return self._silence.silent(cookie) or self._response_silence.silent(cookie)

    def _entry(self, cookie: int) -> reports.TargetReport:
        mean_ms = self.answer_times.mean_ms(cookie)
        return reports.TargetReport(
            cookie,
            self.tracker.flows_on(cookie),
            int(mean_ms) if mean_ms is not None else 0,
            self._silent(cookie),
        )

    def _suspected(self, now_ms: int, target: model.Target) -> bool:
        if self.liveness.dead(now_ms, target.cookie):
            # A dead target gets no trial flow either, because the flow would be reset
            # with its next packet.
            return True
        witnesses = self.reports.count_silent_reports(now_ms, target.cookie)
        silent = any(
            detector.suspected(now_ms, target.cookie, witnesses)
            for detector in (self._silence, self._response_silence)
        )
        return silent or self._zone_silence.suspected(now_ms, target.zone, 0)

    def _candidate(self, now_ms: int, target: model.Target) -> placing.Candidate:
        cookie = target.cookie
        return placing.Candidate(
            target,
            self.tracker.flows_on(cookie) + self.reports.flows_on(cookie),
            self._speeds.factor(cookie),
            self._catalog.cold_ms(target, now_ms) > 0,
            self.tracker.waiting_flows.get(cookie, 0),
        )


def _ignore(*_: object) -> None:
    """Do nothing about a response, while no reservations are in use."""
