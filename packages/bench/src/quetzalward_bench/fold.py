"""Speed of the folds and of a bootstrap, at the target size.

380 nodes, 710 groups of 8 hosts, 470 configuration changes and 100,000
remembered keys; prints one figure per line.
"""

import base64
import collections.abc
import gc
import pathlib
import time
import typing

from quetzalward_core import agreement

NODES = 380
GROUPS = 710
HOSTS_PER_GROUP = 8
ZONES = 6
CONFIG_CHANGES = 470
KEYS = 100_000
RENEWALS = 20_000
# A document of the target size: models, customers and services.
CONFIG_CUSTOMERS = 40
CONFIG_MODELS = 20
BODY_BYTES = 300
DAY_MS = 24 * 60 * 60 * 1000

Record = tuple[int, int, str]
FoldT = typing.TypeVar("FoldT", bound=agreement.Fold)


class Stream:
    """Records of one stream, one batch each."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []
        self._seq_by_writer: dict[str, int] = {}

    def add(
        self, writer: str, entries: collections.abc.Sequence[agreement.Entry]
    ) -> int:
        """Append a batch; return the position of its first entry."""
        seq = self._seq_by_writer.get(writer, 0) + 1
        self._seq_by_writer[writer] = seq
        data = agreement.encode_batch(writer, seq, entries)
        offset = len(self.records)
        self.records.append((offset, offset, data))
        return agreement.position_of(offset, 0)


def _configuration(number: int) -> dict[str, typing.Any]:
    customers = {
        f"customer-{n}": {"key_sha256": ["0" * 64], "rate_per_s": 100.0 + n}
        for n in range(CONFIG_CUSTOMERS)
    }
    models = {
        f"model-{n}": {"hosts_per_replica": HOSTS_PER_GROUP, "replicas": 36}
        for n in range(CONFIG_MODELS)
    }
    return {"customers": customers, "models": models, "limits": {"n": number}}


def control_stream() -> Stream:
    """Return a control stream that builds up the target size."""
    stream = Stream()
    for n in range(NODES):
        addresses = [f"10.0.{n % 250}.1:{port}" for port in (80, 81, 82)]
        joined = agreement.NodeJoined(
            f"node-{n}", "nonce", f"zone-{n % ZONES}", "r", *addresses
        )
        stream.add(f"node-{n}#nonce", [joined])
    epochs = [
        stream.add(
            f"node-{z}#nonce",
            [
                agreement.LeaseClaimed(
                    f"zone/{z}", f"node-{z}#nonce", 0, 10_000
                )
            ],
        )
        for z in range(ZONES)
    ]
    for g in range(GROUPS):
        _add_group(stream, g, epochs[g % ZONES])
    revision = 0
    for n in range(CONFIG_CHANGES):
        proposed = agreement.ConfigProposed(revision, _configuration(n), "ann")
        revision = stream.add("node-1#nonce", [proposed])
    for n in range(RENEWALS):
        z = n % ZONES
        holder = f"node-{z}#nonce"
        renewed = agreement.LeaseRenewed(f"zone/{z}", holder, epochs[z])
        stream.add(holder, [renewed])
    return stream


def _add_group(stream: Stream, number: int, lease_epoch: int) -> None:
    zone = number % ZONES
    writer = f"node-{zone}#nonce"
    hosts = tuple(
        agreement.GroupHost(f"host-{number}-{h}", 1)
        for h in range(HOSTS_PER_GROUP)
    )
    stream.add(
        writer, [agreement.HostAdmitted(h.host, h.incarnation) for h in hosts]
    )
    group = f"group-{number}"
    formed = agreement.GroupFormed(
        group,
        f"model-{number % CONFIG_MODELS}",
        f"domain-{number // 4}",
        f"zone-{zone}",
        hosts,
        f"zone/{zone}",
        lease_epoch,
    )
    epoch = stream.add(writer, [formed])
    for event in ("assigned", "loaded"):
        changed = agreement.GroupStateChanged(group, epoch, event, lease_epoch)
        stream.add(writer, [changed])


def _call_batches() -> typing.Iterator[tuple[str, agreement.Entry]]:
    """Return writer and entry of an intent and a result for each key."""
    body = base64.b64encode(bytes(range(256)) + bytes(44)).decode()
    for n in range(KEYS):
        writer = f"node-{n % NODES}#nonce"
        intent_id = f"{writer}/{n}"
        customer, key = f"customer-{n % 10}", f"{n:032x}"
        yield writer, agreement.CallIntent(
            intent_id, customer, key, f"{n:064x}", writer, DAY_MS
        )
        yield writer, agreement.CallResult(
            intent_id, customer, key, 201, "application/json", body
        )


def call_stream() -> Stream:
    """Return a call stream with all keys."""
    stream = Stream()
    for writer, entry in _call_batches():
        stream.add(writer, [entry])
    return stream


def _timed(
    action: typing.Callable[[], typing.Any],
) -> tuple[float, typing.Any]:
    gc.collect()
    started_ns = time.perf_counter_ns()
    value = action()
    return (time.perf_counter_ns() - started_ns) / 1e9, value


def _resident_mib(field: str) -> float:
    """Return `VmRSS` (now) or `VmHWM` (highest) of this process."""
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith(field):
            return int(line.split()[1]) / 1024
    return 0.0


def _show(name: str, value: float, unit: str) -> None:
    print(f"{name:45} {value:12,.1f} {unit}", flush=True)


def _fold(records: list[Record], fold: FoldT) -> FoldT:
    for record in records:
        fold.apply_batch(*record)
    return fold


def measure(name: str, stream: Stream, fold_class: type[FoldT]) -> FoldT:
    """Print the figures of one stream; return its fold."""
    seconds, fold = _timed(lambda: _fold(stream.records, fold_class()))
    assert not fold.void_by_reason, fold.void_by_reason
    _show(f"{name}: records", len(stream.records), "")
    _show(f"{name}: fold speed", len(stream.records) / seconds, "records/s")
    seconds, _ = _timed(fold.copy)
    _show(f"{name}: copy", seconds * 1000, "ms")
    seconds, data = _timed(fold.to_bytes)
    _show(f"{name}: to_bytes", seconds * 1000, "ms")
    _show(f"{name}: state", len(data) / 1024, "KiB")
    snapshot = agreement.Snapshot("s", fold.next_offset - 1, fold.encode())
    seconds, parts = _timed(lambda: agreement.split_snapshot(snapshot))
    _show(f"{name}: encode and pack a snapshot", seconds * 1000, "ms")
    _show(f"{name}: snapshot", sum(len(p.data) for p in parts) / 1024, "KiB")
    _show(f"{name}: parts", len(parts), "")
    records = [agreement.encode_batch("s", p.part + 1, [p]) for p in parts]
    seconds, again = _timed(lambda: _bootstrap(records, fold_class))
    assert again.to_bytes() == data
    _show(f"{name}: bootstrap from snapshot", seconds * 1000, "ms")
    return fold


def _bootstrap(records: list[str], fold_class: type[FoldT]) -> FoldT:
    assembler = agreement.SnapshotAssembler()
    for data in records:
        for entry in agreement.decode_batch(data).entries:
            assert isinstance(entry, agreement.SnapshotPart)
            packed = assembler.add(entry)
            if packed is not None:
                return fold_class.decode(packed.lines())
    raise AssertionError("no complete snapshot")


def _measure_view(fold: agreement.ControlState) -> None:
    """Print the cost of a view after each record, as a reader takes it."""
    count = 1_000
    view = fold.view()
    lease = view.leases_by_resource["zone/0"]
    seq = fold.writer_seq(lease.holder)
    renewed = agreement.LeaseRenewed("zone/0", lease.holder, lease.epoch)
    start = fold.next_offset
    records = [
        (
            start + n,
            start + n,
            agreement.encode_batch(lease.holder, seq + 1 + n, [renewed]),
        )
        for n in range(count)
    ]

    def apply_and_view() -> None:
        for record in records:
            fold.apply_batch(*record)
            fold.view()

    seconds, _ = _timed(apply_and_view)
    _show("control: record and view", seconds / count * 1e6, "us")


def _measure_memory() -> None:
    """Print what the call fold keeps, and the peaks of its snapshots."""
    before = _resident_mib("VmRSS")
    fold = agreement.CallState()
    for offset, (writer, entry) in enumerate(_call_batches()):
        data = agreement.encode_batch(writer, offset + 1, [entry])
        fold.apply_batch(offset, offset, data)
    kept = _resident_mib("VmRSS") - before
    _show("calls: memory of the fold", kept, "MiB")
    snapshot = agreement.Snapshot("s", fold.next_offset - 1, fold.encode())
    parts = agreement.split_snapshot(snapshot)
    peak = _resident_mib("VmHWM") - before
    _show("calls: peak while a snapshot is written", peak, "MiB")
    records = [agreement.encode_batch("s", p.part + 1, [p]) for p in parts]
    del fold, snapshot, parts
    _bootstrap(records, agreement.CallState)
    peak = _resident_mib("VmHWM") - before
    _show("calls: peak with a bootstrap after it", peak, "MiB")


def main(part: str = "speed") -> None:
    """Measure both kinds of stream; `memory` measures the memory alone."""
    if part == "memory":
        _measure_memory()
        return
    control = measure("control", control_stream(), agreement.ControlState)
    _measure_view(control)
    measure("calls", call_stream(), agreement.CallState)
