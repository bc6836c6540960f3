"""Polls the change feed of the leader, or of the relay that it names."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from oriolefold_core import clock, errors
from oriolefold_direct import changefeed, messages, ports
from oriolefold_telemetry import logs

FEED_RETRY_S = 2.0  # Delay before a failed feed is tried again.
SUSPICION_S = 6.0  # How long a VM stays suspected after its feed failed.
# How long a feed that says that it is stale may take to be fresh again before
# the store is watched instead. With the greatest age of a feed it is shorter
# than a change may take to be in force.
STALE_GRACE_S = 0.3
STALE_POLL_S = 0.3  # Shortest interval between polls of a stale feed.
STALE_RELAY_LIMIT_S = 5.0  # After which a stale relay is bypassed.
BYPASS_LIMIT_S = 0.5  # For the leader to answer in place of a failed relay.
REDIRECT_PAUSE_S = 0.05  # Before a relay that redirects is polled as leader.

_LOGGER = logging.getLogger(__name__)


def _local_contact_s(reply: messages.ChangesReply, polled_at_s: float) -> float:
    """Returns a lower bound of a reply's store contact, by this VM's clock.

    The poll arrived no earlier than it was sent, and the reply was made when
    it had been held. So neither a slow connection nor a freeze of either VM
    makes the contact later than it was.

    Args:
        reply: The reply.
        polled_at_s: When the poll was sent, by this VM's clock.
    """
    return polled_at_s + reply.held_s - (reply.sent_at_s - reply.contact_at_s)


class FeedPoller:
    """Polls while it is attached to a leader, whether or not its feed is fresh.

    A leader that has no contact with the store stays polled, so that its
    followers return to its feed as soon as it is fresh again. A relay that
    fails is bypassed at once.
    """

    def __init__(
        self,
        peers: ports.Peers,
        feed: changefeed.ChangeFeed,
        time: clock.Clock,
        follower: messages.Follower,
        revisions: Callable[[], dict[str, int]],
        on_reply: Callable[[messages.ChangesReply, float], None],
        on_change: Callable[[], None],
    ):
        """Initializes the poller; `attach` begins to poll.

        Args:
            peers: Client that polls other VMs.
            feed: Change feed that this VM serves to others.
            time: Clock for delays after failures.
            follower: Description of this VM for the polled one.
            revisions: Returns the latest revision of each prefix.
            on_reply: Called with each reply that has no redirection, and the
                time of its store contact by this VM's clock.
            on_change: Called when the feed becomes fresh, stale or lost.
        """
        self._peers = peers
        self._feed = feed
        self._clock = time
        self._follower = follower
        self._revisions = revisions
        self._on_reply = on_reply
        self._on_change = on_change
        self._address = ''
        self._task: asyncio.Task | None = None
        self._is_fresh = False
        self._stale_since_s: float | None = None
        self._stale_timer: asyncio.TimerHandle | None = None
        self._failed_at_s = float('-inf')
        self._leader_failed_at_s = float('-inf')
        self._avoided_address = ''

    @property
    def is_attached(self) -> bool:
        """Whether another VM is polled."""
        return self._task is not None

    @property
    def is_fresh(self) -> bool:
        """Whether a feed is polled that has not said that it is stale."""
        return self._task is not None and self._is_fresh

    @property
    def is_leader_suspected(self) -> bool:
        """Whether polling the leader has recently failed."""
        return self._clock.now_s() - self._leader_failed_at_s < SUSPICION_S

    def attach(self, address: str) -> None:
        """Polls the leader at an address, unless it has just failed."""
        if address == self._address:
            since_failure_s = self._clock.now_s() - self._failed_at_s
            if self.is_attached or since_failure_s < FEED_RETRY_S:
                return
        self.detach()
        self._address = address
        self._is_fresh = True
        self._task = asyncio.create_task(self._poll())
        self._on_change()

    def detach(self) -> None:
        """Stops polling."""
        if self._task is not None:
            self._task.cancel()
            self._end()

    def _end(self) -> None:
        self._task = None
        self._note_fresh()
        self._on_change()

    async def _poll(self) -> None:
        try:
            limit_s = None
            while True:
                relay_address = await self._poll_leader(self._address, limit_s)
                limit_s = await self._poll_relay(relay_address)
        except Exception as error:  # pylint: disable=broad-except
            # The watches rely on this loop, so they have to learn of its end.
            if not isinstance(error, errors.OriolefoldError):
                _LOGGER.exception('the poll of %s failed', self._address)
            self._log('feed.failed', self._address, error=str(error))
            self._failed_at_s = self._clock.now_s()
            self._leader_failed_at_s = self._failed_at_s
            self._end()

    async def _poll_leader(self, address: str, limit_s: float | None) -> str:
        """Polls the leader until it redirects; returns the relay's address.

        Args:
            address: The leader.
            limit_s: Time limit of the first reply, or None.

        Raises:
            OriolefoldError: If the leader fails.
        """
        contact_at_s = 0.0
        while True:
            polled_at_s = self._clock.now_s()
            try:
                async with asyncio.timeout(limit_s):
                    reply = await self._request(address, contact_at_s)
            except errors.StaleFeedError:
                limit_s = None
                await self._wait_while_stale(address)
                continue
            except TimeoutError as error:
                text = f'{address} did not answer in place of its relay'
                raise errors.UnreachableError(text) from error
            limit_s = None
            if reply.relay_address == self._follower.address:
                raise errors.ProtocolError('redirected to this VM')
            if reply.relay_address:
                self._feed.stop_relaying()
                self._log('feed.redirected', address, relay=reply.relay_address)
                return reply.relay_address
            contact_at_s = reply.contact_at_s
            self._feed.renew_relaying(self._accept(reply, polled_at_s))

    async def _poll_relay(self, address: str) -> float | None:
        """Polls a relay until it fails; then the leader is polled again.

        Returns:
            Time limit of the leader's next reply, or None.
        """
        contact_at_s = 0.0
        try:
            while True:
                polled_at_s = self._clock.now_s()
                try:
                    reply = await self._request(address, contact_at_s)
                except errors.StaleFeedError:
                    await self._wait_while_stale(address)
                    if self._stale_s() > STALE_RELAY_LIMIT_S:
                        raise
                    continue
                if reply.relay_address:
                    # It has become the leader.
                    self._address = address
                    await asyncio.sleep(REDIRECT_PAUSE_S)
                    return None
                contact_at_s = reply.contact_at_s
                self._accept(reply, polled_at_s)
        except errors.OriolefoldError as error:
            self._log('feed.relay_failed', address, error=str(error))
            self._failed_at_s = self._clock.now_s()
            self._avoided_address = address
            return BYPASS_LIMIT_S if self._is_fresh else None

    async def _request(
        self, address: str, contact_at_s: float
    ) -> messages.ChangesReply:
        since_failure_s = self._clock.now_s() - self._failed_at_s
        if since_failure_s > SUSPICION_S:
            self._avoided_address = ''
        follower = dataclasses.replace(
            self._follower,
            avoided_address=self._avoided_address,
            contact_at_s=contact_at_s,
            waits_for_contact=self._stale_since_s is not None,
            reads_hold=True,
        )
        return await self._peers.changes(address, follower, self._revisions())

    def _accept(
        self, reply: messages.ChangesReply, polled_at_s: float
    ) -> float:
        """Passes a reply on; returns its store contact by this VM's clock."""
        contact_at_s = _local_contact_s(reply, polled_at_s)
        self._on_reply(reply, contact_at_s)
        was_fresh = self._is_fresh
        self._note_fresh()
        self._is_fresh = True
        if not was_fresh:
            self._log('feed.fresh', self._address)
            self._on_change()
        return contact_at_s

    def _log(self, event: str, address: str, **fields: str) -> None:
        """Logs an event of a feed with the age of what this VM acts on."""
        age_s = round(self._feed.contact_age_s, 3)
        logs.event(event, address=address, contact_age_s=age_s, **fields)

    def _stale_s(self) -> float:
        if self._stale_since_s is None:
            return 0.0
        return self._clock.now_s() - self._stale_since_s

    async def _wait_while_stale(self, address: str) -> None:
        """Notes that a feed is stale and waits before it is polled again."""
        if self._stale_since_s is None:
            self._stale_since_s = self._clock.now_s()
            loop = asyncio.get_running_loop()
            self._stale_timer = loop.call_later(
                STALE_GRACE_S, self._note_stale, address
            )
            return
        await asyncio.sleep(STALE_POLL_S)

    def _note_fresh(self) -> None:
        self._stale_since_s = None
        if self._stale_timer is not None:
            self._stale_timer.cancel()
            self._stale_timer = None

    def _note_stale(self, address: str) -> None:
        self._stale_timer = None
        self._is_fresh = False
        if address == self._address:
            self._leader_failed_at_s = self._clock.now_s()
        self._log('feed.stale', address)
        self._on_change()
