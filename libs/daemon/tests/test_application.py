"""Tests of oriolefold_daemon.application."""

from unittest import mock

from oriolefold_backend import memory, ports
from oriolefold_core import clock, errors, notices
from oriolefold_daemon import application, settings
from oriolefold_sending import messages, sender
from oriolefold_testbed import basecase


class ApplicationTest(basecase.AsyncCase):
    """The tasks are told of a stop."""

    async def asyncSetUp(self):
        self.backend = memory.MemoryBackend()
        self.senders = []
        sender_class = sender.Sender

        def make_sender(*arguments):
            self.senders.append(sender_class(*arguments))
            return self.senders[-1]

        ports_by_name = {
            name: basecase.free_address().port
            for name in ('caller_port', 'peer_port', 'admin_port', 'store_port')
        }
        values = settings.DaemonSettings(
            vm_id='vm0',
            zone='r1-a',
            ip='127.0.0.1',
            store_ip='127.0.0.1',
            stop_limit_s=2.0,
            **ports_by_name,
        )
        with (
            mock.patch.object(
                application.backend_http,
                'HttpBackend',
                return_value=self.backend,
            ),
            mock.patch.object(application.sender, 'Sender', make_sender),
        ):
            self.application = application.Application(values)

    async def test_queued_request_is_refused_as_not_run_at_a_stop(self):
        await self.application.start()
        register = basecase.make_register(instance_count=1, keyed=False)
        self.senders[0].post(
            notices.ConfigurationUpdated(basecase.make_configuration(register))
        )
        state = self.backend.instance('s0')
        state.delay_s = 30.0
        now_s = clock.BootClock().now_s()
        permit = ports.Permit(clock.BootClock(), now_s + 20)
        asks = [
            messages.SendTo(
                's0',
                basecase.make_request('POST', expires_at_s=now_s + 20),
                permit,
            )
            for _ in range(7)
        ]
        for ask in asks:
            self.senders[0].post(ask)
        await self.wait_for(lambda: len(state.ran) == 6)
        await self.application.stop()
        with self.assertRaises(errors.StoppingError):
            await asks[-1].reply
        for ask in asks[:-1]:
            with self.assertRaises(errors.OutcomeUnknownError):
                await ask.reply
