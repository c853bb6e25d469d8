"""The task that exchanges digests with other nodes."""

import random
import threading
import typing

from google.protobuf import message as protobuf
import logbook

from quetzalward_core import agreement
from quetzalward_core import clock as clocks
from quetzalward_core import membership
from quetzalward_node import _settings
from quetzalward_node import interfaces
from quetzalward_node.peers import _auth
from quetzalward_node.peers import _channels
from quetzalward_node.peers import _codec
from quetzalward_node.peers import _knowledge
from quetzalward_node.peers import _server
from quetzalward_wire import peer_pb2

_LOG = logbook.Logger("peers")
ROUND_MS = 1_000
ASK_TIMEOUT_MS = 1_000
STOP_TIMEOUT_MS = 2_000
# A doubt that arrives later than the next poll of the target is of no use.
DOUBT_TIMEOUT_MS = 1_000
# One doubt holds until the target's next report; polls are no denser.
DOUBT_GAP_MS = 500
# Nodes told directly. A larger fleet passes doubts on: 8 a node reach all of
# 380 nodes in three steps but for one in 3,000, and stay far below the number
# of open channels.
DOUBT_FANOUT = 8
_GRACE_S = 1.0

DemandSource = typing.Callable[[], typing.Mapping[str, membership.Demand]]

_ANSWER_BY_STATE = {
    peer_pb2.CALL_STATE_IN_PROGRESS: interfaces.DispatcherAnswer.IN_PROGRESS,
    peer_pb2.CALL_STATE_ABANDONED: interfaces.DispatcherAnswer.ABANDONED,
    peer_pb2.CALL_STATE_UNKNOWN: interfaces.DispatcherAnswer.UNKNOWN,
}
_STATE_BY_ANSWER = {answer: n for n, answer in _ANSWER_BY_STATE.items()}


