"""The targets task: polls engines and the host list for this node."""

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

# A target that does not answer blocks one worker for a second.
WORKERS = 8
# Polls are started and results published in batches at this interval, as
# waking a thread for each result costs as much time as the poll itself.
POLL_STEP_S = 0.2
_CONNECTIONS = 64

_LOG = logbook.Logger("targets")


@attrs.frozen
class _PollJob:
    """A target to poll, or the host list if `target_id` is `None`."""

    url: str
    target_id: str | None = None
    events_after: int | None = None


@attrs.frozen
class _PollResult:
    """Result of a job; fields are `None` where a read failed."""

    job: _PollJob
    report: routing.EngineReport | None = None
    events: _codec.RawEvents | None = None
    host_list: routing.HostList | None = None
    wire_bytes: int = 0


class TargetsTask:
    """Polls targets and publishes a new `TargetsView` after each batch."""

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
        self._jobs: queue.Queue[_PollJob | None] = queue.Queue()
        self._results: queue.Queue[_PollResult] = queue.Queue()
        self._stopping = threading.Event()
        self._control_view: interfaces.ControlView | None = None
        self._watched = _watch.WatchedTargets()
        self._view = interfaces.TargetsView()
        self._events_after: dict[str, int] = {}
        self._failing: set[str] = set()
        self._worker_threads = [
            threading.Thread(
                target=self._run_worker, name=f"targets-{n}", daemon=True
            )
            for n in range(WORKERS)
        ]
        self._main_thread = threading.Thread(
            target=self._run, name="targets", daemon=True
        )

    def start(self) -> None:
        """Start the threads."""
        for thread in [*self._worker_threads, self._main_thread]:
            thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the threads and close the connections."""
        self._stopping.set()
        self._main_thread.join(timeout_s)
        for _ in self._worker_threads:
            self._jobs.put(None)
        for thread in self._worker_threads:
            thread.join(timeout_s)
        self._fetcher.close()

    def view(self) -> interfaces.TargetsView:
        """Return the newest view, which is immutable."""
        return self._view

    def _run(self) -> None:
        """Start due polls and publish their results until stopped."""
        while not self._stopping.wait(POLL_STEP_S):
            try:
                self._apply(self._take_results())
                self._start_due_polls()
            except Exception:
                _LOG.exception(
                    "applying poll results or starting polls failed"
                )

    def _take_results(self) -> list[_PollResult]:
        """Return the results received since the last call."""
        batch = []
        while True:
            try:
                batch.append(self._results.get_nowait())
            except queue.Empty:
                return batch

    def _start_due_polls(self) -> None:
        """Apply the newest control view and queue the polls that are due."""
        now_ms = self._clock.now_ms()
        control = self._control.view()
        if control is not self._control_view:
            self._control_view = control
            self._watched = self._watch.update(control, now_ms)
            self._refresh_view()
        self._schedule.set_targets(self._view.urls, now_ms)
        if self._schedule.start_hosts_if_due(now_ms):
            self._jobs.put(_PollJob(f"{self._hosts_url}/hosts"))
        for due in self._schedule.start_due(now_ms):
            after = self._events_after.get(due.target_id, 0)
            self._jobs.put(
                _PollJob(
                    self._view.urls[due.target_id],
                    due.target_id,
                    after if due.with_events else None,
                )
            )

    def _refresh_view(self) -> None:
        """Rebuild the URLs and remove targets that are no longer watched."""
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

        A host that is no longer in the list keeps its last known URL.
        """
        found: dict[str, str] = {}
        if self._control_view is None:
            return found
        for target_id in self._watched.targets:
            group = self._control_view.groups.get(target_id)
            if group is None or not group.hosts:
                continue
            entry = host_list and host_list.hosts.get(group.hosts[0].host)
            if entry:
                found[target_id] = entry.engine_url.rstrip("/")
            elif target_id in self._view.urls:
                found[target_id] = self._view.urls[target_id]
        return found

    def _apply(self, batch: list[_PollResult]) -> None:
        """Merge results into the view and publish it."""
        if not batch:
            return
        reports = dict(self._view.reports)
        host_list = self._view.host_list
        events: list[interfaces.CacheEvent] = []
        for result in batch:
            if result.job.target_id is None:
                host_list = self._apply_hosts(result, host_list)
            else:
                self._apply_target(result, reports)
                events += self._apply_events(result)
        urls = self._view.urls
        if host_list is not self._view.host_list:
            urls = self._urls(host_list)
        self._view = attrs.evolve(
            self._view, reports=reports, host_list=host_list, urls=urls
        )
        self._sink.publish_targets(self._view, tuple(events))

    def _apply_hosts(
        self, result: _PollResult, host_list: routing.HostList | None
    ) -> routing.HostList | None:
        """Return the newer of the host list read and the current one."""
        now_ms = self._clock.now_ms()
        count = len(result.host_list.hosts) if result.host_list else 0
        self._schedule.finish_hosts(result.wire_bytes, count, now_ms)
        self._log_state_change("host list", result.host_list is not None)
        if result.host_list is None:
            return host_list
        if host_list and result.host_list.as_of_ms < host_list.as_of_ms:
            return host_list
        return result.host_list

    def _apply_target(
        self, result: _PollResult, reports: dict[str, routing.EngineReport]
    ) -> None:
        """Schedule the next poll and keep a newer report if still watched."""
        target_id = result.job.target_id or ""
        interval_ms = 1_000
        if self._control_view is not None:
            interval_ms = (
                self._control_view.configuration.engines.report_interval_ms
            )
        succeeded = result.report is not None
        now_ms = self._clock.now_ms()
        self._schedule.finish(target_id, succeeded, interval_ms, now_ms)
        if target_id not in self._watched.targets:
            return
        self._log_state_change(target_id, succeeded)
        report = result.report
        if report is None or report.target_id != target_id:
            return
        known = reports.get(target_id)
        if known is None or report.as_of_ms > known.as_of_ms:
            reports[target_id] = report

    def _apply_events(
        self, result: _PollResult
    ) -> list[interfaces.CacheEvent]:
        """Return a target's new cache events."""
        target_id = result.job.target_id
        if target_id not in self._watched.targets or result.events is None:
            return []
        self._events_after[target_id] = result.events.next
        return [
            interfaces.CacheEvent(target_id, one.prefix, one.op == "add")
            for one in result.events.events
        ]

    def _log_state_change(self, name: str, succeeded: bool) -> None:
        """Log when polls of `name` start to fail or succeed again."""
        if succeeded and name in self._failing:
            self._failing.discard(name)
            _LOG.info("polls succeed again: {}", name)
        elif not succeeded and name not in self._failing:
            self._failing.add(name)
            _LOG.warning("poll failed, keeping the last result: {}", name)

    def _run_worker(self) -> None:
        """Run jobs until a `None` is received."""
        while True:
            job = self._jobs.get()
            if job is None:
                return
            try:
                result = self._read(job)
            except (_fetch.FetchError, ValueError) as error:
                _LOG.debug("{}", error)
                result = _PollResult(job)
            except Exception:
                # A target without a result would never be polled again.
                _LOG.exception("unexpected error in a poll of {}", job.url)
                result = _PollResult(job)
            self._results.put(result)

    def _read(self, job: _PollJob) -> _PollResult:
        """Read one target or the host list."""
        sent_ms = self._clock.now_ms()
        if job.target_id is None:
            body = self._fetcher.get(job.url, _fetch.MAX_HOSTS_BYTES)
            hosts = _codec.parse_hosts(body.data, sent_ms)
            return _PollResult(
                job, host_list=hosts, wire_bytes=body.wire_bytes
            )
        body = self._fetcher.get(f"{job.url}/report", _fetch.MAX_REPORT_BYTES)
        report = _codec.parse_report(body.data, sent_ms)
        return _PollResult(job, report=report, events=self._read_events(job))

    def _read_events(self, job: _PollJob) -> _codec.RawEvents | None:
        """Read cache events if they are due; a failure is not an error.

        Missing events cost response time, as cached prefixes go unused.
        """
        if job.events_after is None:
            return None
        url = f"{job.url}/cache_events?after={job.events_after}"
        try:
            body = self._fetcher.get(url, _fetch.MAX_EVENTS_BYTES)
            return _codec.parse_events(body.data)
        except (_fetch.FetchError, ValueError) as error:
            _LOG.debug("{}", error)
            return None
