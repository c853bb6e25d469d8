"""Event ids, event framing and token positions of streamed answers."""

from quetzalward_core.streams._event_ids import EventSigner
from quetzalward_core.streams._event_ids import make_stream_id
from quetzalward_core.streams._event_ids import MAX_SEED
from quetzalward_core.streams._event_ids import Phase
from quetzalward_core.streams._event_ids import Position
from quetzalward_core.streams._event_ids import seed_from_stream_id
from quetzalward_core.streams._event_ids import START_POSITION
from quetzalward_core.streams._positions import FrameAction
from quetzalward_core.streams._positions import TokenPositions
from quetzalward_core.streams._positions import UnexpectedFrameError
from quetzalward_core.streams._sse import ends_with_event
from quetzalward_core.streams._sse import Event
from quetzalward_core.streams._sse import EVENT_END_BYTES
from quetzalward_core.streams._sse import format_event
from quetzalward_core.streams._sse import is_event_stream
from quetzalward_core.streams._sse import SseError
from quetzalward_core.streams._sse import SseParser

__all__ = [
    "EVENT_END_BYTES",
    "Event",
    "EventSigner",
    "FrameAction",
    "MAX_SEED",
    "Phase",
    "Position",
    "START_POSITION",
    "SseError",
    "SseParser",
    "TokenPositions",
    "UnexpectedFrameError",
    "ends_with_event",
    "format_event",
    "is_event_stream",
    "make_stream_id",
    "seed_from_stream_id",
]
