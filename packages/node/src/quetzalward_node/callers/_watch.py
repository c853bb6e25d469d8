"""Detection of disconnected callers and expired deadlines.

A worker thread that waits for a target cannot notice that its caller has
disconnected. One thread polls the sockets of all callers whose requests are in
progress; when a caller disconnects or the deadline of a request expires, it
interrupts the worker by shutting down the socket of the target connection.
"""

import contextlib
import enum
import select
import socket
import threading

from quetzalward_core import clock as clocks

POLL_INTERVAL_S = 0.1
_DISCONNECT_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


def _is_disconnected(fd: int) -> bool:
    poller = select.poll()
    poller.register(fd, select.POLLRDHUP)
    return bool(poller.poll(0))


class Cause(enum.Enum):
    """Why a request was interrupted."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    STOPPING = "stopping"


class Interruption:
    """Signals one worker thread to abort its request."""

    def __init__(self) -> None:
        """Create an interruption that is not set."""
        self._lock = threading.Lock()
        self._cause: Cause | None = None
        self._target: socket.socket | None = None

    @property
    def cause(self) -> Cause | None:
        """Return why the request was interrupted, or `None`."""
        return self._cause

    def attach(self, target: socket.socket | None) -> None:
        """Set the socket that the worker waits on; `None` detaches it."""
        with self._lock:
            self._target = target
            if self._cause is not None:
                self._shut_down()

    def set(self, cause: Cause) -> None:
        """Interrupt the worker; only the first cause is kept."""
        with self._lock:
            if self._cause is None:
                self._cause = cause
            self._shut_down()

    def _shut_down(self) -> None:
        if self._target is not None:
            with contextlib.suppress(OSError):
                self._target.shutdown(socket.SHUT_RDWR)


class CallerWatch:
    """Polls the sockets of the callers of all requests in progress."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Create the watch; `start` starts the polling thread."""
        self._clock = clock
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._entries_by_fd: dict[int, tuple[Interruption, int]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        )

    def start(self) -> None:
        """Start the polling thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread and wait for its end."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._epoll.close()

    def add(
        self, caller: socket.socket, deadline_ms: clocks.Millis
    ) -> Interruption:
        """Watch a caller's socket until `remove` or `deadline_ms`."""
        interruption = Interruption()
        fd = caller.fileno()
        with self._lock:
            self._entries_by_fd[fd] = (interruption, deadline_ms)
            self._epoll.register(fd, _DISCONNECT_EVENTS)
        return interruption

    def remove(self, caller: socket.socket) -> None:
        """Stop watching a caller's socket."""
        fd = caller.fileno()
        with self._lock:
            if self._entries_by_fd.pop(fd, None) is not None:
                with contextlib.suppress(OSError, ValueError):
                    self._epoll.unregister(fd)

    def interrupt_all(self, cause: Cause) -> None:
        """Interrupt every request in progress."""
        with self._lock:
            entries = list(self._entries_by_fd.values())
        for interruption, _ in entries:
            interruption.set(cause)

    def _run(self) -> None:
        while not self._stopping.is_set():
            ready = self._epoll.poll(POLL_INTERVAL_S)
            self._interrupt_disconnected([fd for fd, _ in ready])
            self._interrupt_expired()

    def _interrupt_disconnected(self, fds: list[int]) -> None:
        for fd in fds:
            with self._lock:
                entry = self._entries_by_fd.get(fd)
                # The descriptor may belong to another caller since the poll;
                # entries are removed before their socket is closed.
                if entry is None or not _is_disconnected(fd):
                    continue
                # Otherwise the level-triggered event makes the thread spin
                # until the worker removes the entry.
                self._epoll.unregister(fd)
            entry[0].set(Cause.CALLER_GONE)

    def _interrupt_expired(self) -> None:
        now_ms = self._clock.now_ms()
        with self._lock:
            expired = [
                interruption
                for interruption, deadline_ms in self._entries_by_fd.values()
                if deadline_ms <= now_ms and interruption.cause is None
            ]
        for interruption in expired:
            interruption.set(Cause.DEADLINE)
