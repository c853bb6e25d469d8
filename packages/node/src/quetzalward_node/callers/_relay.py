"""One thread that passes the tokens of all streams in steady state.

A thread for each stream spends most of its time on the interpreter lock:
every system call gives the lock up, and with 150 threads each token cost
several lock handovers. Here the worker of a request waits while this loop
reads its engine and writes to its caller, both without blocking. Whatever is
not the next part of an answer (its end, an error, a caller that reads slowly)
goes back to the worker.
"""

import select
import socket
import threading
import typing

import attrs

from quetzalward_core import clock as clocks

POLL_MS = 100
READ_BYTES = 65_536


class Source(typing.Protocol):
    """The rest of an engine's answer, read without blocking."""

    sock: socket.socket
    # What follows is not a part of the body, or not readable as one.
    over: bool

    def feed(self, data: bytes) -> bytes:
        """Take received bytes and return the part of the body in them."""


@attrs.define(eq=False)
class Job:
    """One stream while the loop serves it."""

    source: Source
    # Takes a part of the body; true if the answer is complete.
    take: typing.Callable[[bytes], bool]
    # Sends to the caller without waiting; false if not all could be sent.
    try_flush: typing.Callable[[], bool]
    # Accounts for time spent waiting for the engine.
    note_wait: typing.Callable[[clocks.Millis], None]
    # The worker takes over when the engine sent nothing for this long.
    timeout_ms: clocks.Millis
    waiting_since_ms: clocks.Millis
    complete: bool = False
    error: Exception | None = None
    ended: threading.Event = attrs.field(factory=threading.Event)

    def advance(self, data: bytes) -> bool:
        """Pass on received bytes; false if the worker must take over."""
        try:
            body = self.source.feed(data)
            if body:
                self.complete = self.take(body)
            flushed = self.try_flush()
        except Exception as error:
            self.error = error
            return False
        return flushed and not (self.complete or self.source.over)


class RelayLoop:
    """Serves the streams that workers hand over."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Create the loop; `start` starts its thread."""
        self._clock = clock
        self._epoll = select.epoll()
        self._jobs_by_fd: dict[int, Job] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="relay", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; call it when no stream is left."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()

    def serve(self, job: Job, received: bytes) -> None:
        """Serve a stream until the worker that calls this must take over.

        `received` are bytes read before. Raises what `take` raised.
        """
        if job.advance(received):
            fd = job.source.sock.fileno()
            self._jobs_by_fd[fd] = job
            self._epoll.register(fd, select.EPOLLIN)
            job.ended.wait()
        if job.error is not None:
            raise job.error

    def _run(self) -> None:
        checked_ms = self._clock.now_ms()
        while not self._stopping.is_set():
            ready = self._epoll.poll(POLL_MS / clocks.MILLIS_PER_SECOND)
            now_ms = self._clock.now_ms()
            for fd, _ in ready:
                job = self._jobs_by_fd.get(fd)
                if job is not None and not self._read(job, now_ms):
                    self._end(fd, job)
            if now_ms - checked_ms >= POLL_MS:
                checked_ms = now_ms
                self._end_late(now_ms)

    def _read(self, job: Job, now_ms: clocks.Millis) -> bool:
        try:
            data = job.source.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            # The worker reads again and reports it.
            return False
        if not data:
            return False
        job.note_wait(now_ms - job.waiting_since_ms)
        job.waiting_since_ms = now_ms
        return job.advance(data)

    def _end_late(self, now_ms: clocks.Millis) -> None:
        for fd, job in list(self._jobs_by_fd.items()):
            if now_ms - job.waiting_since_ms >= job.timeout_ms:
                self._end(fd, job)

    def _end(self, fd: int, job: Job) -> None:
        # Before the worker can close the socket and its number be reused.
        del self._jobs_by_fd[fd]
        self._epoll.unregister(fd)
        now_ms = self._clock.now_ms()
        job.note_wait(now_ms - job.waiting_since_ms)
        job.ended.set()
