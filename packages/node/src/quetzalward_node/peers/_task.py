"""Task that gossips digests with other nodes and serves their calls."""

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
ROUND_INTERVAL_MS = 1_000
ASK_TIMEOUT_MS = 1_000
STOP_TIMEOUT_MS = 2_000
# A suspicion that arrives after the next poll of the target has no effect.
SUSPECT_TIMEOUT_MS = 1_000
# Minimum time between notices about the same target. A suspicion holds until
# the target's next report, and polls are no more frequent than this.
SUSPECT_INTERVAL_MS = 500
# Number of nodes notified directly; in a larger fleet receivers forward the
# notice. A fanout of 8 reaches all but one in 3,000 of 380 nodes in three hops
# and stays far below the limit on open channels.
SUSPECT_FANOUT = 8
_SHUTDOWN_GRACE_S = 1.0

DemandSource = typing.Callable[[], typing.Mapping[str, membership.Demand]]

_ANSWER_BY_STATE = {
    peer_pb2.CALL_STATE_IN_PROGRESS: interfaces.DispatcherAnswer.IN_PROGRESS,
    peer_pb2.CALL_STATE_ABANDONED: interfaces.DispatcherAnswer.ABANDONED,
    peer_pb2.CALL_STATE_UNKNOWN: interfaces.DispatcherAnswer.UNKNOWN,
}
_STATE_BY_ANSWER = {answer: n for n, answer in _ANSWER_BY_STATE.items()}


