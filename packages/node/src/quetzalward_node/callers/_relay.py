"""An event loop in one thread that relays the tokens of all streams.

With a thread for each stream, most time goes to the interpreter lock: every
system call releases the lock, and with 150 threads each token costs several
handovers of the lock. Therefore the worker thread of a request waits while
this loop reads from its engine and writes to its caller, both without
blocking. The worker takes over again at the end of the response, at an error
and when the caller reads slowly.
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
    """The rest of an engine's response, read without blocking."""

    sock: socket.socket
    # The remaining bytes are not part of the body or cannot be parsed.
    finished: bool

    def feed(self, data: bytes) -> bytes:
        """Parse received bytes and return the part of the body in them."""


@attrs.define(eq=False)
class Job:
    """A stream that the loop serves."""

    source: Source
    # Consumes a part of the body; true if the response is complete.
    consume: typing.Callable[[bytes], bool]
    # Sends to the caller without blocking; false if some data remains.
    try_flush: typing.Callable[[], bool]
    # Records time spent waiting for the engine.
    record_wait: typing.Callable[[clocks.Millis], None]
    # The worker takes over if the engine sends nothing for this long.
    timeout_ms: clocks.Millis
    waiting_since_ms: clocks.Millis
    complete: bool = False
    error: Exception | None = None
    ended: threading.Event = attrs.field(factory=threading.Event)

    def advance(self, data: bytes) -> bool:
        """Relay received bytes; false if the worker must take over."""
        try:
            body = self.source.feed(data)
            if body:
                self.complete = self.consume(body)
            flushed = self.try_flush()
        except Exception as error:
            self.error = error
            return False
        return flushed and not (self.complete or self.source.finished)


class RelayLoop:
    """Relays the streams that workers hand over."""

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
        """Stop the thread; no stream may be in progress."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()

    def serve(self, job: Job, received: bytes) -> None:
        """Relay a stream; blocks until the calling worker must take over.

        `received` holds the bytes already read. Raises any error of the
        callbacks of `job`.
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
                self._end_timed_out(now_ms)

    def _read(self, job: Job, now_ms: clocks.Millis) -> bool:
        try:
            data = job.source.sock.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            # The worker's next read reports the error.
            return False
        if not data:
            return False
        job.record_wait(now_ms - job.waiting_since_ms)
        job.waiting_since_ms = now_ms
        return job.advance(data)

    def _end_timed_out(self, now_ms: clocks.Millis) -> None:
        for fd, job in list(self._jobs_by_fd.items()):
            if now_ms - job.waiting_since_ms >= job.timeout_ms:
                self._end(fd, job)

    def _end(self, fd: int, job: Job) -> None:
        # Before the worker closes the socket and its descriptor is reused.
        del self._jobs_by_fd[fd]
        self._epoll.unregister(fd)
        now_ms = self._clock.now_ms()
        job.record_wait(now_ms - job.waiting_since_ms)
        job.ended.set()
