"""Selection of a request's route and service."""

import random

from quetzalward_core.fleet import _model


class RouteTable:
    """Finds the route with the longest prefix of a request's path."""

    def __init__(self, routes: tuple[_model.Route, ...]) -> None:
        """Index the routes by host and prefix."""
        self._route_by_prefix_by_host: dict[str, dict[str, _model.Route]] = {}
        for route in routes:
            route_by_prefix = self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            route_by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> _model.Route | None:
        """Return the route of a request, or `None`.

        `path` is without its query; prefixes begin and end with a slash.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(host.lower())
        if route_by_prefix is None:
            route_by_prefix = self._route_by_prefix_by_host.get(
                host.lower().partition(":")[0]
            )
        if route_by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = route_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def pick_service(route: _model.Route, rng: random.Random) -> str | None:
    """Pick a service of the route at random by weight.

    Returns `None` if no service has a weight above 0.
    """
    names = [name for name, w in route.weight_by_service.items() if w > 0]
    if len(names) < 2:
        return names[0] if names else None
    weights = [route.weight_by_service[name] for name in names]
    return rng.choices(names, weights)[0]
