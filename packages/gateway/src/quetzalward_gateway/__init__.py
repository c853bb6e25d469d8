"""Gateway to the serving groups that a platform's targets form."""

from quetzalward_gateway._app import run
from quetzalward_gateway._http import CallFailed
from quetzalward_gateway._http import Headers
from quetzalward_gateway._http import HttpClient
from quetzalward_gateway._http import Response
from quetzalward_gateway._http import ResponseHead
from quetzalward_gateway._ports import Appended
from quetzalward_gateway._ports import CallerRequest
from quetzalward_gateway._ports import Conflict
from quetzalward_gateway._ports import HistoryLost
from quetzalward_gateway._ports import KeyedLog
from quetzalward_gateway._ports import Page
from quetzalward_gateway._ports import Platform
from quetzalward_gateway._ports import Record
from quetzalward_gateway._ports import StoreError
from quetzalward_gateway._ports import TargetAnswer
from quetzalward_gateway._ports import ZoneEvacuation
from quetzalward_gateway._settings import Bounds
from quetzalward_gateway._settings import Settings

__all__ = [
    "Appended",
    "Bounds",
    "CallFailed",
    "CallerRequest",
    "Conflict",
    "Headers",
    "HistoryLost",
    "HttpClient",
    "KeyedLog",
    "Page",
    "Platform",
    "Record",
    "Response",
    "ResponseHead",
    "Settings",
    "StoreError",
    "TargetAnswer",
    "ZoneEvacuation",
    "run",
]
