"""What is known of the targets when a flow is placed, by this VM and by reports."""

import typing
import zlib

from eelgrasswick.cookie import (
    catalog,
    cold_targets,
    knowledge,
    liveness,
    model,
    placing,
    reports,
    silence,
    speed,
    tracker,
)
from eelgrasswick.decisions import cold_start, ejection, overload, response_time

# How often services and routes that are gone are looked for; they are few a day, and
# thousands are walked for them.
REMOVAL_INTERVAL_MS: typing.Final = 10_000
# How often the speeds of all targets are compared; answer times change slowly.
SPEED_INTERVAL_MS: typing.Final = 1000
# After a pause of this VM, requests look overdue whose answers lie in the socket.
PAUSE_GRACE_MS: typing.Final = 1000


class Candidates(typing.NamedTuple):
    """Targets that a flow may go to.

    Attributes:
        items: The targets, with what is known of them.
        cold_left_out: True when cold targets were left out.
    """

    candidates: list[placing.Candidate]
    cold_excluded: bool = False


class Observations:
    """Flows, answer times and silence of all targets."""

    def __init__(
        self,
        zone: str,
        known: catalog.Catalog,
        refuse: bool = True,
        vm: str = "",
        cold_limit: cold_start.Limit | None = None,
    ) -> None:
        """Look at the targets of a catalog from a zone.

        Args:
            zone: Availability zone of this VM.
            known: The catalog.
            refuse: False to refuse no flow in an overload.
            vm: Identifies this VM among those of the fleet.
            cold_limit: How far above what it bears a cold target may be loaded.
        """
        self._zone = zone
        self._vm = zlib.crc32(vm.encode())
        self._catalog = known
        self.tracker = tracker.Tracker()
        self.answer_times = speed.AnswerTimes()
        self.response_times = response_time.ResponseTimes()
        self.ejections = ejection.OutlierEjection()
        self.refusals = overload.LoadShedder(refuse)
        self.levels = overload.PriorityLevels()
        self._sizes = overload.ResponseSizes()
        self._woke_ms = 0
        self._paused_ms = 0
        self._kept_ms = 0
        self._compared_ms = -SPEED_INTERVAL_MS
        self._silence: silence.SilenceDetector[int] = silence.SilenceDetector()
        self._stalled: silence.SilenceDetector[int] = silence.SilenceDetector()
        self._zone_silence: silence.SilenceDetector[str] = silence.SilenceDetector()
        self.reports = reports.Reports()
        self.liveness = liveness.Liveness()
        self.cold = cold_targets.ColdTargets(
            cold_start.ColdStart(vm, cold_limit),
            known.service,
            known.cold_ms,
            known.ages,
        )
        self._answered_ms: dict[str, int] = {}
        self._factors: dict[int, float] = {}

    def candidates(
        self, now_ms: int, service: str, passed_over: int, part: float, urgent: bool
    ) -> Candidates:
        """Return the targets of a service that may get a flow.

        Args:
            now_ms: Present time.
            service: Name of the service.
            passed_over: Cookie of a target that did not answer this flow
                before, 0 for none; targets of other zones go first then.
            part: Even over flows, 0 to 1; says which of many are looked at.
            urgent: True for the most urgent flows of the service.
        """
        accepting = placing.sample_targets(
            self._catalog.accepting(service), self._zone, part
        )
        usable = []
        for item in self._not_ejected(now_ms, accepting):
            if self._suspected(now_ms, item):
                self._catalog.ages.record_suspicion(now_ms, item.cookie)
            else:
                usable.append(item)
        # With all silent it is rather this VM's link, or the callers', that is
        # broken; refusing all would make it worse.
        usable = usable or accepting
        if not usable:
            return Candidates([])
        found = self.cold.eligible(now_ms, usable, urgent)
        tried = self._retried(found.targets, passed_over)
        items = [self._candidate(now_ms, item) for item in tried]
        return Candidates(items, found.cold_excluded)

    def _retried(
        self, targets: typing.Sequence[model.Target], passed_over: int
    ) -> typing.Sequence[model.Target]:
        """Return where an opening packet goes that is sent again.

        Targets of a zone often go dark together, and a caller sends two copies only.
        """
        silent = self._catalog.by_cookie(passed_over)
        if silent is None:
            return targets
        elsewhere = [item for item in targets if item.zone != silent.zone]
        others = [item for item in targets if item.cookie != passed_over]
        return elsewhere or others or targets

    def record_placement(self, now_ms: int, target: model.Target) -> None:
        """Note that a flow was sent to a target."""
        self._silence.record_trial(now_ms, target.cookie)
        self._stalled.record_trial(now_ms, target.cookie)
        self._zone_silence.record_trial(now_ms, target.zone)
        self.cold.record_flow(now_ms, target)

    def record_answer(self, now_ms: int, target: model.Target) -> None:
        """Note that a target answered."""
        self._answered_ms[target.zone] = now_ms
        self._silence.record_answer(target.cookie)
        if self.liveness.record_answer(target.cookie):
            # It may have crashed and be back under its entry of before.
            self._catalog.ages.record_start(now_ms, target.cookie)
        if self._zone_silence.record_answer(target.zone):
            self._way_is_back(target.zone)

    def _way_is_back(self, zone: str) -> None:
        # It was the way to the zone that was cut, not its targets that were silent.
        # Held against them, each would get no flow until it has answered one, and
        # the VMs that this one tells would pass them over, too.
        for target in self._catalog.targets:
            if target.zone == zone:
                self._silence.record_answer(target.cookie)
                self._stalled.record_answer(target.cookie)

    def record_answer_time(self, target: model.Target, answer_ms: int) -> None:
        """Note how long a target took for an answer."""
        self._stalled.record_answer(target.cookie)
        self.answer_times.record(target.cookie, answer_ms)
        self.response_times.answered(target.service, answer_ms)

    def record_objective(
        self,
        now_ms: int,
        route: model.Route,
        target: model.Target,
        signal: tracker.Measurement,
    ) -> None:
        """Note whether an answer came within its route's objective.

        Answers that this VM was away for, or whose request was lost on the way,
        say nothing of their target.
        """
        answer_ms = signal.answer_ms
        if answer_ms is None or not route.objective_ms:
            return
        refused = self._sizes.refused(route.name, signal.answer_bytes)
        if signal.request_retransmitted or now_ms - answer_ms < self._woke_ms:
            return
        levels = self.levels.rank(target.service, route.priority).levels
        pool = overload.Pool(target.service, target.zone)
        ratio = answer_ms / route.objective_ms
        self.refusals.answered(now_ms, pool, ratio, refused, levels)

    def record_stall(self, now_ms: int) -> None:
        """Note that this VM has stood still until now."""
        self._woke_ms = now_ms

    def record_pause(self, now_ms: int) -> None:
        """Note that this VM did nothing for a while, shorter than a stand-still."""
        self._paused_ms = now_ms

    def record_unanswered(self, now_ms: int, target: model.Target) -> bool:
        """Note an unanswered packet; True when the target should be probed."""
        if target.zone != self._zone:
            self._zone_silence.record_unanswered(now_ms, target.zone)
        self._silence.record_unanswered(now_ms, target.cookie)
        # A VM of a large fleet has one flow on a target, and a second sign takes
        # 400 ms more; asking for a connection costs little and decides.
        return self.begin_check(now_ms, target)

    def take_overdue(
        self, now_ms: int
    ) -> tuple[list[model.Target], list[ejection.Witness]]:
        """Note requests that wait for too long.

        A target that hangs still opens flows, so that openings are no sign of life
        here; only answers are.

        Returns:
            The targets to probe, and what other VMs of the zone should hear.
        """
        found = []
        witnesses = []
        for request in self.tracker.take_overdue(now_ms):
            target = self._catalog.by_cookie(request.cookie)
            if target is None:
                continue
            item = ejection.Witness(request.cookie, self._vm, 0)
            sign = not request.flows_moved and self._is_sign(now_ms, target)
            if sign and self.record_witness(now_ms, item):
                witnesses.append(item)
            if request.first_request:
                continue
            self._stalled.record_unanswered(now_ms, request.cookie)
            if self.begin_check(now_ms, target):
                found.append(target)
        return found, witnesses

    def record_witness(self, now_ms: int, item: ejection.Witness) -> bool:
        """Take a witness of this or another VM; True when others should hear of it."""
        if self._catalog.by_cookie(item.cookie) is None:
            return False
        salt = f"{item.cookie} {self._vm}".encode()
        return self.ejections.add_witness(now_ms, item, zlib.crc32(salt) / 2**32)

    def _is_sign(self, now_ms: int, target: model.Target) -> bool:
        """Tell whether an overdue request says something of its target.

        Not when this VM did nothing for a while, when the way to the zone is cut, or
        when the service often takes that long.
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

    def should_reprobe(self, now_ms: int, target: model.Target) -> bool:
        """Tell whether to probe a target that was dead and may be back."""
        lapsed = self.liveness.lapsed(now_ms, target.cookie)
        return lapsed and self.begin_check(now_ms, target)

    def begin_check(self, now_ms: int, target: model.Target) -> bool:
        """Take up the check of a target in doubt; True when to probe it now."""
        return self.liveness.begin(now_ms, target.cookie, self.zone_answered_ms(target))

    def zone_answered_ms(self, target: model.Target) -> int:
        """Return when a target of the same zone last answered."""
        return self._answered_ms.get(target.zone, knowledge.NEVER_MS)

    def record_zone_answer(self, now_ms: int, zone: str) -> None:
        """Note that a target of a zone has answered."""
        self._answered_ms[zone] = now_ms

    def other_target_in_zone(
        self, now_ms: int, target: model.Target
    ) -> model.Target | None:
        """Return another target of the same zone that is not in doubt."""
        for item in self._catalog.targets:
            apart = item.zone != target.zone or item.cookie == target.cookie
            if not apart and not self._suspected(now_ms, item):
                return item
        return None

    def tick(self, now_ms: int) -> None:
        """Bring sums and speeds up to date; forget targets that are gone."""
        self.tracker.expire(now_ms)
        self.reports.tick(now_ms)
        cookies = {item.cookie for item in self._catalog.targets}
        self.answer_times.keep(cookies)
        self._silence.keep(cookies)
        self._stalled.keep(cookies)
        self.liveness.keep(self._catalog.forwardable_cookies)
        self.ejections.keep(now_ms, cookies)
        self.cold.limits.keep(cookies)
        self._keep_refusals(now_ms)
        if now_ms - self._compared_ms >= SPEED_INTERVAL_MS:
            self._compared_ms = now_ms
            self._compare_speeds()

    def _compare_speeds(self) -> None:
        self._factors = {}
        for service in {item.service for item in self._catalog.targets}:
            accepting = self._catalog.accepting(service)
            means_ms = {item.cookie: self._mean_ms(item.cookie) for item in accepting}
            self._factors.update(speed.speed_factors(means_ms))

    def _keep_refusals(self, now_ms: int) -> None:
        if now_ms - self._kept_ms < REMOVAL_INTERVAL_MS:
            return
        self._kept_ms = now_ms
        targets = self._catalog.targets
        self.refusals.keep({overload.Pool(item.service, item.zone) for item in targets})
        config = self._catalog.config
        if config is not None:
            self._sizes.keep({item.name for item in config.routes.values()})
        self.response_times.keep({item.service for item in targets})

    def report(self) -> reports.Report:
        """Return what the other VMs should know, the fullest targets in front."""
        # Of thousands of targets a VM has flows on some; the rest is not looked at.
        known = self.tracker.targets() | self._silence.keys() | self._stalled.keys()
        entries = [self._entry(cookie) for cookie in known]
        told = [item for item in entries if item.flows or item.silent]
        told.sort(key=lambda item: (item.silent, item.flows), reverse=True)
        return tuple(told[: reports.MAX_ENTRIES])

    def _silent(self, cookie: int) -> bool:
        target = self._catalog.by_cookie(cookie)
        if target is not None and self._zone_silence.silent(target.zone):
            # The way there is cut. VMs with another way would pass over targets
            # that answer them.
            return False
        return self._silence.silent(cookie) or self._stalled.silent(cookie)

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
            # Also not for a trial: its flow would be reset with the next packet.
            return True
        witnesses = self.reports.count_silent_reports(now_ms, target.cookie)
        silent = any(
            book.suspected(now_ms, target.cookie, witnesses)
            for book in (self._silence, self._stalled)
        )
        return silent or self._zone_silence.suspected(now_ms, target.zone, 0)

    def _candidate(self, now_ms: int, target: model.Target) -> placing.Candidate:
        cookie = target.cookie
        return placing.Candidate(
            target,
            self.tracker.flows_on(cookie) + self.reports.flows_on(cookie),
            self._factors.get(cookie, 1.0),
            self._catalog.cold_ms(target, now_ms) > 0,
            self.tracker.waiting_flows.get(cookie, 0),
        )

    def _mean_ms(self, cookie: int) -> float | None:
        seen: typing.Sequence[float] = self.reports.answers_ms(cookie)
        own_ms = self.answer_times.mean_ms(cookie)
        times_ms = [*seen, own_ms] if own_ms is not None else seen
        return sum(times_ms) / len(times_ms) if times_ms else None
