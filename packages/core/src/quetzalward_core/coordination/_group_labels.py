"""Names of groups that are unique over all services.

Each service's coordinator names and numbers its own groups, so that groups of
two services may have the same name and epoch. In messages between nodes, which
have the groups of all services, a label takes the place of the name.
"""

import urllib.parse

_SEPARATOR = "/"


def group_label(service: str, name: str) -> str:
    """Return the label of a service's group."""
    # Quoted, the service contains no separator.
    return urllib.parse.quote(service, safe="") + _SEPARATOR + name


def split_group_label(label: str) -> tuple[str, str]:
    """Return a group's service and name.

    The service is empty for a name without one, as nodes of earlier versions
    send it.
    """
    service, separator, name = label.partition(_SEPARATOR)
    if not separator:
        return "", label
    return urllib.parse.unquote(service), name
