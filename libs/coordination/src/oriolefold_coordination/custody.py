"""Grants of key ranges to instances that check fencing tokens.

One VM, the coordinator of the service, decides at a time. The key map in the
object store is written before any call to an instance, with a higher token for
each range that moves and with everybody who may still hold the range. Those
are asked to release it, or their holds have to run out, before the new owner
is granted the range. Several coordinators that work on the same map make the
same calls, which does no harm; one that lost its office stops after
`AUTHORITY_S` at the latest, so that holds it renewed have a known end.
"""

import dataclasses
from collections.abc import Sequence

from oriolefold_coordination import allotment, keyload, ranges

HOLD_S = 5.0  # Length of a hold; longer than a takeover of the office.
RENEWAL_S = 1.2  # Pause between renewals; leaves 3.8 s for a takeover.
REPEAT_S = 0.25  # Pause before a call without an answer is repeated.
CLOCK_DRIFT = 0.02  # An instance's clock may run this much too slow.
ARRIVAL_MARGIN_S = 0.1  # Transit time of a call that was given up.
AUTHORITY_S = 8.0  # Time that a coordinator acts on after its last heartbeat.
UNREACHABLE_S = 1.6  # Time without answers after which keys are moved away.
FORGIVEN_S = 4.0  # Time after which an instance may be granted keys again.
GATHER_S = 0.06  # Time in which grants gather for one write of the map.
BALANCE_S = 1.0  # Pause between voluntary moves.
PLAN_S = 0.1  # Pause between plans if nothing has happened; they take long.
REWRITE_S = 0.5  # Pause after a write of the map that failed; calls are priced.


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Call to make: grant or renew a range.

    Attributes:
        key_range: The range with its owner and token.
        handover: State that the last holder handed over, or an empty string.
    """

    key_range: ranges.KeyRange
    handover: str


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Call to make: ask a former holder to give a range up.

    Attributes:
        key_range: The range with the token of its next owner, which makes the
            former holder refuse late renewals.
        holder: The former holder.
    """

    key_range: ranges.KeyRange
    holder: ranges.Holder


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Write to make: store a new key map."""

    key_map: ranges.KeyMap


@dataclasses.dataclass(slots=True)
class _Hold:
    """Latest time at which a holder may hold a range."""

    first: int
    last: int
    until_s: float


def hold_end_s(call_ended_s: float) -> float:
    """Returns when a hold has surely ended.

    Args:
        call_ended_s: When the call was answered or its connection closed.
    """
    return call_ended_s + HOLD_S / (1 - CLOCK_DRIFT) + ARRIVAL_MARGIN_S


def inherited_until_s(
    now_s: float, may_still_act: bool, inherited_s: float
) -> float:
    """Returns until when earlier coordinators' holds may last.

    Args:
        now_s: Present time.
        may_still_act: Whether the last holder of the office may still believe
            that it holds it; not after a resignation, nor if it was an earlier
            process of this VM.
        inherited_s: For how long the last holder had itself to reckon with
            holds of those before it, in seconds from its last heartbeat.
    """
    until_s = hold_end_s(now_s)
    if may_still_act:
        until_s += AUTHORITY_S
    return max(until_s, now_s + inherited_s)


class Custodian:
    """State of the coordinator of one service; makes no calls itself."""

    def __init__(
        self,
        key_map: ranges.KeyMap,
        inherited_until_s: float,
    ):
        """Takes the office.

        Args:
            key_map: The map as the store has it.
            inherited_until_s: Until when holds may last that an earlier
                coordinator granted.
        """
        self.key_map = key_map
        self._inherited_until_s = inherited_until_s
        self._candidates: tuple[allotment.Candidate, ...] = ()
        self._holders_by_address: dict[str, ranges.Holder] = {}
        self._born_by_id: dict[str, int] = {}
        # By name, since a call reaches whichever life answers at the address.
        self._holds_by_id: dict[str, list[_Hold]] = {}
        self._handovers: dict[tuple, dict[tuple, str]] = {}
        self._granted: set[tuple] = set()
        self._calls: set[tuple] = set()
        self._next_call_s: dict[tuple, float] = {}
        self._silent_since_s: dict[tuple, float] = {}
        self._avoided_until_s: dict[tuple, float] = {}
        self._publishing: ranges.KeyMap | None = None
        self._balance_at_s = 0.0
        self._publish_at_s = float('-inf')
        self._plan_at_s = float('-inf')
        self._granted_at_s: float | None = None

    def update(
        self,
        candidates: Sequence[allotment.Candidate],
        registered: Sequence[ranges.Holder],
    ) -> None:
        """Takes who may own keys and who is registered at all."""
        self._candidates = tuple(candidates)
        self._plan_at_s = float('-inf')
        # The entry of a life that has ended may stay beside that of the next
        # one at its address, so the youngest of them counts.
        ordered = sorted(registered, key=lambda h: h.born_ms)
        self._holders_by_address = {h.address: h for h in ordered}
        self._born_by_id = {h.instance_id: h.born_ms for h in ordered}

    def step(self, now_s: float, profile: keyload.Profile) -> list:
        """Returns what has to be done now: grants, releases, a write."""
        actions = []
        plan_at_s = max(self._plan_at_s, self._publish_at_s)
        if self._publishing is None and now_s >= plan_at_s:
            self._plan_at_s = now_s + PLAN_S
            changed = self._next_map(now_s, profile)
            if changed is not self.key_map:
                self._publishing = changed
                actions.append(Publish(changed))
        for key_range in self.key_map.ranges:
            actions.extend(self._work_on(key_range, now_s))
        return actions

    def inherited_s(self, now_s: float) -> float:
        """Returns for how long earlier coordinators' holds may last yet."""
        return max(0.0, self._inherited_until_s - now_s)

    def is_held(self, key_range: ranges.KeyRange) -> bool:
        """Whether the owner has acknowledged the range."""
        return _key(key_range) in self._granted

    def published(self, key_map: ranges.KeyMap) -> None:
        """Takes the success of a write."""
        self._publishing = None
        self._granted_at_s = None
        self._plan_at_s = float('-inf')
        self.key_map = key_map
        keys = {_key(r) for r in key_map.ranges}
        self._granted &= keys
        self._handovers = {
            k: v for k, v in self._handovers.items() if k in keys
        }

    def publishing_failed(self, now_s: float) -> None:
        """Takes the failure of a write that is known to have no effect."""
        self._publishing = None
        self._publish_at_s = now_s + REWRITE_S

    def grant_ended(
        self,
        grant: Grant,
        answered: bool,
        stale: bool,
        now_s: float,
    ) -> None:
        """Takes the end of a grant.

        Args:
            grant: The call.
            answered: Whether the instance took it.
            stale: Whether the instance has seen a higher token.
            now_s: Present time.
        """
        key_range = grant.key_range
        key = _key(key_range)
        life = _life(key_range.owner)
        self._calls.discard(('grant', key))
        if not stale:
            self._extend(key_range, hold_end_s(now_s))
        pause_s = RENEWAL_S if answered else REPEAT_S
        self._next_call_s[key] = now_s + pause_s
        if answered:
            if key not in self._granted:
                self._plan_at_s = float('-inf')
            self._granted.add(key)
            self._silent_since_s.pop(life, None)
        elif stale:
            # Another coordinator moved the range; the store tells where to.
            self._avoided_until_s[life] = now_s + UNREACHABLE_S
        else:
            since_s = self._silent_since_s.setdefault(life, now_s)
            if now_s - since_s > UNREACHABLE_S:
                self._avoided_until_s[life] = now_s + FORGIVEN_S

    def release_ended(
        self, release: Release, handover: str | None, now_s: float
    ) -> None:
        """Takes the end of a release.

        Args:
            release: The call.
            handover: What the former holder handed over, an empty string if it
                gave the range up without, or None if it did not answer.
            now_s: Present time.
        """
        key = _key(release.key_range)
        life = _life(release.holder)
        self._calls.discard(('release', key, life))
        self._next_call_s[(key, life)] = now_s + REPEAT_S
        if handover is not None:
            self._handovers.setdefault(key, {})[life] = handover

    def _next_map(self, now_s: float, profile) -> ranges.KeyMap:
        self._avoided_until_s = {
            life: until_s
            for life, until_s in self._avoided_until_s.items()
            if until_s > now_s
        }
        candidates = [
            c
            for c in self._candidates
            if _life(c.holder) not in self._avoided_until_s
        ]
        settled = self._settle(now_s)
        calm = all(not r.priors for r in settled.ranges)
        may_balance = calm and now_s >= self._balance_at_s
        changed = allotment.allot(settled, candidates, profile, may_balance)
        if may_balance and changed is not self.key_map:
            self._balance_at_s = now_s + BALANCE_S
        if changed == self.key_map:
            return self.key_map
        return changed

    def _settle(self, now_s: float) -> ranges.KeyMap:
        """Returns the map without former holders of ranges that are held.

        Every write wakes all VMs, so grants that end shortly after each other
        share one.
        """
        moving = [r for r in self.key_map.ranges if r.priors]
        done = {_key(r) for r in moving if _key(r) in self._granted}
        if not done:
            return self.key_map
        if self._granted_at_s is None:
            self._granted_at_s = now_s
        if len(done) < len(moving) and now_s - self._granted_at_s < GATHER_S:
            return self.key_map
        settled = tuple(
            dataclasses.replace(r, priors=()) if _key(r) in done else r
            for r in self.key_map.ranges
        )
        return dataclasses.replace(self.key_map, ranges=settled)

    def _work_on(self, key_range: ranges.KeyRange, now_s: float) -> list:
        key = _key(key_range)
        actions = []
        free = True
        for prior in key_range.priors:
            if key in self._granted or self._is_free(key_range, prior, now_s):
                continue
            free = False
            call = ('release', key, _life(prior))
            due_s = self._next_call_s.get((key, _life(prior)), 0.0)
            if call not in self._calls and now_s >= due_s:
                self._calls.add(call)
                actions.append(Release(key_range, prior))
        call = ('grant', key)
        due_s = self._next_call_s.get(key, 0.0)
        if free and call not in self._calls and now_s >= due_s:
            self._calls.add(call)
            actions.append(Grant(key_range, self._handover(key_range)))
        return actions

    def _is_free(self, key_range, prior: ranges.Holder, now_s: float) -> bool:
        if _life(prior) in self._handovers.get(_key(key_range), {}):
            return True
        if self._has_ended(key_range, prior):
            return True
        for call in self._calls:
            if call[0] == 'grant' and _overlap(call[1], key_range):
                # A renewal under way may yet arrive.
                return False
        until_s = self._inherited_until_s
        for hold in self._holds_by_id.get(prior.instance_id, ()):
            if hold.first <= key_range.last and hold.last >= key_range.first:
                until_s = max(until_s, hold.until_s)
        return now_s >= until_s

    def _has_ended(self, key_range, prior: ranges.Holder) -> bool:
        """Whether the registry proves that a holder is not in the way.

        A new life under the same name may have taken a renewal that was meant
        for the one before, so it only makes way for itself.
        """
        born_ms = self._born_by_id.get(prior.instance_id, prior.born_ms)
        if born_ms > prior.born_ms:
            return key_range.owner.instance_id == prior.instance_id
        at_address = self._holders_by_address.get(prior.address)
        return at_address is not None and at_address.born_ms > prior.born_ms

    def _handover(self, key_range) -> str:
        handovers = self._handovers.get(_key(key_range), {})
        for prior in key_range.priors:
            if handovers.get(_life(prior)):
                return handovers[_life(prior)]
        return ''

    def _extend(self, key_range, until_s: float) -> None:
        owner_id = key_range.owner.instance_id
        holds = self._holds_by_id.setdefault(owner_id, [])
        for hold in holds:
            if hold.first == key_range.first and hold.last == key_range.last:
                hold.until_s = max(hold.until_s, until_s)
                return
        holds.append(_Hold(key_range.first, key_range.last, until_s))


def _key(key_range: ranges.KeyRange) -> tuple:
    return key_range.first, key_range.last, key_range.token


def _overlap(key: tuple, key_range: ranges.KeyRange) -> bool:
    return key[0] <= key_range.last and key[1] >= key_range.first


def _life(holder: ranges.Holder) -> tuple[str, int]:
    return holder.instance_id, holder.born_ms
