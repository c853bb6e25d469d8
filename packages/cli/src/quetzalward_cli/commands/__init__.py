"""The commands of `quetzalward`, one module each."""

from quetzalward_cli.commands._root import Quetzalward

__all__ = ["Quetzalward"]