class PeersTask:
    """Maintains membership by gossip and serves calls from other nodes.

    Implements `interfaces.DispatcherQuery`.
    """

    def __init__(
        self,
        name: str,
        secret: bytes,
        log: interfaces.ControlLog,
        clock: clocks.Clock,
        intent_responder: interfaces.IntentResponder | None = None,
        demand: DemandSource = dict,
        serve_without_log: str = membership.MAJORITY,
        tls: _settings.TlsSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create the task; call `listen` to serve and `start` to gossip."""
        self.name = name
        self.exchanges = 0
        self.failures = 0
        self._log = log
        self._clock = clock
        self._intent_responder = intent_responder
        self._demand = demand
        self._rng = rng or random.Random()
        auth = _auth.Authenticator(name, secret)
        self._channels = _channels.ChannelPool(auth, tls)
        self._server = _server.PeerServer(
            auth,
            tls,
            {
                "Exchange": self._on_exchange,
                "AskCall": self._on_ask_call,
                "StopOrder": self._on_stop_order,
                "DoubtTarget": self._on_doubt_target,
            },
        )
        self.knowledge = _knowledge.SharedMembership(
            name,
            log,
            clock,
            serve_without_log,
            self._rng,
        )
        self._suspect_lock = threading.Lock()
        self._suspected_ms_by_target: dict[str, clocks.Millis] = {}
        self._suspect_listener: typing.Callable[[str], None] | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="peers", daemon=True
        )

    def listen(self, address: str) -> int:
        """Serve other nodes on `IP:port`; return the port.

        Raises `OSError` if the address cannot be bound.
        """
        return self._server.start(address)

    def start(self) -> None:
        """Start the thread that runs the gossip rounds."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the rounds, the server and all channels."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._server.stop(_SHUTDOWN_GRACE_S)
        self._channels.close()

    def send_stop_order(
        self, node: str, kind: membership.StopKind, name: str, basis: int
    ) -> bool:
        """Send a stop order to a node; return whether it is in force there."""
        body = _codec.encode_stop(membership.StopKey(kind, name), basis)
        response = self._call(node, "StopOrder", body, STOP_TIMEOUT_MS)
        if response is None:
            return False
        return bool(peer_pb2.StopOrderResponse.FromString(response).in_force)

    def on_suspect(self, listener: typing.Callable[[str], None]) -> None:
        """Set the listener for targets that other nodes suspect."""
        self._suspect_listener = listener

    def broadcast_suspect(self, target: str) -> None:
        """Notify other nodes that a target may have gone cold.

        Does not wait for the calls. A node that misses the notice relies on
        its own polls of the target.
        """
        if self._record_suspect(target):
            self._send_suspect(target)

    def _record_suspect(self, target: str) -> bool:
        """Record a suspicion; return false for a recent duplicate."""
        now_ms = self._clock.now_ms()
        with self._suspect_lock:
            since_ms = self._suspected_ms_by_target.get(target)
            if (
                since_ms is not None
                and now_ms - since_ms < SUSPECT_INTERVAL_MS
            ):
                return False
            for earlier, suspected_ms in list(
                self._suspected_ms_by_target.items()
            ):
                if now_ms - suspected_ms >= SUSPECT_INTERVAL_MS:
                    del self._suspected_ms_by_target[earlier]
            self._suspected_ms_by_target[target] = now_ms
            return True

    def _send_suspect(self, target: str) -> None:
        others = [
            _channels.Peer(node.name, node.peers)
            for node in self._log.state().nodes_by_name.values()
            if node.name != self.name
        ]
        if len(others) > SUSPECT_FANOUT:
            others = self._rng.sample(others, SUSPECT_FANOUT)
        body = peer_pb2.TargetDoubt(target=target).SerializeToString()
        for peer in others:
            self._channels.send(
                peer,
                "DoubtTarget",
                body,
                SUSPECT_TIMEOUT_MS,
                self._log_send_failure,
            )

    def _log_send_failure(self, reason: str) -> None:
        _LOG.debug("call to DoubtTarget failed: {}", reason)

    def ask(self, node: str, intent_id: str) -> interfaces.DispatcherAnswer:
        """Query the dispatcher of an intent; see `DispatcherQuery`."""
        name, nonce = agreement.split_writer(node)
        node_record = self._log.state().nodes_by_name.get(name)
        if node_record is None or node_record.nonce != nonce:
            return interfaces.DispatcherAnswer.UNREACHABLE
        request = peer_pb2.AskCallRequest(
            intent_id=intent_id, dispatcher_nonce=nonce
        )
        response = self._call(
            name, "AskCall", request.SerializeToString(), ASK_TIMEOUT_MS
        )
        if response is None:
            return interfaces.DispatcherAnswer.UNREACHABLE
        state = peer_pb2.AskCallResponse.FromString(response).state
        return _ANSWER_BY_STATE.get(
            state, interfaces.DispatcherAnswer.UNREACHABLE
        )

    def _call(
        self, node: str, method: str, body: bytes, timeout_ms: clocks.Millis
    ) -> bytes | None:
        """Call a node that the fold lists; return `None` on any failure."""
        node_record = self._log.state().nodes_by_name.get(node)
        if node_record is None:
            return None
        peer = _channels.Peer(node, node_record.peers)
        try:
            return self._channels.call(peer, method, body, timeout_ms)
        except _channels.CallError as error:
            _LOG.debug("call to {} failed: {}", method, error)
            return None

    # Gossip rounds.

    def _run(self) -> None:
        while not self._stopping.is_set():
            started_ms = self._clock.now_ms()
            self.run_round()
            used_ms = self._clock.now_ms() - started_ms
            left_ms = max(0, ROUND_INTERVAL_MS - used_ms)
            self._stopping.wait(left_ms / clocks.MILLIS_PER_SECOND)

    def run_round(self) -> None:
        """Exchange digests with the peers of one round."""
        peers = self.knowledge.begin_round(self._demand())
        for peer in peers:
            self._exchange(peer)

    def _exchange(self, peer: _channels.Peer) -> None:
        """Exchange digests with one peer."""
        body = self.knowledge.encode_request()
        sent_ms = self._clock.now_ms()
        try:
            response = self._channels.call(
                peer, "Exchange", body, _knowledge.EXCHANGE_TIMEOUT_MS
            )
            numbered = _codec.decode_digest(response)
        except (_channels.CallError, protobuf.DecodeError) as error:
            _LOG.debug("exchange of digests failed: {}", error)
            self._record_failure(peer.name)
            return
        self.exchanges += 1
        self.knowledge.merge_response(numbered, sent_ms)

    def _record_failure(self, node: str) -> None:
        """Count a failed exchange and drop the peer from the active set."""
        self.failures += 1
        self.knowledge.drop_active_peer(node)

    # Calls from other nodes.

    def _on_exchange(self, sender: str, body: bytes) -> bytes:
        try:
            numbered = _codec.decode_digest(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        return self.knowledge.merge_request(sender, numbered)

    def _on_ask_call(self, sender: str, body: bytes) -> bytes:
        try:
            request = peer_pb2.AskCallRequest.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        _, nonce = agreement.split_writer(self._log.writer())
        state: typing.Any = peer_pb2.CALL_STATE_NOT_MINE
        if (
            self._intent_responder is not None
            and request.dispatcher_nonce == nonce
        ):
            answer = self._intent_responder.answer(request.intent_id)
            state = _STATE_BY_ANSWER.get(answer, state)
        return peer_pb2.AskCallResponse(state=state).SerializeToString()

    def _on_stop_order(self, sender: str, body: bytes) -> bytes:
        try:
            stop = peer_pb2.Stop.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        key = _codec.decode_stop(stop)
        if key is None:
            raise _server.BadRequestError(
                "stop order has an unknown kind or an invalid name"
            )
        in_force = self.knowledge.add_stop(key.kind, key.name, stop.basis)
        return peer_pb2.StopOrderResponse(
            in_force=in_force
        ).SerializeToString()

    def _on_doubt_target(self, sender: str, body: bytes) -> bytes:
        try:
            doubt = peer_pb2.TargetDoubt.FromString(body)
        except protobuf.DecodeError as error:
            raise _server.BadRequestError(str(error)) from error
        if len(doubt.target) > _codec.MAX_NAME_CHARS:
            raise _server.BadRequestError("target name is too long")
        if self._record_suspect(doubt.target):
            if self._suspect_listener is not None:
                self._suspect_listener(doubt.target)
            if len(self._log.state().nodes_by_name) > SUSPECT_FANOUT + 1:
                self._send_suspect(doubt.target)
        return peer_pb2.TargetDoubtResponse().SerializeToString()