class PeersTask:
    """Knows the other nodes without the log, and answers their calls.

    Implements `interfaces.DispatcherQuery`.
    """

    def __init__(
        self,
        name: str,
        secret: bytes,
        log: interfaces.ControlLog,
        clock: clocks.Clock,
        desk: interfaces.IntentDesk | None = None,
        demand: DemandSource = dict,
        serve_without_log: str = membership.MAJORITY,
        tls: _settings.TlsSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create the task; `listen` and `start` make it work."""
        self.name = name
        self.exchanges = 0
        self.failures = 0
        self._log = log
        self._clock = clock
        self._desk = desk
        self._demand = demand
        self._rng = rng or random.Random()
        auth = _auth.Authenticator(name, secret)
        self._channels = _channels.Channels(auth, tls)
        self._server = _server.PeerServer(
            auth,
            tls,
            {
                "Exchange": self._on_exchange,
                "AskCall": self._on_ask,
                "StopOrder": self._on_stop,
                "DoubtTarget": self._on_doubt,
            },
        )
        self.knowledge = _knowledge.SharedMembership(
            name,
            log,
            clock,
            serve_without_log,
            self._rng,
        )
        self._doubt_lock = threading.Lock()
        self._doubted_ms_by_target: dict[str, clocks.Millis] = {}
        self._on_doubted: typing.Callable[[str], None] | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="peers", daemon=True
        )

    def listen(self, address: str) -> int:
        """Answer other nodes on `IP:port`; return the port.

        Raises `OSError` if the address cannot be used.
        """
        return self._server.start(address)

    def start(self) -> None:
        """Begin the rounds."""
        self._thread.start()

    def stop(self) -> None:
        """End the rounds and the server."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._server.stop(_GRACE_S)
        self._channels.close()

    def send_stop(
        self, node: str, kind: membership.StopKind, name: str, basis: int
    ) -> bool:
        """Pass a stop order to one node; true if it confirmed it."""
        body = _codec.encode_stop(membership.StopKey(kind, name), basis)
        answer = self._call(node, "StopOrder", body, STOP_TIMEOUT_MS)
        if answer is None:
            return False
        return bool(peer_pb2.StopOrderResponse.FromString(answer).in_force)

    def on_doubted(self, listener: typing.Callable[[str], None]) -> None:
        """Call a listener with each target that another node doubts."""
        self._on_doubted = listener

    def announce_doubt(self, target: str) -> None:
        """Tell other nodes that a target may have turned cold.

        Starts calls without waiting for them. A lost one leaves a node with
        its own polls of the target.
        """
        if self._is_new_doubt(target):
            self._send_doubt(target)

    def _is_new_doubt(self, target: str) -> bool:
        """Note a doubt; false for one told or heard a moment ago."""
        now_ms = self._clock.now_ms()
        with self._doubt_lock:
            since_ms = self._doubted_ms_by_target.get(target)
            if since_ms is not None and now_ms - since_ms < DOUBT_GAP_MS:
                return False
            for known, told_ms in list(self._doubted_ms_by_target.items()):
                if now_ms - told_ms >= DOUBT_GAP_MS:
                    del self._doubted_ms_by_target[known]
            self._doubted_ms_by_target[target] = now_ms
            return True

    def _send_doubt(self, target: str) -> None:
        others = [
            _channels.Peer(node.name, node.peers)
            for node in self._log.state().nodes_by_name.values()
            if node.name != self.name
        ]
        if len(others) > DOUBT_FANOUT:
            others = self._rng.sample(others, DOUBT_FANOUT)
        body = peer_pb2.TargetDoubt(target=target).SerializeToString()
        for peer in others:
            self._channels.send(
                peer, "DoubtTarget", body, DOUBT_TIMEOUT_MS, self._doubt_lost
            )

    def _doubt_lost(self, reason: str) -> None:
        _LOG.debug("DoubtTarget: {}", reason)

    def ask(self, node: str, intent_id: str) -> interfaces.DispatcherAnswer:
        """Ask the dispatcher of an intent; see `DispatcherQuery`."""
        name, nonce = agreement.split_writer(node)
        known = self._log.state().nodes_by_name.get(name)
        if known is None or known.nonce != nonce:
            return interfaces.DispatcherAnswer.UNREACHABLE
        request = peer_pb2.AskCallRequest(
            intent_id=intent_id, dispatcher_nonce=nonce
        )
        answer = self._call(
            name, "AskCall", request.SerializeToString(), ASK_TIMEOUT_MS
        )
        if answer is None:
            return interfaces.DispatcherAnswer.UNREACHABLE
        state = peer_pb2.AskCallResponse.FromString(answer).state
        return _ANSWER_BY_STATE.get(
            state, interfaces.DispatcherAnswer.UNREACHABLE
        )

    def _call(
        self, node: str, method: str, body: bytes, timeout_ms: clocks.Millis
    ) -> bytes | None:
        """Make one call to a node of the fold; `None` on any failure."""
        known = self._log.state().nodes_by_name.get(node)
        if known is None:
            return None
        peer = _channels.Peer(node, known.peers)
        try:
            return self._channels.call(peer, method, body, timeout_ms)
        except _channels.CallError as error:
            _LOG.debug("{}: {}", method, error)
            return None

    # Rounds.

    def _run(self) -> None:
        while not self._stopping.is_set():
            started_ms = self._clock.now_ms()
            self.round()
            used_ms = self._clock.now_ms() - started_ms
            left_ms = max(0, ROUND_MS - used_ms)
            self._stopping.wait(left_ms / clocks.MILLIS_PER_SECOND)

    def round(self) -> None:
        """Exchange digests with a few peers."""
        peers = self.knowledge.begin_round(self._demand())
        for peer in peers:
            self._exchange(peer)

    def _exchange(self, peer: _channels.Peer) -> None:
        """Exchange digests with one peer."""
        body = self.knowledge.next_request()
        sent_ms = self._clock.now_ms()
        try:
            answer = self._channels.call(
                peer, "Exchange", body, _knowledge.EXCHANGE_TIMEOUT_MS
            )
            numbered = _codec.decode_digest(answer)
        except (_channels.CallError, protobuf.DecodeError) as error:
            _LOG.debug("exchange: {}", error)
            self._failed(peer.name)
            return
        self.exchanges += 1
        self.knowledge.receive_answer(numbered, sent_ms)

    def _failed(self, node: str) -> None:
        """Replace a peer that does not answer."""
        self.failures += 1
        self.knowledge.forget_active(node)

    # Calls from other nodes.

    def _on_exchange(self, sender: str, body: bytes) -> bytes:
        try:
            numbered = _codec.decode_digest(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        return self.knowledge.receive_request(sender, numbered)

    def _on_ask(self, sender: str, body: bytes) -> bytes:
        try:
            request = peer_pb2.AskCallRequest.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        _, nonce = agreement.split_writer(self._log.writer())
        state: typing.Any = peer_pb2.CALL_STATE_NOT_MINE
        if self._desk is not None and request.dispatcher_nonce == nonce:
            answer = self._desk.answer(request.intent_id)
            state = _STATE_BY_ANSWER.get(answer, state)
        return peer_pb2.AskCallResponse(state=state).SerializeToString()

    def _on_stop(self, sender: str, body: bytes) -> bytes:
        try:
            stop = peer_pb2.Stop.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        key = _codec.decode_stop(stop)
        if key is None:
            raise _server.BadRequestError("unknown kind of stop order")
        in_force = self.knowledge.add_stop(key.kind, key.name, stop.basis)
        return peer_pb2.StopOrderResponse(
            in_force=in_force
        ).SerializeToString()

    def _on_doubt(self, sender: str, body: bytes) -> bytes:
        try:
            doubt = peer_pb2.TargetDoubt.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        if len(doubt.target) > _codec.MAX_NAME_CHARS:
            raise _server.BadRequestError("the target's name is too long")
        if self._is_new_doubt(doubt.target):
            if self._on_doubted is not None:
                self._on_doubted(doubt.target)
            if len(self._log.state().nodes_by_name) > DOUBT_FANOUT + 1:
                self._send_doubt(doubt.target)
        return peer_pb2.TargetDoubtResponse().SerializeToString()
