"""Event ids, event framing and token positions of streamed answers."""

from quetzalward_core.streams._event_ids import BEGINNING
from quetzalward_core.streams._event_ids import EventSigner
from quetzalward_core.streams._event_ids import make_stream
from quetzalward_core.streams._event_ids import MAX_SEED
from quetzalward_core.streams._event_ids import Phase
from quetzalward_core.streams._event_ids import Position
from quetzalward_core.streams._event_ids import seed_of
from quetzalward_core.streams._positions import ForeignFrameError
from quetzalward_core.streams._positions import TokenPositions
from quetzalward_core.streams._positions import Verdict
from quetzalward_core.streams._sse import Event
from quetzalward_core.streams._sse import format_event
from quetzalward_core.streams._sse import SseError
from quetzalward_core.streams._sse import SseParser

__all__ = [
    "BEGINNING",
    "Event",
    "EventSigner",
    "ForeignFrameError",
    "MAX_SEED",
    "Phase",
    "Position",
    "SseError",
    "SseParser",
    "TokenPositions",
    "Verdict",
    "format_event",
    "make_stream",
    "seed_of",
]
