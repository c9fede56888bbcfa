"""Probes of upstreams, and the connections that they leave open."""

import asyncio

from borageramp_core.routing import FleetState
from borageramp_entry._internal.serving.upstreams import UpstreamClient
from borageramp_platform.messages import Upstreams
from tests.lib.dispatching import make_prober
from tests.lib.routed import make_config, make_pools, make_registration
from tests.lib.stream_server import running_server

HEALTHY = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


# Guards against a failed probe that closes connections which still work, where no new
# ones can be made.
def test_a_failed_probe_closes_no_connection_that_was_used_meanwhile() -> None:
    async def run() -> None:
        answers = asyncio.Event()
        connections = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connections
            connections += 1
            number = connections
            while True:
                await reader.readuntil(b"\r\n\r\n")
                # Only the first connection carries answers.
                await (answers if number == 1 else asyncio.Event()).wait()
                writer.write(HEALTHY)

        async with running_server(serve) as port, asyncio.timeout(10):
            client = UpstreamClient(dialect=Upstreams())
            state = FleetState()
            state.put("op/config", make_config())
            state.put("servers/u1", make_registration("u1", port=port))
            pools = make_pools(probes_hz=1000.0)
            pools.apply(state, entries=frozenset({"e0"}), now_s=0.0)
            (view,) = pools.pool("records").views.values()
            clock = asyncio.get_running_loop().time
            prober = make_prober(client, pools, clock=clock)
            await asyncio.sleep(0.05)
            busy = asyncio.ensure_future(
                client.ask_health(
                    view.upstream, "/", timeout_s=5.0, connect_timeout_s=1.0
                )
            )
            await asyncio.sleep(0.05)
            (probe,) = prober.start([view])
            await asyncio.sleep(0.05)
            answers.set()
            await busy
            await probe
            assert prober.failed == 1 and prober.closed_connections == 0
            await client.ask_health(
                view.upstream, "/", timeout_s=5.0, connect_timeout_s=1.0
            )
            assert connections == 2
            await client.close()

    asyncio.run(run())
