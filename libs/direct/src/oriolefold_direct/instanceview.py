"""Task that owns what is known of the state of each instance.

It combines registrations with evacuated zones, and for services with a warm-up
rate with what failed connections and health checks tell.
"""

import dataclasses
from typing import Any

from oriolefold_core import clock, tasks
from oriolefold_direct import messages
from oriolefold_routing import policy, topology, warmup
from oriolefold_telemetry import counters, logs


class InstanceView(tasks.Task):
    """Posts the instances with their state to its subscribers.

    Nothing is posted before a policy and, where zones can be evacuated, the
    evacuations are known: an instance must not seem warm or open until then.
    """

    def __init__(
        self,
        time: clock.Clock,
        health_checker: tasks.Task,
        recorder: counters.Counters,
        awaits_evacuations: bool,
    ):
        """Initializes the task.

        Args:
            time: Clock of cold periods.
            health_checker: Receives the instances to check.
            recorder: Metrics of states.
            awaits_evacuations: Whether evacuations are going to be posted.
        """
        super().__init__('instance view')
        self._clock = time
        self._health_checker = health_checker
        self._subscribers: tuple[tasks.Task, ...] = ()
        self._registered: messages.EndpointsUpdated | None = None
        self._evacuated_ids: frozenset[str] | None = (
            None if awaits_evacuations else frozenset()
        )
        # Services whose instances can be cold; None before the first policy.
        self._profiles_by_id: dict[str, policy.ServiceProfile] | None = None
        self._states_by_id: dict[str, warmup.WarmUpState] = {}
        self._endpoints_by_state_id: dict[str, topology.Endpoint] = {}
        self._posted: messages.EndpointsUpdated | None = None
        self._unverified_by_id: dict[str, topology.Endpoint] = {}
        for name, description, read in (
            (
                'oriolefold_cold_instances',
                'Instances that are cold.',
                self._count_cold,
            ),
            (
                'oriolefold_unverified_instances',
                'Instances that may have restarted.',
                lambda: len(self._unverified_by_id),
            ),
            (
                'oriolefold_evacuated_zones',
                'Availability zones that are evacuated.',
                lambda: len(self._evacuated_ids or ()),
            ),
        ):
            recorder.register_gauge(name, description, read)

    def subscribe(self, *subscribers: tasks.Task) -> None:
        """Adds tasks that receive `EndpointsUpdated`."""
        self._subscribers += subscribers

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.EndpointsUpdated():
                self._registered = message
                self._update_states()
            case messages.PolicyUpdated():
                if not self._update_profiles(message.policy):
                    return
                self._update_states()
            case messages.EvacuationsUpdated():
                self._update_evacuations(message.zone_ids)
            case messages.ConnectionFailed():
                if not self._record_failure(message.endpoint, 'connection'):
                    return
            case messages.HealthChecked():
                self._record_health(message)
        self._publish()

    def _update_profiles(self, current: policy.Policy) -> bool:
        """Takes the warm-up rates of a policy; returns whether they differ."""
        profiles = {
            service_id: profile
            for service_id, profile in current.services_by_id.items()
            if profile.warm_up_rate_per_s > 0 and profile.warm_up_s > 0
        }
        changed = profiles != self._profiles_by_id
        self._profiles_by_id = profiles
        return changed

    def _update_states(self) -> None:
        """Takes the registrations that are new since the last call."""
        if self._registered is None or self._profiles_by_id is None:
            return
        now_s = self._clock.now_s()
        former = self._endpoints_by_state_id
        current = {
            instance_id: endpoint
            for instance_id, endpoint in (
                self._registered.endpoints_by_id.items()
            )
            if endpoint.service_id in self._profiles_by_id
        }
        self._endpoints_by_state_id = current
        for instance_id in former.keys() - current.keys():
            del self._states_by_id[instance_id]
        for instance_id, endpoint in current.items():
            known = former.get(instance_id)
            if known == endpoint:
                continue
            if known is None or _incarnation(known) != _incarnation(endpoint):
                self._states_by_id[instance_id] = warmup.WarmUpState()
            state = self._states_by_id[instance_id]
            was_cold_until_s = state.cold_until_s
            state.register(endpoint.warm_up_s, now_s)
            if state.cold_until_s != was_cold_until_s:
                self._log_cold(endpoint, 'registration')

    def _update_evacuations(self, zone_ids: frozenset[str]) -> None:
        former = self._evacuated_ids or frozenset()
        self._evacuated_ids = zone_ids
        for zone_id in sorted(zone_ids - former):
            logs.event('zone.evacuated', zone=zone_id)
        ended_ids = former - zone_ids
        for zone_id in sorted(ended_ids):
            logs.event('zone.evacuation_ended', zone=zone_id)
        now_s = self._clock.now_s()
        for instance_id, endpoint in self._endpoints_by_state_id.items():
            if endpoint.zone_id in ended_ids:
                warm_up_s = self._profiles_by_id[endpoint.service_id].warm_up_s
                state = self._states_by_id[instance_id]
                state.record_evacuation_end(warm_up_s, now_s)
                self._log_cold(endpoint, 'evacuation')

    def _record_failure(self, endpoint: topology.Endpoint, source: str) -> bool:
        """Records a failure; returns whether it shows anything new."""
        state = self._state(endpoint)
        if state is None:
            return False
        now_s = self._clock.now_s()
        profile = self._profiles_by_id[endpoint.service_id]
        if not profile.health_path:
            state.record_restart(profile.warm_up_s, now_s)
            self._log_cold(endpoint, source)
            return True
        is_new = state.unverified_since_s is None
        if is_new:
            logs.event('instance.unverified', source=source, **_names(endpoint))
        state.record_failure(now_s)
        return is_new

    def _record_health(self, checked: messages.HealthChecked) -> None:
        endpoint = checked.endpoint
        state = self._state(endpoint)
        if state is None:
            return
        if checked.warm_up_left_s is None:
            if state.unverified_since_s is None:
                self._record_failure(endpoint, 'health')
            return
        now_s = self._clock.now_s()
        since_s = state.unverified_since_s
        state.record_health(checked.warm_up_left_s, checked.started_at_s, now_s)
        if since_s is not None and state.unverified_since_s is None:
            logs.event(
                'instance.verified',
                unverified_ms=round((now_s - since_s) * 1000),
                warm_up_left_ms=round(checked.warm_up_left_s * 1000),
                age_ms=round((now_s - checked.started_at_s) * 1000),
                **_names(endpoint),
            )
        if checked.warm_up_left_s > 0:
            self._log_cold(endpoint, 'health')

    def _state(self, endpoint: topology.Endpoint) -> warmup.WarmUpState | None:
        """Returns the state of an incarnation, None if it is out of date."""
        known = self._endpoints_by_state_id.get(endpoint.instance_id)
        if known is None or _incarnation(known) != _incarnation(endpoint):
            return None
        return self._states_by_id[endpoint.instance_id]

    def _publish(self) -> None:
        """Posts the instances if they differ from those posted last."""
        if (
            self._registered is None
            or self._profiles_by_id is None
            or self._evacuated_ids is None
        ):
            return
        update = self._registered
        if self._profiles_by_id or self._evacuated_ids:
            update = messages.EndpointsUpdated(
                {
                    instance_id: self._describe(endpoint)
                    for instance_id, endpoint in update.endpoints_by_id.items()
                }
            )
        if update is self._posted or (
            update is not self._registered and update == self._posted
        ):
            return
        self._posted = update
        for subscriber in self._subscribers:
            subscriber.post(update)
        self._update_checks(update)

    def _update_checks(self, update: messages.EndpointsUpdated) -> None:
        unverified = {
            instance_id: endpoint
            for instance_id, endpoint in update.endpoints_by_id.items()
            if endpoint.unverified and not endpoint.evacuated
        }
        if unverified != self._unverified_by_id:
            self._unverified_by_id = unverified
            self._health_checker.post(messages.UnverifiedInstances(unverified))

    def _describe(self, endpoint: topology.Endpoint) -> topology.Endpoint:
        """Returns an instance with its state."""
        evacuated = endpoint.zone_id in self._evacuated_ids
        state = self._states_by_id.get(endpoint.instance_id)
        if state is None:
            if not evacuated:
                return endpoint
            return dataclasses.replace(endpoint, evacuated=True)
        profile = self._profiles_by_id[endpoint.service_id]
        return dataclasses.replace(
            endpoint,
            evacuated=evacuated,
            cold_until_s=state.cold_until_s,
            unverified=state.unverified_since_s is not None,
            health_path=profile.health_path,
            needs_proof=bool(profile.health_path) and not profile.keyed,
        )

    def _count_cold(self) -> int:
        now_s = self._clock.now_s()
        return sum(
            state.cold_until_s > now_s for state in self._states_by_id.values()
        )

    def _log_cold(self, endpoint: topology.Endpoint, source: str) -> None:
        state = self._states_by_id[endpoint.instance_id]
        left_s = max(0.0, state.cold_until_s - self._clock.now_s())
        logs.event(
            'instance.cold',
            source=source,
            left_ms=round(left_s * 1000),
            registered_ms=round(endpoint.warm_up_s * 1000),
            **_names(endpoint),
        )


def _incarnation(endpoint: topology.Endpoint) -> tuple:
    return endpoint.born_ms, endpoint.address, endpoint.service_id


def _names(endpoint: topology.Endpoint) -> dict[str, Any]:
    return {
        'instance': endpoint.instance_id,
        'born_ms': endpoint.born_ms,
        'service': endpoint.service_id,
    }
