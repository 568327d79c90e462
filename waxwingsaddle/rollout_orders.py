"""Replicated state machine of the rollouts of services.

Applying the same entries in the same order gives the same state on every
control host. The entries are in the log of the configurations and don't use up
its version numbers, so that an edit gets the same outcome with and without a
rollout beside it. Nodes number their configuration by the sum of both: the
version of the edit plus the number of changes of rollouts.
"""

from collections.abc import Collection, Mapping

import msgspec

from waxwingsaddle.config_models import ROLLOUTS_TABLE
from waxwingsaddle.outcomes import Refused
from waxwingsaddle.rollout_entries import (
    Serve,
    Start,
    decode_entry,
    services_of,
)
from waxwingsaddle.rollout_models import (
    Rollout,
    RolloutAccepted,
    RolloutConflict,
    RolloutOrder,
    RolloutStep,
    ServingRecorded,
)
from waxwingsaddle.util.codec import Tree

RolloutOutcome = RolloutAccepted | RolloutConflict | Refused | ServingRecorded


class RolloutImage(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a snapshot that concerns rollouts.

    Attributes:
        changes: Number of changes so far.
        rollouts: The newest rollout of each service.
        serving: See `RolloutOrders`.
    """

    changes: int = 0
    rollouts: tuple[Rollout, ...] = ()
    serving: dict[str, str] = {}


class RolloutOrders:
    """The newest rollout of each service.

    Attributes:
        changes: Number of changes of rollouts so far.
        serving: Versions that serve the services without any rollout.
    """

    def __init__(self) -> None:
        self.changes = 0
        self.serving: dict[str, str] = {}
        self._rollouts: dict[str, Rollout] = {}

    def find(self, service: str) -> Rollout | None:
        """Returns the newest rollout of a service; None if it had none."""
        return self._rollouts.get(service)

    def running(self) -> tuple[Rollout, ...]:
        """Returns the rollouts that have not ended."""
        return tuple(filter(_is_running, self._rollouts.values()))

    def decide(
        self, order: RolloutOrder, services: Collection[str]
    ) -> RolloutOutcome | None:
        """Returns the outcome of an order if the state decides it.

        Args:
            order: The order.
            services: Services of the newest configuration.

        Returns:
            None if the order starts a rollout.
        """
        current = self._rollouts.get(order.service)
        if current is not None and current.order == order:
            return _accepted(current)
        if current is not None and _is_running(current):
            return RolloutConflict(target_version=current.order.target_version)
        if order.service not in services:
            return Refused(problems=(f'{order.service!r} is no service',))
        return None

    def apply(
        self, command: bytes, services: Collection[str], version: int
    ) -> RolloutOutcome:
        """Applies an entry of the log.

        Args:
            command: The entry, with its prefix.
            services: Services of the newest configuration.
            version: Number of the newest configuration.
        """
        entry = decode_entry(command)
        if isinstance(entry, Start):
            return self._start(entry, services, version)
        if isinstance(entry, Serve):
            return self._serve(entry.versions, services)
        return self._step(entry.step, version)

    def end_removed(self, services: Collection[str], version: int) -> None:
        """Ends rollouts and serving versions of services that do not exist.

        Args:
            services: Services of the newest configuration.
            version: Number of that configuration.
        """
        for name in self.serving.keys() - set(services):
            self.serving.pop(name)
        for rollout in self.running():
            if rollout.order.service not in services:
                self._store(
                    msgspec.structs.replace(
                        rollout,
                        state='rolled_back',
                        share_permille=0,
                        version=version,
                    ),
                )

    def dump(self) -> RolloutImage:
        """Returns the content of a snapshot."""
        return RolloutImage(
            changes=self.changes,
            rollouts=tuple(self._rollouts.values()),
            serving=dict(self.serving),
        )

    def load(self, image: RolloutImage) -> None:
        """Replaces the state by that of a snapshot."""
        self.changes = image.changes
        self.serving = dict(image.serving)
        self._rollouts = {
            rollout.order.service: rollout for rollout in image.rollouts
        }

    def table(self, services: Collection[str]) -> Tree:
        """Returns the table of the rollouts of services, as nodes get it.

        A service without any rollout is listed like one whose target version
        does not exist and was rolled back to the serving version.
        """
        serving = {
            name: {
                'target_version': '',
                'base_version': version,
                'state': 'rolled_back',
                'share_permille': 0,
            }
            for name, version in self.serving.items()
            if name in services
        }
        rollouts = {
            name: {
                'target_version': rollout.order.target_version,
                'base_version': rollout.base_version,
                'state': rollout.state,
                'share_permille': rollout.share_permille,
                'turn': rollout.turn,
            }
            for name, rollout in self._rollouts.items()
            if name in services
        }
        return serving | rollouts

    def base_version(self, service: str) -> str:
        """Returns the version that serves beside a rollout; '' if not known.

        The directory may still list upstreams of a version that was rolled
        back.
        """
        earlier = self._rollouts.get(service)
        if earlier is None:
            return self.serving.get(service, '')
        if earlier.state == 'completed':
            return earlier.order.target_version
        return earlier.base_version

    def _start(
        self, entry: Start, services: Collection[str], version: int
    ) -> RolloutOutcome:
        # Decided again, because another order may have been appended since.
        outcome = self.decide(entry.order, services)
        if outcome is not None:
            return outcome
        rollout = Rollout(
            order=entry.order,
            base_version=(
                self.base_version(entry.order.service) or entry.base_version
            ),
            started_ms=entry.started_ms,
            state='running',
            share_permille=0,
            number=0,
            version=version,
        )
        return _accepted(self._store(rollout))

    def _serve(
        self, versions: Mapping[str, str], services: Collection[str]
    ) -> ServingRecorded:
        changed = {
            name: version
            for name, version in versions.items()
            if name in services and name not in self._rollouts
        }
        if changed.items() - self.serving.items():
            self.changes += 1
            self.serving.update(changed)
        return ServingRecorded()

    def _step(self, step: RolloutStep, version: int) -> RolloutOutcome:
        current = self._rollouts.get(step.service)
        if current is None:
            return Refused(problems=(f'{step.service!r} has no rollout',))
        if current.number == step.number and _is_running(current):
            current = self._store(
                msgspec.structs.replace(
                    current,
                    state=step.state,
                    share_permille=step.share_permille,
                    turn=step.turn,
                    version=version,
                ),
            )
        return _accepted(current)

    def _store(self, rollout: Rollout) -> Rollout:
        self.changes += 1
        stored = msgspec.structs.replace(rollout, number=self.changes)
        self._rollouts[rollout.order.service] = stored
        return stored


def with_rollouts(
    sites: Mapping[str, Tree], rollouts: RolloutOrders
) -> Mapping[str, Tree]:
    """Returns the configuration of each site with the table of rollouts.

    Sites without the service get it as well: all nodes acknowledge each step.

    Args:
        sites: Merged tree by site name.
        rollouts: The rollouts.
    """
    if not rollouts.changes:
        return sites
    table = rollouts.table(services_of(sites))
    if not table:
        return sites
    return {
        name: {**tree, ROLLOUTS_TABLE: table} for name, tree in sites.items()
    }


def _is_running(rollout: Rollout) -> bool:
    return rollout.state == 'running'


def _accepted(rollout: Rollout) -> RolloutAccepted:
    return RolloutAccepted(
        state=rollout.state,
        target_version=rollout.order.target_version,
    )
