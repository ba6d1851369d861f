"""The link between one machine and the platform's store: a proxy that passes
bytes on at the speed of the machine's link, and can turn the machine away."""

import asyncio

CHUNK_BYTES = 16 * 1024
CATCH_UP_S = 0.05  # late timers must not make the link slower


class StoreLink:
    def __init__(self, store_port, link_mbps):
        self.store_port = store_port
        self.bytes_per_s = link_mbps * 1e6 / 8
        self.is_turned_away = False
        self.free_at = 0.0  # when the link has passed on what it has taken
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def turn_away(self, is_turned_away):
        """The store resets the machine's channels from now on, or serves it
        again."""
        self.is_turned_away = is_turned_away
        if is_turned_away:
            self.reset_all()

    async def serve(self, reader, writer):
        if self.is_turned_away:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.store_port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        tasks = [asyncio.ensure_future(self.copy(reader, far_writer)),
                 asyncio.ensure_future(self.copy(far_reader, writer))]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in ends:
            end.transport.abort()
        self.writers -= ends

    async def copy(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                now = loop.time()
                self.free_at = (max(now - CATCH_UP_S, self.free_at)
                                + len(data) / self.bytes_per_s)
                await asyncio.sleep(max(0, self.free_at - now))
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
