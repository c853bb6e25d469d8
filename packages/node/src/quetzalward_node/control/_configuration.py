"""The configuration in force on this node."""

import typing

import attrs
import logbook

from quetzalward_core import agreement
from quetzalward_core import config
from quetzalward_core import errors

_LOG = logbook.Logger(__name__)


@attrs.define
class ConfigurationHolder:
    """Parses each new configuration revision once and holds the result.

    A revision that cannot be parsed leaves the previous one in force. Nodes
    validate documents before they append them, so this only happens if a newer
    version of the software appended the document.
    """

    _state: typing.Callable[[], agreement.ControlView]
    _seen_revision: int = 0
    _in_force: tuple[int, config.Configuration] = (0, config.Configuration())

    def current(self) -> config.Configuration:
        """Return the configuration in force."""
        return self._refresh()[1]

    def revision(self) -> int:
        """Return the revision in force; 0 before the first."""
        return self._refresh()[0]

    def _refresh(self) -> tuple[int, config.Configuration]:
        state = self._state()
        revision = state.config_revision
        # Replaced atomically, so several threads may refresh concurrently.
        if revision > self._seen_revision:
            self._apply(revision, state.config_document)
        return self._in_force

    def _apply(self, revision: int, document: dict[str, typing.Any]) -> None:
        try:
            configuration = config.from_document(document)
        except errors.QuetzalwardError as error:
            self._seen_revision = revision
            _LOG.error(
                "configuration revision {} cannot be parsed, "
                "keeping the previous one: {}",
                revision,
                error,
            )
            return
        self._in_force = (revision, configuration)
        self._seen_revision = revision
        _LOG.info("configuration revision {} is in force", revision)
