"""The targets task: polls engines and the host list for its node."""

import queue
import random
import threading

import attrs
import logbook

from quetzalward_core import clock
from quetzalward_core import routing
from quetzalward_node import interfaces
from quetzalward_node.targets import _codec
from quetzalward_node.targets import _fetch
from quetzalward_node.targets import _schedule
from quetzalward_node.targets import _watch

# One target that does not answer occupies one worker for a second.
WORKERS = 8
# Polls are started and their results published in steps of this length; a
# thread woken for each result takes as much time as the poll itself.
STEP_S = 0.2
_CONNECTIONS = 64

_LOG = logbook.Logger("targets")


@attrs.frozen
class _Job:
    """A target to poll; without a target, the host list."""

    url: str
    target_id: str | None = None
    events_after: int | None = None


@attrs.frozen
class _Read:
    """Result of a job; fields are `None` where the read failed."""

    job: _Job
    report: routing.EngineReport | None = None
    events: _codec.RawEvents | None = None
    host_list: routing.HostList | None = None
    wire_bytes: int = 0


class TargetsTask:
    """Publishes a `TargetsView` whenever it has read something new."""

    def __init__(
        self,
        node: str,
        zone: str,
        hosts_url: str,
        control: interfaces.ControlSource,
        sink: interfaces.TargetsSink,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Create the task; `start` runs its threads."""
        self._hosts_url = hosts_url.rstrip("/")
        self._control = control
        self._sink = sink
        self._clock = time_source
        self._watch = _watch.WatchList(node, zone)
        self._schedule = _schedule.Schedule(rng)
        self._fetcher = _fetch.Fetcher(_CONNECTIONS)
        self._jobs: queue.Queue[_Job | None] = queue.Queue()
        self._results: queue.Queue[_Read] = queue.Queue()
        self._stopping = threading.Event()
        self._seen: interfaces.ControlView | None = None
        self._watched = _watch.Watched()
        self._view = interfaces.TargetsView()
        self._events_after: dict[str, int] = {}
        self._failing: set[str] = set()
        self._threads = [
            threading.Thread(
                target=self._work, name=f"targets-{n}", daemon=True
            )
            for n in range(WORKERS)
        ]
        self._main = threading.Thread(
            target=self._run, name="targets", daemon=True
        )

    def start(self) -> None:
        """Start the threads."""
        for thread in [*self._threads, self._main]:
            thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the threads and close the connections."""
        self._stopping.set()
        self._main.join(timeout_s)
        for _ in self._threads:
            self._jobs.put(None)
        for thread in self._threads:
            thread.join(timeout_s)
        self._fetcher.close()

    def view(self) -> interfaces.TargetsView:
        """Return what was read last; replaced as a whole."""
        return self._view

    def _run(self) -> None:
        """Plan polls and publish their results until stopped."""
        while not self._stopping.wait(STEP_S):
            try:
                self._apply(self._take_results())
                self._plan()
            except Exception:
                _LOG.exception("target results not applied")

    def _take_results(self) -> list[_Read]:
        """Return the results that have come in."""
        batch = []
        while True:
            try:
                batch.append(self._results.get_nowait())
            except queue.Empty:
                return batch

    def _plan(self) -> None:
        """Follow the control view and hand out the polls that are due."""
        now_ms = self._clock.now_ms()
        control = self._control.view()
        if control is not self._seen:
            self._seen = control
            self._watched = self._watch.update(control, now_ms)
            self._refresh_view()
        self._schedule.watch(self._view.urls, now_ms)
        if self._schedule.hosts_due(now_ms):
            self._jobs.put(_Job(f"{self._hosts_url}/hosts"))
        for due in self._schedule.due(now_ms):
            after = self._events_after.get(due.target_id, 0)
            self._jobs.put(
                _Job(
                    self._view.urls[due.target_id],
                    due.target_id,
                    after if due.with_events else None,
                )
            )

    def _refresh_view(self) -> None:
        """Rebuild URLs and drop what is no longer watched."""
        view = self._view
        self._view = attrs.evolve(
            view,
            subset=self._watched.subset,
            urls=self._urls(view.host_list),
            reports={
                target_id: report
                for target_id, report in view.reports.items()
                if target_id in self._watched.targets
            },
        )
        self._events_after = {
            target_id: after
            for target_id, after in self._events_after.items()
            if target_id in self._watched.targets
        }
        self._failing &= self._watched.targets
        self._sink.publish_targets(self._view, ())

    def _urls(self, host_list: routing.HostList | None) -> dict[str, str]:
        """Return the engine URL of each watched group's first host.

        A host that left the list keeps the URL it had.
        """
        found: dict[str, str] = {}
        if self._seen is None:
            return found
        for target_id in self._watched.targets:
            group = self._seen.groups.get(target_id)
            if group is None or not group.hosts:
                continue
            entry = host_list and host_list.hosts.get(group.hosts[0].host)
            if entry:
                found[target_id] = entry.engine_url.rstrip("/")
            elif target_id in self._view.urls:
                found[target_id] = self._view.urls[target_id]
        return found

    def _apply(self, batch: list[_Read]) -> None:
        """Take results into the view and publish it."""
        if not batch:
            return
        reports = dict(self._view.reports)
        host_list = self._view.host_list
        events: list[interfaces.CacheEvent] = []
        for read in batch:
            if read.job.target_id is None:
                host_list = self._apply_hosts(read, host_list)
            else:
                self._apply_target(read, reports)
                events += self._apply_events(read)
        urls = self._view.urls
        if host_list is not self._view.host_list:
            urls = self._urls(host_list)
        self._view = attrs.evolve(
            self._view, reports=reports, host_list=host_list, urls=urls
        )
        self._sink.publish_targets(self._view, tuple(events))

    def _apply_hosts(
        self, read: _Read, host_list: routing.HostList | None
    ) -> routing.HostList | None:
        """Return the newer host list."""
        now_ms = self._clock.now_ms()
        count = len(read.host_list.hosts) if read.host_list else 0
        self._schedule.hosts_done(read.wire_bytes, count, now_ms)
        self._note_state("host list", read.host_list is not None)
        if read.host_list is None:
            return host_list
        if host_list and read.host_list.as_of_ms < host_list.as_of_ms:
            return host_list
        return read.host_list

    def _apply_target(
        self, read: _Read, reports: dict[str, routing.EngineReport]
    ) -> None:
        """Keep a newer report of a target that is still watched."""
        target_id = read.job.target_id or ""
        interval_ms = 1_000
        if self._seen is not None:
            interval_ms = self._seen.configuration.engines.report_interval_ms
        succeeded = read.report is not None
        now_ms = self._clock.now_ms()
        self._schedule.done(target_id, succeeded, interval_ms, now_ms)
        if target_id not in self._watched.targets:
            return
        self._note_state(target_id, succeeded)
        report = read.report
        if report is None or report.target_id != target_id:
            return
        known = reports.get(target_id)
        if known is None or report.as_of_ms > known.as_of_ms:
            reports[target_id] = report

    def _apply_events(self, read: _Read) -> list[interfaces.CacheEvent]:
        """Return a target's new cache events."""
        target_id = read.job.target_id
        if target_id not in self._watched.targets or read.events is None:
            return []
        self._events_after[target_id] = read.events.next
        return [
            interfaces.CacheEvent(target_id, one.prefix, one.op == "add")
            for one in read.events.events
        ]

    def _note_state(self, name: str, succeeded: bool) -> None:
        """Log when reads of something begin or cease to fail."""
        if succeeded and name in self._failing:
            self._failing.discard(name)
            _LOG.info("reads work again: {}", name)
        elif not succeeded and name not in self._failing:
            self._failing.add(name)
            _LOG.warning("reads fail: {}", name)

    def _work(self) -> None:
        """Do jobs until told to stop."""
        while True:
            job = self._jobs.get()
            if job is None:
                return
            try:
                read = self._read(job)
            except (_fetch.FetchError, ValueError) as error:
                _LOG.debug("{}", error)
                read = _Read(job)
            except Exception:
                # The schedule waits for every job's result.
                _LOG.exception("read failed: {}", job.url)
                read = _Read(job)
            self._results.put(read)

    def _read(self, job: _Job) -> _Read:
        """Read one target or the host list."""
        sent_ms = self._clock.now_ms()
        if job.target_id is None:
            body = self._fetcher.get(job.url, _fetch.MAX_HOSTS_BYTES)
            hosts = _codec.parse_hosts(body.data, sent_ms)
            return _Read(job, host_list=hosts, wire_bytes=body.wire_bytes)
        body = self._fetcher.get(f"{job.url}/report", _fetch.MAX_REPORT_BYTES)
        report = _codec.parse_report(body.data, sent_ms)
        return _Read(job, report=report, events=self._read_events(job))

    def _read_events(self, job: _Job) -> _codec.RawEvents | None:
        """Read cache events if they are due; their loss only costs time."""
        if job.events_after is None:
            return None
        url = f"{job.url}/cache_events?after={job.events_after}"
        try:
            body = self._fetcher.get(url, _fetch.MAX_EVENTS_BYTES)
            return _codec.parse_events(body.data)
        except (_fetch.FetchError, ValueError) as error:
            _LOG.debug("{}", error)
            return None
