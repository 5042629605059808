"""Random samples of the instances of a service, for each distance."""

import enum
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import islice

from catkinpost.state.instance_view import Instance, InstanceView

__all__ = ["COMPARED_INSTANCES", "Distance", "InstanceSampler", "NodeLocation"]

# Two random choices, the better of which avoids herds on one instance.
COMPARED_INSTANCES = 2


class Distance(enum.Enum):
    """Distance of an instance, as the smallest area that it shares with this node."""

    CENTRE = "data centre"
    REGION = "region"
    WORLD = "world"


@dataclass(frozen=True, kw_only=True)
class NodeLocation:
    """Instance, data centre and region of this node."""

    instance: str
    data_centre: str
    region: str


class InstanceSampler:
    """Sampler that looks at as few instances as it needs.

    Load pattern: each call chooses an instance. If it looked at all of them, a call
    would cost more in a service with more instances.

    :param location: location of this node.
    :param view: list of instances.
    """

    def __init__(self, location: NodeLocation, view: InstanceView) -> None:
        self.location = location
        self.view = view
        self.tiers_source: dict[str, list[Instance]] | None = None
        self.tiers: dict[str, dict[Distance, list[Instance]]] = {}

    def get_distance(self, item: Instance) -> Distance:
        """Return the distance of an instance from this node."""
        if item.data_centre == self.location.data_centre:
            return Distance.CENTRE
        if item.region == self.location.region:
            return Distance.REGION
        return Distance.WORLD

    def group_by_distance(
        self, instances: list[Instance]
    ) -> dict[Distance, list[Instance]]:
        """Return instances by their distance."""
        tiers: dict[Distance, list[Instance]] = {}
        for item in instances:
            tiers.setdefault(self.get_distance(item), []).append(item)
        return tiers

    def get_tiers(self, service: str) -> dict[Distance, list[Instance]]:
        """Return the listed instances of a service by distance."""
        if self.tiers_source is not self.view.by_service:
            self.tiers_source = self.view.by_service
            self.tiers = {}
        tiers = self.tiers.get(service)
        if tiers is None:
            instances = self.view.get_service_instances(service)
            tiers = self.tiers[service] = self.group_by_distance(instances)
        return tiers

    def sample(
        self, service: str, is_usable: Callable[[Instance], bool]
    ) -> dict[Distance, list[Instance]]:
        """Draw some random usable instances of each distance.

        :return: instances by distance, without distances that have no usable one.
        """
        sampled: dict[Distance, list[Instance]] = {}
        for distance, items in self.get_tiers(service).items():
            usable = filter(is_usable, draw_at_random(items))
            drawn = list(islice(usable, COMPARED_INSTANCES))
            if drawn:
                sampled[distance] = drawn
        return sampled


def draw_at_random(items: list[Instance]) -> Iterator[Instance]:
    """Yield items in a random order that is drawn as far as it is needed."""
    rest = items.copy()
    while rest:
        index = random.randrange(len(rest))
        rest[index], rest[-1] = rest[-1], rest[index]
        yield rest.pop()
