"""Leases key ranges to instances that check fencing tokens.

One elected VM, the leader of the service, decides at a time. It writes the key
map to the object store before it calls any instance; the map gives each range
that moves a higher token and lists its possible former holders. The new owner
is granted the range only after the former holders have released it or their
leases have expired. Leaders that act on the same map send the same calls, which
is harmless. A leader that was superseded stops within `AUTHORITY_S` of its last
heartbeat, which bounds the end of its leases. They end earlier if it states
that it has stopped.

An instance that starts again under its name must not take a token that its
earlier incarnation had. A token is therefore sent again only over connections
that were open when it was last sent or accepted: a later incarnation is not at
their other end. Without such a connection the range gets a new token, one of
those that the leader has reserved in the stored map. A new leader has no such
connections and reserves tokens before its first grant.

After a restore of the store from an older copy, the leader goes on from its own
map, which is newer, and writes it again. The tokens of each era of the store
begin above all of the earlier eras, since a copy does not tell which were used.
"""

import dataclasses
from collections.abc import Sequence

from oriolefold_coordination import (
    assignment,
    exclusions,
    keyload,
    leaseends,
    ranges,
    registrations,
)

LEASE_S = 5.0  # Lease duration; longer than a leadership takeover.
RENEW_INTERVAL_S = 1.2  # Leaves 3.8 s of a lease for a leadership takeover.
RETRY_INTERVAL_S = 0.25  # Delay before an unanswered call is repeated.
CLOCK_DRIFT = 0.02  # Maximum fraction by which an instance's clock is slow.
TRANSIT_MARGIN_S = 0.1  # Allowance for an abandoned call still in transit.
AUTHORITY_S = 8.0  # Time a leader may act after its last heartbeat.
BATCH_S = 0.06  # Window in which completed grants share one map write.
REBALANCE_INTERVAL_S = 1.0  # Minimum time between voluntary moves.
PLAN_INTERVAL_S = 0.1  # Between plans without events; planning is costly.
RESERVED_TOKENS = 4096  # Minimum that each map write reserves.
RESERVED_TOKENS_PER_RANGE = 4
# More than one era can use: 2**28 map writes of 4096 tokens.
TOKENS_PER_ERA = 2**40
BUSY_LIMIT_S = 0.5  # Longest wait for a connection that may carry a renewal.
PUBLISH_RETRY_S = 0.5  # Delay after a failed write; failed calls are billed.


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Action: grant or renew a range.

    Attributes:
        key_range: The range with its owner and the token in the stored map.
        handover: State handed over by the last holder, or an empty string.
        token: The token to send; it replaces that of the map if higher.
        newest_connection: Number of the newest connection that may carry it,
            or None if any may, since the token was never sent before.
        sole_leader_only: Whether it may be sent only while no other VM can have
            become the leader.
    """

    key_range: ranges.KeyRange
    handover: str
    token: int
    newest_connection: int | None = None
    sole_leader_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Action: ask a former holder to release a range.

    Attributes:
        key_range: The range with the token of its next owner, which makes the
            former holder reject delayed renewals.
        holder: The former holder.
    """

    key_range: ranges.KeyRange
    holder: ranges.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Action: write a new key map to the store."""

    key_map: ranges.KeyMap


def lease_end_s(call_ended_s: float) -> float:
    """Returns the time by which a lease has expired at the instance.

    Args:
        call_ended_s: When the call was answered or its connection closed.
    """
    return call_ended_s + LEASE_S / (1 - CLOCK_DRIFT) + TRANSIT_MARGIN_S


def inherited_until_s(
    now_s: float, may_still_act: bool, inherited_s: float
) -> float:
    """Returns until when leases from earlier leaders may last.

    Args:
        now_s: Current time.
        may_still_act: Whether the previous leader may still act as one.
            False if it resigned or was an earlier process of this VM.
        inherited_s: How long the previous leader had to allow for leases of its
            own predecessors, in seconds from its last heartbeat.
    """
    until_s = lease_end_s(now_s)
    if may_still_act:
        until_s += AUTHORITY_S
    return max(until_s, now_s + inherited_s)


class RangeLeaseManager:
    """Decides the grants, releases and map writes of one service.

    It makes no calls itself: `step` returns the actions that are due, and the
    caller reports the outcome of each one.
    """

    def __init__(
        self,
        key_map: ranges.KeyMap,
        inherited_until_s: float,
        earlier_until_s: float | None = None,
        era: int = 0,
        previous_era: int = -1,
    ):
        """Starts from the stored map.

        Args:
            key_map: The map in the store.
            inherited_until_s: Until when leases granted by earlier leaders may
                last.
            earlier_until_s: The same without the previous leader; by default
                as long.
            era: Era of the store.
            previous_era: Era in which the previous leader wrote its record, or
                -1 without one. If that one has not written the map after a
                restore, nothing is done while its leases may last: it went on
                from a map that is not known here.
        """
        self.key_map = key_map
        self._inherited_until_s = inherited_until_s
        self._earlier_until_s = (
            inherited_until_s if earlier_until_s is None else earlier_until_s
        )
        self._candidates: tuple[assignment.Candidate, ...] = ()
        self._registrations = registrations.Registrations()
        self._lease_ends = leaseends.LeaseEnds()
        self._handovers: dict[tuple, dict[tuple, str]] = {}
        self._granted: set[tuple] = set()
        self._calls_in_flight: set[tuple] = set()
        self._next_call_at_s: dict[tuple, float] = {}
        self._busy_since_s: dict[tuple, float] = {}
        self._first_token_of_era = era * TOKENS_PER_ERA
        self._acts_from_s = float('-inf')
        if previous_era >= era and not self.is_published:
            self._acts_from_s = inherited_until_s
        # Earlier leaders may have sent all tokens below.
        self._first_own_token = max(
            key_map.next_token, self._first_token_of_era
        )
        self._reserved_tokens: range = range(0)
        self._replacements_by_token: dict[int, int] = {}
        self._newest_connections_by_token: dict[int, int] = {}
        self._unusable_tokens: set[int] = set()
        # Tokens of grants in flight that any connection may carry.
        self._first_sends: set[int] = set()
        self._exclusions = exclusions.Exclusions()
        self._ended: set[tuple] = set()  # Proved by calls, not the registry.
        self._publishing: ranges.KeyMap | None = None
        # Map writes since the last one that is known to have succeeded.
        self._attempts: list[ranges.KeyMap] = []
        self._rebalance_not_before_s = 0.0
        self._publish_not_before_s = float('-inf')
        self._plan_not_before_s = float('-inf')
        self._batch_started_s: float | None = None

    def update(
        self,
        candidates: Sequence[assignment.Candidate],
        registered: Sequence[ranges.Holder],
    ) -> None:
        """Sets the instances to assign keys to and all registered ones.

        Args:
            candidates: Instances that may own keys.
            registered: All instances in the registry, of any service.
        """
        self._candidates = tuple(candidates)
        self._plan_not_before_s = float('-inf')
        self._registrations.update(registered)

    def step(
        self,
        now_s: float,
        profile: keyload.Profile,
        is_sole_leader: bool = True,
    ) -> list:
        """Returns the actions that are due: grants, releases, a map write.

        Args:
            now_s: Current time.
            profile: Load of the keys.
            is_sole_leader: Whether no other VM can have become the leader yet.
        """
        actions = []
        if now_s < self._acts_from_s:
            return actions
        plan_at_s = max(self._plan_not_before_s, self._publish_not_before_s)
        if self._publishing is None and now_s >= plan_at_s:
            self._plan_not_before_s = now_s + PLAN_INTERVAL_S
            changed = self._next_map(now_s, profile)
            if changed is not self.key_map:
                self._publishing = changed
                self._attempts.append(changed)
                actions.append(Publish(changed))
        for key_range in self.key_map.ranges:
            actions.extend(
                self._range_actions(key_range, now_s, is_sole_leader)
            )
        return actions

    def inherited_s(self, now_s: float) -> float:
        """Returns how much longer earlier leaders' leases may last."""
        return max(0.0, self._inherited_until_s - now_s)

    def awaits_previous_leader(self, now_s: float) -> bool:
        """Whether moves wait longer because the previous leader may still act.

        Proof that it has ended would let them begin sooner.
        """
        return self._until_if_ended_s(now_s) < self._inherited_until_s

    def previous_leader_ended(self, now_s: float) -> None:
        """Handles proof that the previous leader has no grants in flight.

        Args:
            now_s: Current time, after the proof was given.
        """
        self._inherited_until_s = min(
            self._inherited_until_s, self._until_if_ended_s(now_s)
        )

    def _until_if_ended_s(self, now_s: float) -> float:
        return max(lease_end_s(now_s), self._earlier_until_s)

    def go_on_in_restored_store(self, stored: ranges.KeyMap, era: int) -> bool:
        """Handles a restore of the store to which the leader has returned.

        Args:
            stored: The map in the restored store.
            era: Era of the store.

        Returns:
            Whether the own map is the newest one, so that the leader goes on
            from it. The stored one may be that of an own write whose outcome
            is unknown.
        """
        if (
            stored.next_token > self.key_map.next_token
            and stored not in self._attempts
        ):
            return False
        self._first_token_of_era = era * TOKENS_PER_ERA
        self._plan_not_before_s = float('-inf')
        return True

    @property
    def is_published(self) -> bool:
        """Whether the map has been written in the current era of the store."""
        return self.key_map.next_token >= self._first_token_of_era

    def is_held(self, key_range: ranges.KeyRange) -> bool:
        """Whether the owner has acknowledged the range."""
        return _range_id(key_range) in self._granted

    def held_moving(self) -> tuple[ranges.KeyRange, ...]:
        """Returns the held ranges that the stored map lists as moving."""
        if not self.is_published:
            return ()
        return tuple(
            key_range
            for key_range in self.key_map.ranges
            if key_range.priors
            and self.is_held(key_range)
            and key_range.owner.incarnation not in self._ended
        )

    def published(self, key_map: ranges.KeyMap) -> None:
        """Handles a successful map write."""
        self._publishing = None
        self._attempts.clear()
        self._batch_started_s = None
        self._plan_not_before_s = float('-inf')
        self.key_map = key_map
        self._reserved_tokens = range(
            key_map.next_token - _reserved_count(key_map), key_map.next_token
        )
        self._forget_unused_tokens()
        known = [c.holder for c in self._candidates]
        for key_range in key_map.ranges:
            known.extend((key_range.owner, *key_range.priors))
        self._ended &= {holder.incarnation for holder in known}
        range_ids = {_range_id(r) for r in key_map.ranges}
        self._granted &= range_ids
        self._handovers = {
            k: v for k, v in self._handovers.items() if k in range_ids
        }

    def publishing_failed(self, now_s: float) -> None:
        """Handles a map write that failed and had no effect."""
        self._publishing = None
        self._publish_not_before_s = now_s + PUBLISH_RETRY_S

    def grant_ended(
        self,
        grant: Grant,
        accepted: bool,
        stale: bool,
        now_s: float,
        newest_connection: int | None = None,
        in_transit_s: float = 0.0,
    ) -> None:
        """Handles the outcome of a grant.

        Args:
            grant: The call.
            accepted: Whether the instance accepted it.
            stale: Whether the instance has seen a higher token.
            now_s: Current time.
            newest_connection: Number of the newest connection at the time at
                which the grant was written, or None if nothing was written.
            in_transit_s: How long it may still be on its way.
        """
        key_range = grant.key_range
        range_id = _range_id(key_range)
        incarnation = key_range.owner.incarnation
        self._calls_in_flight.discard(('grant', range_id))
        self._busy_since_s.pop(range_id, None)
        if grant.newest_connection is None:
            self._first_sends.discard(grant.token)
        if newest_connection is not None and (
            accepted or grant.newest_connection is None
        ):
            self._newest_connections_by_token[grant.token] = newest_connection
        if accepted or newest_connection is not None:
            self._lease_ends.extend(
                key_range, lease_end_s(now_s + in_transit_s)
            )
        pause_s = RENEW_INTERVAL_S if accepted else RETRY_INTERVAL_S
        self._next_call_at_s[range_id] = now_s + pause_s
        if accepted:
            if range_id not in self._granted:
                self._plan_not_before_s = float('-inf')
            self._granted.add(range_id)
            self._exclusions.answered(incarnation)
        elif stale:
            self._exclusions.refused(incarnation, now_s)
        else:
            self._exclusions.unanswered(incarnation, now_s)

    def owner_has_ended(self, grant: Grant) -> None:
        """Handles a grant that an instance under another name rejected."""
        self._calls_in_flight.discard(('grant', _range_id(grant.key_range)))
        self._first_sends.discard(grant.token)
        self._ended.add(grant.key_range.owner.incarnation)
        self._plan_not_before_s = float('-inf')

    def grant_not_sent(self, grant: Grant, busy: bool, now_s: float) -> bool:
        """Handles a grant for which no permitted connection was free.

        Args:
            grant: The call.
            busy: Whether a permitted connection is open and in use.
            now_s: Current time.

        Returns:
            Whether the range gets a new token.
        """
        range_id = _range_id(grant.key_range)
        self._calls_in_flight.discard(('grant', range_id))
        if grant.token in self._unusable_tokens:
            self._next_call_at_s[range_id] = now_s + RETRY_INTERVAL_S
            return False
        since_s = self._busy_since_s.setdefault(range_id, now_s)
        if busy and now_s - since_s < BUSY_LIMIT_S:
            return False
        del self._busy_since_s[range_id]
        self._unusable_tokens.add(grant.token)
        return True

    def release_ended(
        self, release: Release, handover: str | None, now_s: float
    ) -> None:
        """Handles the outcome of a release.

        Args:
            release: The call.
            handover: State handed over by the former holder, an empty string
                if it released the range without any, or None if it did not
                answer.
            now_s: Current time.
        """
        range_id = _range_id(release.key_range)
        incarnation = release.holder.incarnation
        self._calls_in_flight.discard(('release', range_id, incarnation))
        self._next_call_at_s[(range_id, incarnation)] = now_s + RETRY_INTERVAL_S
        if handover is not None:
            self._handovers.setdefault(range_id, {})[incarnation] = handover

    def _next_map(self, now_s: float, profile) -> ranges.KeyMap:
        candidates = [
            c
            for c in self._candidates
            if c.holder.incarnation not in self._ended
            and not self._exclusions.is_excluded(c.holder.incarnation, now_s)
        ]
        cleared = self._clear_priors(now_s)
        if not self.is_published:
            cleared = dataclasses.replace(
                cleared, next_token=self._first_token_of_era
            )
        stable = all(not r.priors for r in cleared.ranges)
        may_balance = stable and now_s >= self._rebalance_not_before_s
        changed = assignment.assign(cleared, candidates, profile, may_balance)
        if not changed.ranges:
            return self.key_map
        if may_balance and changed is not self.key_map:
            self._rebalance_not_before_s = now_s + REBALANCE_INTERVAL_S
        is_short = len(self._reserved_tokens) < len(self.key_map.ranges)
        if changed == self.key_map and not is_short:
            return self.key_map
        return dataclasses.replace(
            changed, next_token=changed.next_token + _reserved_count(changed)
        )

    def _clear_priors(self, now_s: float) -> ranges.KeyMap:
        """Returns the map without the priors of ranges that are granted.

        Every write notifies all VMs, so grants that complete within `BATCH_S`
        share one.
        """
        moving = [r for r in self.key_map.ranges if r.priors]
        done = {_range_id(r) for r in moving if _range_id(r) in self._granted}
        if not done:
            return self.key_map
        if self._batch_started_s is None:
            self._batch_started_s = now_s
        if len(done) < len(moving) and now_s - self._batch_started_s < BATCH_S:
            return self.key_map
        cleared = tuple(
            dataclasses.replace(r, priors=()) if _range_id(r) in done else r
            for r in self.key_map.ranges
        )
        return dataclasses.replace(self.key_map, ranges=cleared)

    def _range_actions(
        self, key_range: ranges.KeyRange, now_s: float, is_sole_leader: bool
    ) -> list:
        range_id = _range_id(key_range)
        actions = []
        released = True
        for prior in key_range.priors:
            if range_id in self._granted or self._is_released(
                key_range, prior, now_s
            ):
                continue
            released = False
            call = ('release', range_id, prior.incarnation)
            due_s = self._next_call_at_s.get((range_id, prior.incarnation), 0.0)
            if call not in self._calls_in_flight and now_s >= due_s:
                self._calls_in_flight.add(call)
                actions.append(Release(key_range, prior))
        if key_range.owner.incarnation in self._ended:
            return actions
        call = ('grant', range_id)
        due_s = self._next_call_at_s.get(range_id, 0.0)
        if released and call not in self._calls_in_flight and now_s >= due_s:
            grant = self._grant(key_range, is_sole_leader)
            if grant is not None:
                self._calls_in_flight.add(call)
                actions.append(grant)
        return actions

    def _grant(
        self, key_range: ranges.KeyRange, is_sole_leader: bool
    ) -> Grant | None:
        """Returns the grant of a range, or None if no token may be sent."""
        token = self._replacements_by_token.get(
            key_range.token, key_range.token
        )
        if token < self._first_own_token or token in self._unusable_tokens:
            if self._reserved_tokens and is_sole_leader:
                token = self._reserved_tokens[0]
                self._reserved_tokens = self._reserved_tokens[1:]
                self._replacements_by_token[key_range.token] = token
            elif token < self._first_own_token:
                return None
        newest_connection = self._newest_connections_by_token.get(token)
        sole_leader_only = (
            newest_connection is None and token != key_range.token
        )
        if sole_leader_only and not is_sole_leader:
            return None
        if newest_connection is None:
            # Parts of a range that was split share a token.
            if token in self._first_sends:
                return None
            self._first_sends.add(token)
        return Grant(
            key_range,
            self._handover_for(key_range),
            token,
            newest_connection,
            sole_leader_only,
        )

    def _forget_unused_tokens(self) -> None:
        self._replacements_by_token = {
            r.token: self._replacements_by_token[r.token]
            for r in self.key_map.ranges
            if r.token in self._replacements_by_token
        }
        used = {r.token for r in self.key_map.ranges}
        used.update(self._replacements_by_token.values())
        self._newest_connections_by_token = {
            token: number
            for token, number in self._newest_connections_by_token.items()
            if token in used
        }
        self._unusable_tokens &= used

    def _is_released(
        self, key_range, prior: ranges.Holder, now_s: float
    ) -> bool:
        """Whether a prior has released a range or its leases have expired."""
        if prior.incarnation in self._handovers.get(_range_id(key_range), {}):
            return True
        if prior.incarnation in self._ended:
            return True
        if self._registrations.is_superseded(prior, key_range.owner):
            return True
        for call in self._calls_in_flight:
            if call[0] == 'grant' and _overlap(call[1], key_range):
                # A renewal in flight may still extend the lease.
                return False
        own_until_s = self._lease_ends.until_s(prior.instance_id, key_range)
        return now_s >= max(self._inherited_until_s, own_until_s)

    def _handover_for(self, key_range) -> str:
        handovers = self._handovers.get(_range_id(key_range), {})
        for prior in key_range.priors:
            if handovers.get(prior.incarnation):
                return handovers[prior.incarnation]
        return ''


def _range_id(key_range: ranges.KeyRange) -> tuple:
    return key_range.first, key_range.last, key_range.token


def _reserved_count(key_map: ranges.KeyMap) -> int:
    """Returns the number of tokens that a write of the map reserves."""
    return max(RESERVED_TOKENS, RESERVED_TOKENS_PER_RANGE * len(key_map.ranges))


def _overlap(range_id: tuple, key_range: ranges.KeyRange) -> bool:
    return range_id[0] <= key_range.last and range_id[1] >= key_range.first
