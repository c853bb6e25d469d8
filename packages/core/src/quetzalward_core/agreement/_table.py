"""Copy-on-write dictionaries."""

import types
import typing

Key = typing.TypeVar("Key")
Value = typing.TypeVar("Value")


class Table(typing.Generic[Key, Value]):
    """A dictionary that is copied before the first change after `freeze`.

    Frozen mappings never change, and a table that is never frozen is never
    copied.
    """

    def __init__(self, items: dict[Key, Value] | None = None) -> None:
        """Create a table that takes ownership of `items`."""
        self._items: dict[Key, Value] = items if items is not None else {}
        self._frozen: typing.Mapping[Key, Value] | None = None

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, key: Key) -> bool:
        return key in self._items

    def get(self, key: Key) -> Value | None:
        """Return the value of a key, or `None`."""
        return self._items.get(key)

    def items(self) -> typing.ItemsView[Key, Value]:
        """Return the current items."""
        return self._items.items()

    def values(self) -> typing.ValuesView[Value]:
        """Return the current values."""
        return self._items.values()

    def set(self, key: Key, value: Value) -> None:
        """Set the value of a key."""
        self._copy_if_frozen()
        self._items[key] = value

    def remove(self, key: Key) -> None:
        """Remove a key if it is present."""
        if key in self._items:
            self._copy_if_frozen()
            del self._items[key]

    def copy(self) -> "Table[Key, Value]":
        """Return an independent copy."""
        return Table(dict(self._items))

    def freeze(self) -> typing.Mapping[Key, Value]:
        """Return an immutable mapping of the current items."""
        if self._frozen is None:
            self._frozen = types.MappingProxyType(self._items)
        return self._frozen

    def _copy_if_frozen(self) -> None:
        if self._frozen is not None:
            self._items = dict(self._items)
            self._frozen = None
