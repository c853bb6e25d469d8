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
        auth = _auth.Authenticator(name, secret)
        self._channels = _channels.Channels(auth, tls)
        self._server = _server.PeerServer(
            auth,
            tls,
            {
                "Exchange": self._on_exchange,
                "AskCall": self._on_ask,
                "StopOrder": self._on_stop,
            },
        )
        self.knowledge = _knowledge.SharedMembership(
            name,
            log,
            clock,
            serve_without_log,
            rng or random.Random(),
        )
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
